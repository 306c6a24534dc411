"""Faults of VMs, endpoints and the store, as the schedule names them."""

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
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Kill a VM; it comes back idle."""
    victim = hit.engine(fault)
    if not victim.dead:
        victim.die(RESTART_S + fault.duration_s)
    return victim.options.vm


async def vm_pauses(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Freeze a VM."""
    victim = hit.engine(fault)
    victim.faults.paused_until_s = time.monotonic() + fault.duration_s
    victim.record_fault()
    await anyio.sleep(fault.duration_s)
    return victim.options.vm


async def vm_unreachable(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Lose every new request to a VM."""
    victim = hit.engine(fault)
    victim.faults.unreachable_until_s = time.monotonic() + fault.duration_s
    victim.record_fault()
    await anyio.sleep(fault.duration_s)
    return victim.options.vm


async def vm_straggles(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Slow a VM down."""
    victim = hit.engine(fault)
    victim.faults.straggle_factor = STRAGGLE_FACTOR
    await anyio.sleep(fault.duration_s)
    victim.faults.straggle_factor = 1.0
    return victim.options.vm


async def domain_dark(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Kill every VM of a fabric domain at once."""
    domain = fault_context.pick(hit.platform.size.domains, fault.where)[0]
    for vm in hit.platform.domain_vms(domain):
        victim = hit.platform.engines.engines[vm]
        if not victim.dead:
            victim.die(RESTART_S + fault.duration_s)
    return domain


async def vm_leaves(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Show a VM as leaving, then as live again."""
    vm = hit.engine(fault).options.vm
    vm_listing = hit.platform.vm_listing
    told_s = time.time() + vm_listing.lag_s
    vm_listing.set_state(vm, 'leaving')
    await anyio.sleep(fault.duration_s + 2 * checker.Bounds().leaving_s)
    vm_listing.set_state(vm, 'live')
    hit.leaving.append(checker.LeavingPeriod(vm, told_s, time.time()))
    return vm


async def crossed(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Let an endpoint answer a request with somebody else's answer."""
    victim = hit.endpoint(fault)
    victim.faults.crossed += 1
    return fault_context.name_of(victim)


async def truncated(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Let an endpoint end an answer before its end."""
    victim = hit.endpoint(fault)
    victim.faults.truncate += 1
    return fault_context.name_of(victim)


async def poison(hit: fault_context.FaultContext, fault: schedule.Fault) -> str:
    """Send a request that kills whatever runs it, as often as allowed."""
    marker = f'poison-{fault.at_s:.3f}'
    for each in hit.platform.engines.engines.values():
        each.faults.poison_marker = marker
        each.faults.restart_after_s = RESTART_S
    record = await hit.poisoner.call(workload.Kind.NARRATIVE, marker)
    return f'{record.request.name}, {len(record.attempts)} attempts'


async def store_down(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Take the store away; it answers 503 or nothing."""
    silent = fault.where > SILENT_FROM
    await hit.platform.store_fault(name='outage', silent=silent)
    await anyio.sleep(fault.duration_s)
    await hit.platform.heal_store()
    return 'store, silent' if silent else 'store'


async def store_slow(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Slow every call of the store down."""
    await hit.platform.store_fault(name='slow', delay_s=SLOW_S)
    await anyio.sleep(fault.duration_s)
    await hit.platform.heal_store()
    return 'store'


async def store_loses(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Lose answers of writes that take effect."""
    await hit.platform.store_fault(name='lose-answers', count=LOST_ANSWERS)
    return 'store'


async def service_loses(
    hit: fault_context.FaultContext, fault: schedule.Fault
) -> str:
    """Lose answers of calls that a service has run."""
    victim = fault_context.pick(hit.platform.services, fault.where)
    victim.responses_to_drop += LOST_CALLS
    return victim.name
