"""Short soak run with a fixed schedule of faults."""

import anyio
import pytest

from redwingvalve.soak import fleet_run, runner, schedule
from tests.integration import process_daemons, processes

pytestmark = pytest.mark.slow
GUARD_S = 200
SEED = 436
DURATION_S = 32.0
Name = schedule.FaultName
# Faults after which every promise must hold immediately. Faults with a grace
# period of seconds (a VM lost or leaving) are left to the long runs, because
# their outcome would depend on the load of the machine.
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
    """Quotes, flags, streams and fetches continue while daemons fail.

    Entries crash, pause, stop and lose their peers, the store is unavailable
    or drops responses, services drop responses, and operators race. Callers
    get their own complete responses or an accurate error; nothing runs twice.
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
