"""Faults of entries and controllers, and concurrent confirmations."""

import random

import anyio

from redwingvalve.soak import daemons, fault_context, operators, schedule

RACERS = 2
VERSIONS = 3
FEWEST_REPLICAS = 3
NOBODY = 'nobody'
# The resulting durations range from less than the time in which a process
# detects that it is isolated (4 s) to more than the time after which its peers
# declare it dead.
CUT_FACTOR = 2.0
# Mean times between the signals of a series.
SIGNAL_GAPS_S = (0.05, 0.2, 1.0, 5.0)


async def entry_dies(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Kill an entry."""
    return await _away(context, daemons.ENTRY, fault)


async def control_dies(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Kill a controller."""
    return await _away(context, daemons.CONTROL, fault)


async def entry_pauses(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Freeze an entry."""
    return await _pause(context, daemons.ENTRY, fault)


async def control_pauses(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Freeze a controller, in some cases for longer than its lease."""
    return await _pause(context, daemons.CONTROL, fault)


async def entry_stops(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Shut an entry down gracefully while callers use it."""
    victim = context.daemon(daemons.ENTRY, fault)
    if victim is None:
        return NOBODY
    took_s = await context.daemons.stop(victim.name, fault.duration_s)
    context.stop_times_s.append(took_s)
    return f'{victim.name}, ended after {took_s:.1f} s'


async def daemons_signalled(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Stop several daemons, at any spacing, and signal them until they end."""
    rng = random.Random(fault.where)
    present = context.undisturbed(*context.daemons.by_name.values())
    victims = rng.sample(
        present, rng.randint(min(1, len(present)), len(present))
    )

    async def stop(victim: daemons.Daemon, after_s: float) -> None:
        await anyio.sleep(after_s)
        if context.undisturbed(victim):
            series = daemons.SignalSeries(rng, rng.choice(SIGNAL_GAPS_S))
            took_s = await context.daemons.stop(
                victim.name, fault.duration_s, series
            )
            context.stop_times_s.append(took_s)

    async with anyio.create_task_group() as group:
        for chosen in victims:
            group.start_soon(stop, chosen, rng.uniform(0, fault.duration_s))
    return ', '.join([each.name for each in victims]) or NOBODY


async def operators_race(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Confirm two plans concurrently that were made from the same state."""
    contenders = []
    apis = context.daemons.role(daemons.CONTROL)
    if not apis:
        return NOBODY
    for index in range(RACERS):
        number = next(context.wish_numbers)
        spec = operators.DeclarationSpec(
            number, str(1 + number % VERSIONS), FEWEST_REPLICAS + number % 2
        )
        api = apis[(int(fault.where * RACERS) + index) % len(apis)]
        declaration = operators.make_declaration(
            spec,
            context.platform.service_addresses,
            context.platform.size.load_time_s,
        )
        operator = operators.Operator(api.address, context.bearer)
        contenders.append((operator, spec, declaration))
    tried = await operators.race(contenders)
    context.races.append(tried)
    return ', '.join(
        f'probe-{each.spec.number}: {each.status}' for each in tried
    )


async def peers_cut(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Block the connections between a daemon and its peers both ways."""
    return await _cut(context, fault, from_others=True)


async def peers_cut_one_way(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Block the requests of a daemon to its peers, but not theirs to it."""
    return await _cut(context, fault, from_others=False)


async def _cut(
    context: fault_context.FaultContext,
    fault: schedule.Fault,
    *,
    from_others: bool,
) -> str:
    present = [
        daemon
        for daemon in context.daemons.by_name.values()
        if not (daemon.away or daemon.stopping)
    ]
    if not context.daemons.can_cut or not present:
        return NOBODY
    victim = fault_context.pick(present, fault.where)
    await context.daemons.cut(
        victim.name, CUT_FACTOR * fault.duration_s, from_others=from_others
    )
    return victim.name


async def _away(
    context: fault_context.FaultContext, role: str, fault: schedule.Fault
) -> str:
    victim = context.daemon(role, fault)
    if victim is None:
        return NOBODY
    await context.daemons.kill(victim.name, fault.duration_s)
    return victim.name


async def _pause(
    context: fault_context.FaultContext, role: str, fault: schedule.Fault
) -> str:
    victim = context.daemon(role, fault)
    if victim is None or not context.daemons.can_pause:
        return NOBODY
    await context.daemons.pause(victim.name, fault.duration_s)
    return victim.name
