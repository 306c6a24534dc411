"""Injects the scheduled faults, each at its time."""

import types
import typing
from collections import abc as collections_abc

import anyio

from redwingvalve.soak import (
    daemon_faults,
    fault_context,
    platform_faults,
    schedule,
)

Name = schedule.FaultName
Injector: typing.TypeAlias = collections_abc.Callable[
    [fault_context.FaultContext, schedule.Fault], collections_abc.Awaitable[str]
]
INJECTORS: collections_abc.Mapping[Name, Injector] = types.MappingProxyType(
    {
        Name.VM_DIES: platform_faults.vm_dies,
        Name.VM_PAUSES: platform_faults.vm_pauses,
        Name.VM_STRAGGLES: platform_faults.vm_straggles,
        Name.DOMAIN_DARK: platform_faults.domain_dark,
        Name.VM_LEAVES: platform_faults.vm_leaves,
        Name.VM_UNREACHABLE: platform_faults.vm_unreachable,
        Name.ANSWER_CROSSED: platform_faults.crossed,
        Name.ANSWER_TRUNCATED: platform_faults.truncated,
        Name.POISON: platform_faults.poison,
        Name.STORE_DOWN: platform_faults.store_down,
        Name.STORE_SLOW: platform_faults.store_slow,
        Name.STORE_LOSES_ANSWERS: platform_faults.store_loses,
        Name.SERVICE_LOSES_ANSWERS: platform_faults.service_loses,
        Name.ENTRY_DIES: daemon_faults.entry_dies,
        Name.ENTRY_STOPS: daemon_faults.entry_stops,
        Name.ENTRY_PAUSES: daemon_faults.entry_pauses,
        Name.CONTROL_DIES: daemon_faults.control_dies,
        Name.CONTROL_PAUSES: daemon_faults.control_pauses,
        Name.OPERATORS_RACE: daemon_faults.operators_race,
        Name.PEERS_CUT: daemon_faults.peers_cut,
        Name.PEERS_CUT_ONE_WAY: daemon_faults.peers_cut_one_way,
        Name.DAEMONS_SIGNALLED: daemon_faults.daemons_signalled,
    }
)


async def inject_faults(
    context: fault_context.FaultContext,
    planned: collections_abc.Iterable[schedule.Fault],
) -> None:
    """Inject each fault at its offset from now and wait for all to end."""
    started_s = anyio.current_time()

    async def at_its_time(fault: schedule.Fault) -> None:
        await anyio.sleep_until(started_s + fault.at_s)
        context.journal.note(
            f'begin {fault.name.value} where={fault.where:.3f}'
        )
        victim = await INJECTORS[fault.name](context, fault)
        context.journal.note(f'end {fault.name.value} of {victim}')

    async with anyio.create_task_group() as group:
        for fault in planned:
            group.start_soon(at_its_time, fault)
