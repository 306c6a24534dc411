"""A short soak run: the same faults each time, compared at the end."""

import anyio
import pytest

from redwingvalve.soak import fleet_run, runner, schedule
from tests.integration import process_daemons, processes

pytestmark = pytest.mark.slow
GUARD_S = 200
SEED = 436
DURATION_S = 32.0
Name = schedule.FaultName
# Faults after which every promise holds at once. Those that allow seconds
# (a VM lost or leaving) are left to the long runs, since a machine that is
# busy with something else would decide them.
FAULTS = frozenset(
    (
        Name.ANSWER_CROSSED,
        Name.ANSWER_TRUNCATED,
        Name.ENTRY_DIES,
        Name.ENTRY_STOPS,
        Name.ENTRY_PAUSES,
        Name.CONTROL_DIES,
        Name.STORE_DOWN,
        Name.STORE_LOSES_ANSWERS,
        Name.SERVICE_LOSES_ANSWERS,
        Name.OPERATORS_RACE,
        Name.PEERS_CUT,
        Name.PEERS_CUT_ONE_WAY,
    )
)


def test_no_promise_breaks_in_a_short_run_with_peers_cut_off():
    """Quotes, flags, streams and fetches go on while daemons fail.

    Entries die, freeze, stop and lose their peers, the store goes away and
    loses answers, services lose theirs, operators race. Callers get the whole
    of their own answers or the truth, and nothing runs twice.
    """
    options = fleet_run.Options(SEED, DURATION_S, only=FAULTS)

    async def scenario():
        with anyio.fail_after(GUARD_S), processes.make_processes() as children:
            return await runner.run_soak(
                options,
                lambda group: process_daemons.ProcessDaemons(children, group),
            )

    outcome = anyio.run(scenario)
    assert outcome.breaches == ()
    assert {fault.name for fault in outcome.schedule} & {
        Name.PEERS_CUT,
        Name.PEERS_CUT_ONE_WAY,
    }
    answered = sum(record.answered for record in outcome.records)
    assert answered > len(outcome.records) / 2 > 20
