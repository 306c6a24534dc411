"""Tests of reading and validating declarations."""

import hypothesis
from hypothesis import strategies

from redwingvalve.declaration import reader

GOOD = """
operator: tapiceria
deployments:
  - name: quotes
    model: quote-70b
    version: "3"
    replicas: 2
    vms_per_replica: 4
services:
  - name: records
    path_prefix: /records
    addresses: ["127.0.0.1:9000"]
client_accounts:
  - name: depot
    credential_sha256: "{digest}"
    priority: 5
    deployments: [quotes]
""".format(digest='a' * 64)


def findings_of(text):
    checked = reader.read_text(text, 'wanted.yaml')
    assert checked.is_error()
    return [str(finding) for finding in checked.error.entries]


def test_a_valid_declaration_is_read():
    bound = reader.read_text(GOOD, 'wanted.yaml').ok
    assert bound.content.deployments[0].vms_per_replica == 4
    assert bound.content.client_accounts[0].name == 'depot'


def test_all_findings_are_reported_together_with_line_and_column():
    bad = GOOD.replace('replicas: 2', 'replicas: two').replace(
        'priority: 5', 'prio: 5'
    )
    found = findings_of(bad)
    assert found == [
        (
            'wanted.yaml:7:15 (deployments[0].replicas): expected an '
            "integer, not 'two'"
        ),
        (
            'wanted.yaml:14:5 (client_accounts[0].priority): missing field '
            "'priority'"
        ),
        "wanted.yaml:16:5 (client_accounts[0].prio): unknown field 'prio'",
    ]


def test_a_duplicate_name_and_an_unknown_deployment_are_found():
    duplicated = GOOD.replace(
        'services:',
        GOOD.split('deployments:')[1].split('services:')[0].lstrip('\n')
        + 'services:',
    ).replace('[quotes]', '[flags]')
    found = findings_of(duplicated)
    assert any("the name 'quotes' is already taken" in line for line in found)
    assert any("no deployment is named 'flags'" in line for line in found)


def test_a_duplicate_key_is_found():
    found = findings_of(GOOD.replace('    model:', '    name: x\n    model:'))
    assert found == [
        "wanted.yaml:5:5 (deployments[0].name): duplicate key 'name'"
    ]


def test_invalid_yaml_is_found_with_its_line():
    found = findings_of('operator: [tapiceria\nservices: {')
    assert found[0].startswith('wanted.yaml:2:')


@hypothesis.given(strategies.text(max_size=200))
def test_any_text_gives_findings_and_never_a_crash(text):
    checked = reader.read_text(text, 'wanted.yaml')
    assert checked.is_error() or checked.ok.content.operator is not None


@hypothesis.given(
    strategies.sampled_from(GOOD.split()),
    strategies.sampled_from(['[', '{}', '-1', '""', 'null', '!!x y', '&a *b']),
)
def test_a_corrupted_declaration_gives_findings_and_never_a_crash(
    token, replacement
):
    checked = reader.read_text(GOOD.replace(token, replacement), 'wanted.yaml')
    assert checked.is_error() or checked.ok.content.operator is not None


def test_a_wrong_type_does_not_hide_other_findings():
    """One error of each kind; what depends on a placeholder is left out."""
    bad = (
        GOOD.replace('operator: tapiceria', 'operatr: tapiceria')
        .replace('replicas: 2', 'replicas: two\n    floor_replicas: 1')
        .replace('vms_per_replica: 4', 'vms_per_replica: 0')
        .replace('priority: 5', 'priority: 12')
        .replace('    path_prefix: /records', '    path_prefix: [1]')
        .replace(
            'addresses: ["', 'timeout_s: 1.0\n    timeout_s: 2.0\n    x: ["'
        )
    )
    found = findings_of(bad)
    assert [line.partition(' (')[2].partition(')')[0] for line in found] == [
        'operator',
        'operatr',
        'deployments[0].replicas',
        'deployments[0].vms_per_replica',
        'services[0].addresses',
        'services[0].path_prefix',
        'services[0].timeout_s',
        'services[0].x',
        'client_accounts[0].priority',
    ]


def test_an_invalid_deployment_causes_no_finding_on_accounts():
    found = findings_of(GOOD.replace('  - name: quotes\n', '  - 3\n  - b: 1\n'))
    assert not any('no deployment is named' in line for line in found)
    assert any('deployments[0]' in line for line in found)
