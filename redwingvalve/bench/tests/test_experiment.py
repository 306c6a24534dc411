"""Experiment files are checked as a whole, and answers are judged."""

import pathlib

import pytest

from redwingvalve.bench import (
    experiment_file,
    experiment_load,
    experiment_policies,
    experiment_run,
)
from redwingvalve.cli import main
from redwingvalve.declaration import reader
from redwingvalve.routing import scored
from redwingvalve.soak import operators, records, workload

SHIPPED = pathlib.Path(__file__).parents[3] / 'examples' / 'experiments'
ACCOUNT = experiment_file.Account('a', 1.0, {'quote': 1.0})


@pytest.mark.parametrize('name', ['depot-morning', 'race-morning'])
def test_a_shipped_experiment_declares_a_fleet_that_checks(name):
    text = (SHIPPED / f'{name}.yaml').read_text()
    experiment = experiment_file.read_text(text, name).ok
    declared = experiment_run.declaration_text(
        experiment,
        operators.DeclarationSpec(1, replicas=experiment.fleet.replicas),
        ('127.0.0.1:1',),
    )
    assert reader.read_text(declared, name).is_ok()
    keys = experiment_run.keys_of(experiment)
    assert len(keys) == len(experiment.policies) * len(experiment.loads)


def test_unknown_names_are_reported_with_their_places():
    text = (SHIPPED / 'depot-morning.yaml').read_text()
    spoilt = text.replace('domain-dark', 'meteor').replace('scan:', 'skan:')
    found = experiment_file.read_text(spoilt, 'spoilt.yaml').error.entries
    assert {finding.message for finding in found} == {
        "'meteor' is not known",
        "'skan' is not known",
    }
    assert all(finding.location.line > 1 for finding in found)


def test_a_baseline_replaces_our_factory_only_for_its_run():
    ours = scored.make_routing_policy
    with experiment_policies.installed('round-robin'):
        assert scored.make_routing_policy is not ours
    assert scored.make_routing_policy is ours


def test_answers_count_by_what_the_caller_received():
    def seen(**fields):
        target = workload.Target('d', '/s/', '/s/f')
        asked = workload.make_request('w', workload.Kind.QUOTE, target)
        return records.Record(
            asked, [records.Attempt('e', 10.0, **{'ended_s': 11.0, **fields})]
        )

    judged = experiment_load.judge(
        [
            seen(whole=True),
            seen(whole=True, ended_s=20.0),
            seen(outcome='not-run'),
            seen(outcome='unknown', broken=True),
        ],
        ACCOUNT,
    )
    assert (judged.in_target, judged.late) == (1, 1)
    assert (judged.refused, judged.failed) == (1, 1)


def test_the_commands_refuse_what_they_do_not_know(capsys):
    assert main.main(['experiment', 'no-such-file.yaml']) == 2
    assert main.main(['soak', '--only', 'meteor']) == 2
    assert main.main(['soak', '--disable', 'nothing']) == 2
    assert 'meteor' in capsys.readouterr().err
