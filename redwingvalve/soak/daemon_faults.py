"""Faults of entries and controllers, and operators who race."""

from redwingvalve.soak import daemons, fault_context, operators, schedule

RACERS = 2
VERSIONS = 3
FEWEST_REPLICAS = 3
NOBODY = 'nobody'
# From below the time after which a process knows that it is cut off (4 s) to
# beyond that after which its peers call it dead.
CUT_FACTOR = 2.0


async def entry_dies(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Kill an entry."""
    return await _away(hit, daemons.ENTRY, fault)


async def control_dies(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Kill a controller."""
    return await _away(hit, daemons.CONTROL, fault)


async def entry_pauses(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Freeze an entry."""
    return await _pause(hit, daemons.ENTRY, fault)


async def control_pauses(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Freeze a controller, beyond its lease now and then."""
    return await _pause(hit, daemons.CONTROL, fault)


async def entry_stops(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Stop an entry gracefully while callers use it."""
    victim = hit.daemon(daemons.ENTRY, fault)
    if victim is None:
        return NOBODY
    took_s = await hit.daemons.stop(victim.name, fault.duration_s)
    hit.stop_times_s.append(took_s)
    return f'{victim.name}, ended after {took_s:.1f} s'


async def operators_race(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Let two operators confirm plans made from the same world."""
    contenders = []
    apis = hit.daemons.role(daemons.CONTROL)
    for index in range(RACERS):
        number = next(hit.wish_numbers)
        spec = operators.DeclarationSpec(
            number, str(1 + number % VERSIONS), FEWEST_REPLICAS + number % 2
        )
        api = apis[(int(fault.where * RACERS) + index) % len(apis)]
        declaration = operators.make_declaration(
            spec,
            hit.platform.service_addresses,
            hit.platform.size.load_time_s,
        )
        operator = operators.Operator(api.address, hit.bearer)
        contenders.append((operator, spec, declaration))
    tried = await operators.race(contenders)
    hit.races.append(tried)
    return ', '.join(
        f'probe-{each.spec.number}: {each.status}' for each in tried
    )


async def peers_cut(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Cut a daemon off from all its peers, in both ways."""
    return await _cut(hit, fault, from_others=True)


async def peers_cut_one_way(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Lose what a daemon asks its peers; they still reach it."""
    return await _cut(hit, fault, from_others=False)


async def _cut(
    hit: fault_context.FaultContext, fault: schedule.Fault, *, from_others: bool
) -> str:
    present = [
        daemon
        for daemon in hit.daemons.by_name.values()
        if not (daemon.away or daemon.stopping)
    ]
    if not hit.daemons.can_cut or not present:
        return NOBODY
    victim = fault_context.pick(present, fault.where)
    await hit.daemons.cut(
        victim.name, CUT_FACTOR * fault.duration_s, from_others=from_others
    )
    return victim.name


async def _away(
    hit: fault_context.FaultContext, role: str, fault: schedule.Fault
) -> str:
    victim = hit.daemon(role, fault)
    if victim is None:
        return NOBODY
    await hit.daemons.kill(victim.name, fault.duration_s)
    return victim.name


async def _pause(
    hit: fault_context.FaultContext, role: str, fault: schedule.Fault
) -> str:
    victim = hit.daemon(role, fault)
    if victim is None or not hit.daemons.can_pause:
        return NOBODY
    await hit.daemons.pause(victim.name, fault.duration_s)
    return victim.name
