"""Faults of VMs, endpoints and the store."""

import time

import anyio

from redwingvalve.soak import checker, fault_context, schedule, workload

RESTART_S = 2.0
STRAGGLE_FACTOR = 10.0
SLOW_S = 0.5
LOST_ANSWERS = 3
LOST_CALLS = 2
SILENT_FROM = 0.5


async def vm_dies(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Kill a VM; it restarts idle."""
    victim = context.engine(fault)
    if not victim.dead:
        victim.die(RESTART_S + fault.duration_s)
    return victim.options.vm


async def vm_pauses(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Freeze a VM."""
    victim = context.engine(fault)
    victim.faults.paused_until_s = time.monotonic() + fault.duration_s
    victim.record_fault()
    await anyio.sleep(fault.duration_s)
    return victim.options.vm


async def vm_unreachable(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Drop every new request to a VM."""
    victim = context.engine(fault)
    victim.faults.unreachable_until_s = time.monotonic() + fault.duration_s
    victim.record_fault()
    await anyio.sleep(fault.duration_s)
    return victim.options.vm


async def vm_straggles(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Slow down a VM."""
    victim = context.engine(fault)
    victim.faults.straggle_factor = STRAGGLE_FACTOR
    await anyio.sleep(fault.duration_s)
    victim.faults.straggle_factor = 1.0
    return victim.options.vm


async def domain_dark(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Kill every VM of a fabric domain at once."""
    domain = fault_context.pick(context.platform.size.domains, fault.where)[0]
    for vm in context.platform.domain_vms(domain):
        victim = context.platform.engines.engines[vm]
        if not victim.dead:
            victim.die(RESTART_S + fault.duration_s)
    return domain


async def vm_leaves(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """List a VM as leaving, then as live again."""
    vm = context.engine(fault).options.vm
    vm_listing = context.platform.vm_listing
    told_s = time.time() + vm_listing.lag_s
    vm_listing.set_state(vm, 'leaving')
    await anyio.sleep(fault.duration_s + 2 * checker.Bounds().leaving_s)
    vm_listing.set_state(vm, 'live')
    context.leaving.append(checker.LeavingPeriod(vm, told_s, time.time()))
    return vm


async def crossed(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Make an endpoint return the response to another request."""
    victim = context.endpoint(fault)
    victim.faults.crossed += 1
    return fault_context.name_of(victim)


async def truncated(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Make an endpoint truncate a response."""
    victim = context.endpoint(fault)
    victim.faults.truncate += 1
    return fault_context.name_of(victim)


async def poison(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Send a request that kills each engine that runs it, with all retries."""
    marker = f'poison-{fault.at_s:.3f}'
    for each in context.platform.engines.engines.values():
        each.faults.poison_marker = marker
        each.faults.restart_after_s = RESTART_S
    record = await context.poisoner.call(workload.Kind.NARRATIVE, marker)
    return f'{record.request.name}, {len(record.attempts)} attempts'


async def store_down(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Make the store unavailable; it returns 503 or does not respond."""
    silent = fault.where > SILENT_FROM
    await context.platform.store_fault(name='outage', silent=silent)
    await anyio.sleep(fault.duration_s)
    await context.platform.heal_store()
    return 'store, silent' if silent else 'store'


async def store_slow(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Delay every call to the store."""
    await context.platform.store_fault(name='slow', delay_s=SLOW_S)
    await anyio.sleep(fault.duration_s)
    await context.platform.heal_store()
    return 'store'


async def store_loses(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Drop the responses to writes that take effect."""
    await context.platform.store_fault(name='lose-answers', count=LOST_ANSWERS)
    return 'store'


async def service_loses(
    context: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Drop the responses to calls that a service has run."""
    victim = fault_context.pick(context.platform.services, fault.where)
    victim.responses_to_drop += LOST_CALLS
    return victim.name
