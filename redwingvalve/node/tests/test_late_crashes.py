"""What crashes endpoints seconds after its answers broke is refused."""

import pytest

from redwingvalve.node.tests import late_crashes

CALM_S = 2.0
LOAD_S = 25.0
MAX_LATE_ARRIVALS = 3
MIN_SERVED_SHARE = 0.95
GAPS_S = (0.25, 0.4, 0.8, 1.6)
DELAYS_S = (0.01, 0.1, 0.3, 0.5, 0.7, 1.0, 1.5, 2.0, 3.0, 4.0)


def always(delay_s):
    return lambda rng: delay_s


def check(fleet, gap_s):
    fleet.send_sound(0.05)
    fleet.at(CALM_S, fleet.send_bad, gap_s)
    fleet.run(LOAD_S)
    assert len(fleet.crashes_s) >= fleet.suspect.value
    assert fleet.late_arrivals() <= MAX_LATE_ARRIVALS
    assert fleet.served_share(fleet.known_s) >= MIN_SERVED_SHARE


@pytest.mark.parametrize('gap_s', GAPS_S)
@pytest.mark.parametrize('delay_s', DELAYS_S)
@pytest.mark.parametrize('runs_s', [0.05, 1.0], ids=['plain', 'stream'])
@pytest.mark.parametrize('suspect', list(late_crashes.Suspect))
def test_what_ends_endpoints_after_its_answers_broke_is_refused(
    monkeypatch, suspect, runs_s, delay_s, gap_s
):
    """A life sign between the two cleared the run, and it went on for ever."""
    check(
        late_crashes.Fleet(monkeypatch, always(delay_s), suspect, runs_s),
        gap_s,
    )


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('gap_s', GAPS_S)
@pytest.mark.parametrize('suspect', list(late_crashes.Suspect))
def test_what_ends_endpoints_after_any_time_is_refused(
    monkeypatch, suspect, gap_s, seed
):
    """Endpoints that will end later too seem to live on meanwhile."""
    fleet = late_crashes.Fleet(
        monkeypatch,
        lambda rng: rng.uniform(0.01, 4),
        suspect,
        runs_s=0.05,
        seed=seed,
    )
    check(fleet, gap_s)


@pytest.mark.parametrize('suspect', list(late_crashes.Suspect))
def test_what_ends_endpoints_after_open_answers_is_refused(
    monkeypatch, suspect
):
    """Half an answer without a length counts as whole half a second later."""
    fleet = late_crashes.Fleet(monkeypatch, always(1.0), suspect, 0.05)
    fleet.is_open_end = True
    check(fleet, 0.8)


def test_sound_requests_are_served_whose_answers_break_off(monkeypatch):
    """A third of the endpoints close connections inside answers, and live."""
    fleet = late_crashes.Fleet(
        monkeypatch, always(4.0), late_crashes.Suspect.REQUEST, 0.05
    )
    for endpoint in list(fleet.endpoints.values())[::3]:
        endpoint.breaks_off = True
    check(fleet, 0.4)
    assert fleet.served_share(0) >= MIN_SERVED_SHARE
