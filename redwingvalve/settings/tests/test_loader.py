"""Tests of loading and validating settings."""

from redwingvalve.settings import loader

GOOD = """
node: {name: entry-1, data_centre: nave-a, region: montevideo}
listen: {http_port: 8080, peer_port: 8081}
platform: {object_api_url: "http://127.0.0.1:8001"}
"""


def test_good_settings_are_loaded_with_defaults():
    settings = loader.load_text(GOOD, 's.yaml').ok
    assert settings.node.name == 'entry-1'
    assert settings.requests.default_deadline_s == 60.0


def test_findings_of_all_sections_are_reported_together():
    bad = GOOD.replace('8081', '8080').replace('http://', 'ftp://')
    found = loader.load_text(f'{bad}logs: {{level: LOUD}}\n', 's.yaml').error
    messages = [finding.message for finding in found.entries]
    assert messages == [
        'http_port and peer_port must differ',
        "'ftp://127.0.0.1:8001' is not an http URL",
        "'LOUD' is not a log level",
    ]


def test_a_safeguard_can_be_disabled_only_in_tests():
    text = f'{GOOD}testing: {{disabled_safeguards: [answer-identity]}}\n'
    found = loader.load_text(text, 's.yaml').error
    assert [finding.message for finding in found.entries] == [
        'needs testing.in_test: true'
    ]
