"""Directed attacks on the promises, for fleets of real processes.

Only for tests. Each attack is short and sure: with its safeguard disabled it
breaks its promise on every run, and with it in force on none.
"""

import contextlib
import time
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.core import invariants
from redwingvalve.plans import objects
from redwingvalve.soak import (
    breaches,
    callers,
    checker,
    daemons,
    fault_context,
    fleet_run,
    operators,
    schedule,
    workload,
)
from redwingvalve.standins import engine
from tests.integration import fault_proxy, process_daemons, processes

Guarantee = breaches.Guarantee
Safeguard = invariants.Safeguard
SETTLE_S = 15.0
OTHERS_GONE_S = 8.0
PATIENT_ATTEMPTS = 14
# The platform's list lags, and two controllers tell what it shows.
TOLD_S = 2.0


@attrs.define
class Stage:
    """A fleet of processes whose endpoints stand behind fault proxies."""

    run: fleet_run.FleetRun
    hit: fault_context.FaultContext
    proxies: dict[str, fault_proxy.FaultProxy]
    asking: list[callers.Caller] = attrs.field(factory=list)

    def caller(self) -> callers.Caller:
        """Return a new caller, whose records count at the end."""
        index = len(self.asking)
        made = self.run.make_caller(f'a{index}', index)
        self.asking.append(made)
        return made

    async def ask(
        self,
        kind: workload.Kind,
        count: int,
        max_attempts: int = callers.MAX_ATTEMPTS,
    ) -> None:
        """Let so many callers make one request each, all at once."""
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.caller().call, kind, '', max_attempts)

    async def ask_for(
        self, kind: workload.Kind, duration_s: float, count: int = 4
    ) -> None:
        """Let so many callers make requests without a pause."""
        ends_at_s = time.monotonic() + duration_s

        async def one(caller: callers.Caller) -> None:
            while time.monotonic() < ends_at_s:
                await caller.call(kind)

        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(one, self.caller())

    def proxies_of_services(self) -> list[fault_proxy.FaultProxy]:
        return [
            self.proxies[service.server.address]
            for service in self.run.platform.services
        ]

    async def settle(self) -> None:
        """End all faults and wait until every replica serves again."""
        for proxy in self.proxies.values():
            proxy.heal()
        self.run.platform.heal()
        wanted = operators.DeclarationSpec(1).replicas
        with anyio.move_on_after(SETTLE_S):
            while len(self.run.platform.serving_heads()) < wanted:
                await anyio.sleep(0.1)

    def found(self) -> tuple[breaches.Breach, ...]:
        """Compare all that callers and endpoints saw."""
        return self.run.compare((), self.hit, self.asking).breaches


async def cross_answers(stage: Stage) -> None:
    """Whole answers are exchanged between two connections."""
    for proxy in stage.proxies_of_services():
        proxy.faults.cross_answers = 2
    await stage.ask(workload.Kind.FETCH, 12)


async def truncate_streams(stage: Stage) -> None:
    """Streams end cleanly in the middle, without a [DONE]."""
    for head in stage.run.platform.serving_heads():
        head.faults.truncate = 2
    await stage.ask(workload.Kind.NARRATIVE, 8)


async def reset_while_running(stage: Stage) -> None:
    """Connections break after the engines have begun to run quotes."""
    async with anyio.create_task_group() as group:
        group.start_soon(stage.ask, workload.Kind.QUOTE, 8)
        await anyio.sleep(0.15)
        for proxy in stage.proxies.values():
            await proxy.reset_all()


async def lose_answers_of_flags(stage: Stage) -> None:
    """A service runs flags and dies before it answers; callers resend.

    They do so long enough that the poison guard, which holds back what was
    lost with its endpoint, lets all of them through to a second run.
    """
    for service in stage.run.platform.services:
        service.responses_to_drop = 3
    await stage.ask(workload.Kind.FLAG, 6, PATIENT_ATTEMPTS)


@contextlib.asynccontextmanager
async def without_controllers(
    stage: Stage,
) -> collections_abc.AsyncIterator[None]:
    """Kill every controller and start them again after the block."""
    controls = stage.run.daemons.role(daemons.CONTROL)
    for daemon in controls:
        daemon.away = True
        await stage.run.daemons.kill_now(daemon)
    yield
    for daemon in controls:
        await stage.run.daemons.start(daemon)
        daemon.away = False


async def lose_workers(stage: Stage) -> None:
    """Each replica loses a VM while no controller is there to see it."""
    workers = [
        head.state().members[-1] for head in stage.run.platform.serving_heads()
    ]
    engines = stage.run.platform.engines
    async with without_controllers(stage):
        for worker in workers:
            engines.engines[worker].die()
        await stage.ask_for(workload.Kind.NARRATIVE, 6.0)
        for worker in workers:
            await engines.revive(worker)


async def leave_under_load(stage: Stage) -> None:
    """A head is told to leave while it has long work and more comes."""
    heads = stage.run.platform.serving_heads()
    for head in heads:
        head.faults.straggle_factor = 3.0
    async with anyio.create_task_group() as group:
        group.start_soon(stage.ask, workload.Kind.SCAN, 8)
        await anyio.sleep(0.5)
        await _leave(stage, heads[0], 24)


async def leave_while_wanted(stage: Stage) -> None:
    """A head is told to leave, then no controller and no other head is there.

    Long work keeps it from being stopped before, and routing has nobody else;
    only the safeguard keeps new work away from it.
    """
    heads = stage.run.platform.serving_heads()
    for head in heads:
        head.faults.straggle_factor = 3.0
    async with anyio.create_task_group() as group:
        group.start_soon(stage.ask, workload.Kind.SCAN, 2 * len(heads))
        await anyio.sleep(0.5)
        leaving = max(heads, key=_running)
        group.start_soon(_leave, stage, leaving, 6)
        await anyio.sleep(TOLD_S)
        for head in heads:
            if head is leaving:
                continue
            head.faults.unreachable_until_s = time.monotonic() + OTHERS_GONE_S
            head.record_fault()
        async with without_controllers(stage):
            leaving.faults.straggle_factor = 1.0
            await anyio.sleep(OTHERS_GONE_S)


def _running(head: engine.Engine) -> int:
    return sum(
        run.finished is None and not run.cut for run in head.ledger.entries
    )


async def _leave(stage: Stage, head: engine.Engine, count: int) -> None:
    vm_listing = stage.run.platform.vm_listing
    vm = head.options.vm
    told_s = time.time() + vm_listing.lag_s
    vm_listing.mark(vm, 'leaving')
    await stage.ask_for(workload.Kind.QUOTE, 7.0, count)
    vm_listing.mark(vm, 'live')
    stage.hit.leaving.append(checker.LeavingPeriod(vm, told_s, time.time()))


async def restore_old_objects(stage: Stage) -> None:
    """The store comes back from a backup with older account objects."""
    store = stage.run.platform.store.store
    kind = objects.CLIENT_ACCOUNTS
    old = store.list_now(kind).objects
    await stage.run.declare(operators.DeclarationSpec(50))
    await anyio.sleep(2.0)
    new = store.list_now(kind).objects
    _put_back(store, old)
    await anyio.sleep(3.0)
    _put_back(store, new)


def _put_back(store, stored_objects) -> None:
    for stored in stored_objects:
        store._version += 1
        store._objects[stored.kind][stored.name] = stored
        store._record('MODIFIED', stored)


async def send_poison_each_second(stage: Stage) -> None:
    """A request that kills each engine that runs it is sent each second."""
    _poison_all(stage)
    await stage.caller().call(
        workload.Kind.NARRATIVE, 'poison-here', max_attempts=6, pause_s=1.0
    )


async def send_poison_at_once(stage: Stage) -> None:
    """The same, sent again as soon as the answer allows."""
    _poison_all(stage)
    await stage.caller().call(workload.Kind.NARRATIVE, 'poison-here')


def _poison_all(stage: Stage) -> None:
    for each in stage.run.platform.engines.engines.values():
        each.faults.poison_marker = 'poison-here'
        each.faults.restart_after_s = 1.0


async def stop_an_entry(stage: Stage) -> None:
    """An entry is stopped gracefully while streams run through it."""
    async with anyio.create_task_group() as group:
        group.start_soon(stage.ask_for, workload.Kind.NARRATIVE, 4.0)
        await anyio.sleep(0.5)
        entry = stage.run.daemons.role(daemons.ENTRY)[0]
        await stage.run.daemons.stop(entry.name, 0.5)


async def race_operators(stage: Stage) -> None:
    """Two operators confirm at one moment while the store loses answers."""
    await stage.run.platform.store_fault(name='lose-answers', count=2)
    fault = schedule.Fault(0.0, schedule.FaultName.OPERATORS_RACE, 0.1, 0.0)
    from redwingvalve.soak import daemon_faults

    await daemon_faults.operators_race(stage.hit, fault)
    await stage.run.platform.heal_store()


@attrs.frozen
class Attack:
    """An attack, the safeguard that withstands it, what breaks without."""

    act: collections_abc.Callable[[Stage], collections_abc.Awaitable[None]]
    breaks: frozenset[Guarantee]
    safeguard: Safeguard | None = None

    @property
    def name(self) -> str:
        return self.act.__name__.replace('_', ' ')


ATTACKS = (
    Attack(
        cross_answers,
        frozenset({Guarantee.WHOLE_AND_OWN}),
        Safeguard.ANSWER_IDENTITY,
    ),
    Attack(
        truncate_streams,
        frozenset({Guarantee.WHOLE_AND_OWN}),
        Safeguard.ANSWER_COMPLETENESS,
    ),
    Attack(
        reset_while_running,
        frozenset({Guarantee.NOT_RUN, Guarantee.AT_MOST_ONCE}),
        Safeguard.TRUTHFUL_NOT_RUN,
    ),
    Attack(
        lose_answers_of_flags,
        frozenset({Guarantee.AT_MOST_ONCE}),
        Safeguard.RUN_AT_MOST_ONCE,
    ),
    Attack(
        send_poison_each_second,
        frozenset({Guarantee.POISON}),
        Safeguard.POISON_REFUSED,
    ),
    Attack(send_poison_at_once, frozenset({Guarantee.POISON})),
    Attack(
        leave_while_wanted,
        frozenset({Guarantee.LEAVING}),
        Safeguard.LEAVING_EXCLUDED,
    ),
    Attack(
        leave_under_load,
        frozenset({Guarantee.PLANNED_STOP, Guarantee.INVARIANT}),
        Safeguard.DRAIN_BEFORE_STOP,
    ),
    Attack(
        restore_old_objects,
        frozenset({Guarantee.CONFIGURATION, Guarantee.INVARIANT}),
        Safeguard.CONFIGURATION_ONLY_RISES,
    ),
    Attack(stop_an_entry, frozenset({Guarantee.PLANNED_STOP})),
    Attack(race_operators, frozenset({Guarantee.RACE})),
    Attack(
        lose_workers,
        frozenset({Guarantee.NO_VM_MISSING}),
        Safeguard.EVIDENCE_REQUIRED,
    ),
)


@contextlib.asynccontextmanager
async def open_stage(
    disabled: tuple[Safeguard, ...] = (), seed: int = 1
) -> collections_abc.AsyncIterator[Stage]:
    """Give a fleet of processes behind proxies, with safeguards disabled."""
    proxies: dict[str, fault_proxy.FaultProxy] = {}
    async with anyio.create_task_group() as group:

        async def start_proxy(address: str) -> str:
            proxy = fault_proxy.FaultProxy(address, group)
            await proxy.start()
            proxies[address] = proxy
            return proxy.address

        options = fleet_run.Options(
            seed,
            0.0,
            disabled=tuple(each.value for each in disabled),
            start_proxy=start_proxy,
        )
        with processes.make_processes() as children:
            async with fleet_run.open_run(
                options,
                lambda _: process_daemons.ProcessDaemons(children),
            ) as run:
                hit = run.make_fault_context(run.make_caller('nobody', 999))
                yield Stage(run, hit, proxies)
        group.cancel_scope.cancel()
