"""Runs callers and faults against a fleet, then checks the records."""

import contextlib
import time

import anyio

from redwingvalve.soak import fault_injection, fleet_run, schedule

PAUSES = frozenset(
    (schedule.FaultName.ENTRY_PAUSES, schedule.FaultName.CONTROL_PAUSES)
)
CUTS = frozenset(
    (schedule.FaultName.PEERS_CUT, schedule.FaultName.PEERS_CUT_ONE_WAY)
)


def plan_faults(
    options: fleet_run.Options, *, can_pause: bool, can_cut: bool = False
) -> fleet_run.Faults:
    """Return the schedule of a run.

    Faults that the daemons cannot have are left out, so that without them a
    seed gives the same schedule as before they were added.
    """
    excluded_faults = set(options.excluded_faults)
    if options.only:
        excluded_faults |= set(schedule.FaultName) - set(options.only)
    if not can_pause:
        excluded_faults |= PAUSES
    if not can_cut:
        excluded_faults |= CUTS
    return schedule.make_schedule(
        options.seed, options.duration_s, frozenset(excluded_faults)
    )


async def run_soak(
    options: fleet_run.Options, make_daemons: fleet_run.MakeDaemons
) -> fleet_run.Outcome:
    """Run a fleet through its schedule; make_daemons gets a task group."""
    async with contextlib.AsyncExitStack() as stack:
        run = await stack.enter_async_context(
            fleet_run.open_run(options, make_daemons)
        )
        planned = plan_faults(
            options,
            can_pause=run.daemons.can_pause,
            can_cut=run.daemons.can_cut,
        )
        ends_at_s = time.monotonic() + options.duration_s
        calling = [
            run.make_caller(f'c{index}', index)
            for index in range(options.callers)
        ]
        poisoner = run.make_caller('poison', options.callers)
        context = run.make_fault_context(poisoner)
        async with anyio.create_task_group() as group:
            for caller in calling:
                group.start_soon(caller.run, ends_at_s)
            group.start_soon(fault_injection.inject_faults, context, planned)
        run.journal.note('all callers and faults have ended')
        # Shut the fleet down first, so that violations during shutdown count.
        await stack.aclose()
        return run.compare(planned, context, (*calling, poisoner))
