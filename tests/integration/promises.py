"""Directed fault scenarios ("attacks") against fleets of child processes.

Only for tests. Each attack is short and deterministic in its effect: it breaks
its promise on every run with the safeguard disabled, and on no run with the
safeguard enabled.
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
SETTLE_TIMEOUT_S = 15.0
OTHERS_UNREACHABLE_S = 8.0
EXTENDED_MAX_ATTEMPTS = 14
# Time for a drain to propagate: the VM list lags behind the platform, and two
# controllers report what it shows.
DRAIN_PROPAGATION_S = 2.0


@attrs.define
class AttackFleet:
    """A fleet of child processes with a fault proxy before each endpoint."""

    run: fleet_run.FleetRun
    context: fault_context.FaultContext
    proxies: dict[str, fault_proxy.FaultProxy]
    active_callers: list[callers.Caller] = attrs.field(factory=list)

    def caller(self) -> callers.Caller:
        """Return a new caller, whose records are checked by find_breaches."""
        index = len(self.active_callers)
        new_caller = self.run.make_caller(f'a{index}', index)
        self.active_callers.append(new_caller)
        return new_caller

    async def ask(
        self,
        kind: workload.Kind,
        count: int,
        max_attempts: int = callers.MAX_ATTEMPTS,
    ) -> None:
        """Let count callers make one request each, concurrently."""
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.caller().call, kind, '', max_attempts)

    async def call_repeatedly(
        self, kind: workload.Kind, duration_s: float, count: int = 4
    ) -> None:
        """Let count callers make requests back to back for duration_s."""
        deadline_s = time.monotonic() + duration_s

        async def one(caller: callers.Caller) -> None:
            while time.monotonic() < deadline_s:
                await caller.call(kind)

        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(one, self.caller())

    def service_proxies(self) -> list[fault_proxy.FaultProxy]:
        return [
            self.proxies[service.server.address]
            for service in self.run.platform.services
        ]

    async def settle(self) -> None:
        """Clear all faults and wait until every replica serves again."""
        for proxy in self.proxies.values():
            proxy.heal()
        self.run.platform.heal()
        wanted = operators.DeclarationSpec(1).replicas
        with anyio.move_on_after(SETTLE_TIMEOUT_S):
            while len(self.run.platform.serving_heads()) < wanted:
                await anyio.sleep(0.1)

    def find_breaches(self) -> tuple[breaches.Breach, ...]:
        """Compare the records of callers and endpoints; return breaches."""
        return self.run.compare((), self.context, self.active_callers).breaches


async def cross_answers(fleet: AttackFleet) -> None:
    """Complete responses are swapped between two connections."""
    for proxy in fleet.service_proxies():
        proxy.faults.swap_responses = 2
    await fleet.ask(workload.Kind.FETCH, 12)


async def truncate_streams(fleet: AttackFleet) -> None:
    """Streams are closed cleanly midway, without a [DONE]."""
    for head in fleet.run.platform.serving_heads():
        head.faults.truncate = 2
    await fleet.ask(workload.Kind.NARRATIVE, 8)


async def reset_while_running(fleet: AttackFleet) -> None:
    """Connections are reset after engines have started to run quotes."""
    async with anyio.create_task_group() as group:
        group.start_soon(fleet.ask, workload.Kind.QUOTE, 8)
        await anyio.sleep(0.15)
        for proxy in fleet.proxies.values():
            await proxy.reset_all()


async def lose_answers_of_flags(fleet: AttackFleet) -> None:
    """A service runs flags and fails before it responds; callers retry.

    They retry long enough for the poison guard, which holds back requests that
    were lost with their endpoint, to admit all of them for a second run.
    """
    for service in fleet.run.platform.services:
        service.responses_to_drop = 3
    await fleet.ask(workload.Kind.FLAG, 6, EXTENDED_MAX_ATTEMPTS)


@contextlib.asynccontextmanager
async def without_controllers(
    fleet: AttackFleet,
) -> collections_abc.AsyncIterator[None]:
    """Kill all controllers and restart them after the block."""
    controllers = fleet.run.daemons.role(daemons.CONTROL)
    for daemon in controllers:
        daemon.away = True
        await fleet.run.daemons.kill_now(daemon)
    yield
    for daemon in controllers:
        await fleet.run.daemons.start(daemon)
        daemon.away = False


async def lose_workers(fleet: AttackFleet) -> None:
    """Each replica loses a VM while no controller is running."""
    workers = [
        head.state().members[-1] for head in fleet.run.platform.serving_heads()
    ]
    engines = fleet.run.platform.engines
    async with without_controllers(fleet):
        for worker in workers:
            engines.engines[worker].die()
        await fleet.call_repeatedly(workload.Kind.NARRATIVE, 6.0)
        for worker in workers:
            await engines.revive(worker)


async def leave_under_load(fleet: AttackFleet) -> None:
    """A head is drained while it runs long requests and receives more."""
    heads = fleet.run.platform.serving_heads()
    for head in heads:
        head.faults.straggle_factor = 3.0
    async with anyio.create_task_group() as group:
        group.start_soon(fleet.ask, workload.Kind.SCAN, 8)
        await anyio.sleep(0.5)
        await _drain_head(fleet, heads[0], 24)


async def leave_while_wanted(fleet: AttackFleet) -> None:
    """A head is drained, then all controllers and other heads are unavailable.

    Long requests keep it from being stopped earlier, and routing has no other
    head; only the safeguard keeps new requests away from it.
    """
    heads = fleet.run.platform.serving_heads()
    for head in heads:
        head.faults.straggle_factor = 3.0
    async with anyio.create_task_group() as group:
        group.start_soon(fleet.ask, workload.Kind.SCAN, 2 * len(heads))
        await anyio.sleep(0.5)
        leaving = max(heads, key=_running)
        group.start_soon(_drain_head, fleet, leaving, 6)
        await anyio.sleep(DRAIN_PROPAGATION_S)
        for head in heads:
            if head is leaving:
                continue
            head.faults.unreachable_until_s = (
                time.monotonic() + OTHERS_UNREACHABLE_S
            )
            head.record_fault()
        async with without_controllers(fleet):
            leaving.faults.straggle_factor = 1.0
            await anyio.sleep(OTHERS_UNREACHABLE_S)


def _running(head: engine.Engine) -> int:
    return sum(
        run.finished is None and not run.cut for run in head.ledger.entries
    )


async def _drain_head(
    fleet: AttackFleet, head: engine.Engine, count: int
) -> None:
    vm_listing = fleet.run.platform.vm_listing
    vm = head.options.vm
    drained_at_s = time.time() + vm_listing.lag_s
    vm_listing.set_state(vm, 'leaving')
    await fleet.call_repeatedly(workload.Kind.QUOTE, 7.0, count)
    vm_listing.set_state(vm, 'live')
    fleet.context.leaving.append(
        checker.LeavingPeriod(vm, drained_at_s, time.time())
    )


async def restore_old_objects(fleet: AttackFleet) -> None:
    """The store is restored from a backup with older account objects."""
    store = fleet.run.platform.store.store
    kind = objects.CLIENT_ACCOUNTS
    old = store.list_now(kind).objects
    await fleet.run.declare(operators.DeclarationSpec(50))
    await anyio.sleep(2.0)
    new = store.list_now(kind).objects
    _overwrite_objects(store, old)
    await anyio.sleep(3.0)
    _overwrite_objects(store, new)


def _overwrite_objects(store, stored_objects) -> None:
    for stored in stored_objects:
        store._version += 1
        store._objects[stored.kind][stored.name] = stored
        store._record('MODIFIED', stored)


async def send_poison_each_second(fleet: AttackFleet) -> None:
    """A request that crashes every engine that runs it is sent each second."""
    _poison_all(fleet)
    await fleet.caller().call(
        workload.Kind.NARRATIVE, 'poison-here', max_attempts=6, pause_s=1.0
    )


async def send_poison_at_once(fleet: AttackFleet) -> None:
    """The poison request is retried as soon as the response allows it."""
    _poison_all(fleet)
    await fleet.caller().call(workload.Kind.NARRATIVE, 'poison-here')


def _poison_all(fleet: AttackFleet) -> None:
    for each in fleet.run.platform.engines.engines.values():
        each.faults.poison_marker = 'poison-here'
        each.faults.restart_after_s = 1.0


async def stop_an_entry(fleet: AttackFleet) -> None:
    """An entry is stopped gracefully while streams run through it."""
    async with anyio.create_task_group() as group:
        group.start_soon(fleet.call_repeatedly, workload.Kind.NARRATIVE, 4.0)
        await anyio.sleep(0.5)
        entry = fleet.run.daemons.role(daemons.ENTRY)[0]
        await fleet.run.daemons.stop(entry.name, 0.5)


async def race_operators(fleet: AttackFleet) -> None:
    """Two operators confirm concurrently while the store drops responses."""
    await fleet.run.platform.store_fault(name='lose-answers', count=2)
    fault = schedule.Fault(0.0, schedule.FaultName.OPERATORS_RACE, 0.1, 0.0)
    from redwingvalve.soak import daemon_faults

    await daemon_faults.operators_race(fleet.context, fault)
    await fleet.run.platform.heal_store()


@attrs.frozen
class Attack:
    """An attack, the safeguard against it and the promises it breaks."""

    execute: collections_abc.Callable[
        [AttackFleet], collections_abc.Awaitable[None]
    ]
    broken_guarantees: frozenset[Guarantee]
    safeguard: Safeguard | None = None

    @property
    def name(self) -> str:
        return self.execute.__name__.replace('_', ' ')


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
async def open_attack_fleet(
    disabled: tuple[Safeguard, ...] = (), seed: int = 1
) -> collections_abc.AsyncIterator[AttackFleet]:
    """Yield a fleet behind fault proxies, with safeguards disabled."""
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
                context = run.make_fault_context(run.make_caller('nobody', 999))
                yield AttackFleet(run, context, proxies)
        group.cancel_scope.cancel()
