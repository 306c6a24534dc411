"""Callers of node processes that are told to stop, in series and beside faults.

Nothing that was passed on is cut, what is refused hasn't run, and each process
ends by itself within its grace.
"""

import signal

import anyio
import pytest

from tests.integration import planned_stops

GUARD_S = 120
# Of a grace of 8 s.
LATE_S = 3.0
TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
Step = planned_stops.Step


def stops(nodes, gap_s):
    return [Step(1 + number * gap_s, number, TERM) for number in range(nodes)]


def beside_store_fault(fault, value, steps):
    return [
        Step(0, fault=fault, value=value),
        *steps,
        Step(steps[-1].at_s + 9, fault=fault, value=0),
    ]


CASES = {
    'the only node': (1, stops(1, 0)),
    'two nodes one second apart': (2, stops(2, 1.0)),
    'two nodes at once': (2, stops(2, 0)),
    'four nodes 0.2 s apart': (4, stops(4, 0.2)),
    'SIGHUP during the stop': (2, [*stops(1, 0), Step(2, 0, HUP)]),
    'SIGTERM during the stop': (2, [*stops(1, 0), Step(2, 0, TERM)]),
    'SIGINT during the stop': (2, [*stops(1, 0), Step(2, 0, INT)]),
    'signals until the end': (
        1,
        [
            Step(1 + number / 20, 0, (TERM, HUP, INT)[number % 3])
            for number in range(180)
        ],
    ),
    'silent store': (
        2,
        beside_store_fault('is_unresponsive', 1, stops(2, 4.0)),
    ),
    'store that is gone': (2, beside_store_fault('refuse', 1, stops(2, 4.0))),
    'refusing store': (
        2,
        beside_store_fault('error_status', 503, stops(2, 4.0)),
    ),
}


def find_breaches(directory, nodes, steps, seed=0):
    async def scenario():
        with anyio.fail_after(GUARD_S):
            return await planned_stops.play(seed, nodes, directory, steps)

    played = anyio.run(scenario)
    print(planned_stops.summarize(played))
    return planned_stops.find_breaches(played)


@pytest.mark.slow
@pytest.mark.parametrize('case', CASES)
def test_a_planned_stop_cuts_no_request(tmp_path, case):
    """Guards against requests that are lost around planned stops."""
    assert not find_breaches(tmp_path, *CASES[case])


@pytest.mark.slow
def test_what_comes_late_in_the_grace_is_answered(tmp_path):
    """Requests that were taken late in a stop were cut at its end."""

    async def scenario():
        with anyio.fail_after(GUARD_S):
            return await planned_stops.play(0, 1, tmp_path, stops(1, 0))

    played = anyio.run(scenario)
    assert not planned_stops.find_breaches(played)
    # A quote is not idempotent.
    found = planned_stops.late_kinds(played, LATE_S)
    assert found == {'stream', 'quote', 'card'}


@pytest.mark.slow
@pytest.mark.parametrize(('seed', 'nodes'), [(1, 2), (2, 4)])
def test_drawn_series_of_signals_cut_no_request(tmp_path, seed, nodes):
    """Guards against requests lost in series of signals at any spacing."""
    assert not find_breaches(tmp_path, nodes, None, seed)
