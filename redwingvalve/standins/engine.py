"""A fake model engine on one VM: its batch, cache, orders and faults.

Engines of one process share an EngineRegistry, through which a head sees
whether every VM of its replica is available. Engines in separate processes
have no common registry; a head then assumes that the members of its order are
available.
"""

import itertools
import math
import time
from collections import abc as collections_abc

import anyio
import attrs
from anyio import abc as anyio_abc
from expression import Result

from redwingvalve.platform_api import engine_orders
from redwingvalve.standins import (
    batching,
    faults,
    generated_text,
    ledger,
    load_report,
    orders,
    prefix_cache,
)

COLLECTIVE_TIMEOUT_S = 1.0
# After a VM has returned from a fault, controllers may still send orders that
# treat it as failed; runs cut within this time are attributed to the fault.
FAULT_AFTEREFFECT_S = 15.0
PAUSE_CHECK_S = 0.01
# Above 0.0, which means that no VM is missing.
MIN_ABSENCE_S = 0.000001


@attrs.frozen
class EngineOptions:
    """Timings, capacities and reporting lags of one engine."""

    vm: str
    load_time_s: float = 0.5
    batch: batching.BatchSettings = attrs.field(factory=batching.BatchSettings)
    cache_blocks: int = 4096
    cache_lag_s: float = 0.5
    cache_event_loss_ratio: float = 0.02
    load_lag_s: float = 0.5
    ignores_fencing: bool = False
    reports_members: bool = False
    seed: int = 0


@attrs.frozen
class MemberOutage:
    """How long a VM has been missing, and whether a fault is the cause."""

    duration_s: float = 0.0
    by_fault: bool = False


class EngineRegistry:
    """The engines of this process by VM name, and who is missing."""

    def __init__(self) -> None:
        """Start with no engines."""
        self.engines: dict[str, Engine] = {}

    def missing(
        self, state: engine_orders.EngineState, now_s: float
    ) -> MemberOutage:
        """Return the longest absence among the members of a replica."""
        absences = [
            self.engines[member].absence(state, now_s)
            for member in state.members
            if member in self.engines
        ]
        return MemberOutage(
            max((absent.duration_s for absent in absences), default=0.0),
            any(absent.by_fault for absent in absences),
        )

    def members_seen(
        self, head: engine_orders.EngineState, now_s: float
    ) -> tuple[engine_orders.MemberSeen, ...]:
        """Return the other members that are ready in the head's epoch."""
        return tuple(
            engine_orders.MemberSeen(name, 0.0)
            for name in head.members
            if name != head.vm
            and name in self.engines
            and self.engines[name].is_ready_member(head, now_s)
        )


class Engine:
    """One engine; engine_app serves it over HTTP."""

    def __init__(
        self,
        options: EngineOptions,
        registry: EngineRegistry | None = None,
        group: anyio_abc.TaskGroup | None = None,
    ) -> None:
        """Start idle; steps run as a task of group while there are runs."""
        self.options = options
        self.orders = orders.OrderedState(options.vm, options.load_time_s)
        self.orders.ignores_fencing = options.ignores_fencing
        self.faults = faults.EngineFaults()
        self.ledger = ledger.Ledger()
        self.cache = prefix_cache.PrefixCache(
            options.cache_blocks,
            options.cache_lag_s,
            options.cache_event_loss_ratio,
            options.seed,
        )
        self.load = load_report.LoadReport(options.load_lag_s)
        self.batch = batching.Batch(options.batch)
        self.exported_kv: dict[str, int] = {}
        self.dead = False
        self.on_die: collections_abc.Callable[[float], None] | None = None
        self._group = group
        self._registry = registry or EngineRegistry()
        self._registry.engines[options.vm] = self
        self._arrivals = itertools.count()
        self._stepping = False
        self._absent_since_s: float | None = None
        self._paused_since_s = 0.0
        self._fault_effect_until_s = 0.0

    def attach(self, group: anyio_abc.TaskGroup) -> None:
        """Set the task group in which steps run."""
        self._group = group

    def state(self) -> engine_orders.EngineState:
        """Return the state that the engine reports."""
        now_s = time.monotonic()
        state = self.orders.current(now_s, len(self.batch.runs))
        if not self.options.reports_members:
            return state
        return attrs.evolve(
            state, members_seen=self._registry.members_seen(state, now_s)
        )

    def apply(
        self, order: engine_orders.EngineOrder
    ) -> Result[bool, engine_orders.OrderRefused]:
        """Apply an order; cut all runs if it changes the assignment."""
        before = self.orders.assigned_state
        failed = self.missing().by_fault
        applied = self.orders.apply(order, time.monotonic())
        if applied.is_ok() and applied.ok:
            self._absent_since_s = time.monotonic()
            self.batch.cut_all('incomplete' if failed else 'order')
            self.exported_kv.clear()
        if applied.is_ok() and before.model != order.model:
            self.cache.clear(time.monotonic())
        return applied

    def missing(self) -> MemberOutage:
        """Return the longest absence of a VM of this replica."""
        return self._registry.missing(
            self.orders.assigned_state, time.monotonic()
        )

    def missing_at(self, earlier_s: float) -> float:
        """Return for how long a VM had been missing at a monotonic time.

        A request that arrives at a paused head only runs after the pause, so
        the sender is judged by the state at the time of arrival.
        """
        since_s = time.monotonic() - earlier_s
        return max(0.0, self.missing().duration_s - since_s)

    def absence(
        self, head: engine_orders.EngineState, now_s: float
    ) -> MemberOutage:
        """Return for how long this VM has been missing from a replica."""
        by_fault = now_s < self._fault_effect_until_s
        if self.paused():
            return MemberOutage(now_s - self._paused_since_s, by_fault)
        assigned_state = self.orders.assigned_state
        there = (assigned_state.replica, assigned_state.epoch) == (
            head.replica,
            head.epoch,
        )
        if there and not self.dead:
            # An order that was delayed by a pause may still react to the fault.
            return MemberOutage(0.0, by_fault)
        since_s = self._absent_since_s or now_s
        return MemberOutage(max(now_s - since_s, MIN_ABSENCE_S), by_fault)

    def is_ready_member(
        self, head: engine_orders.EngineState, now_s: float
    ) -> bool:
        """Whether this VM is ready in the epoch of a replica's head."""
        return (
            self.orders.ready(now_s)
            and not self.absence(head, now_s).duration_s
        )

    def submit(
        self,
        request_id: str,
        prompt: str,
        max_tokens: int,
        priority: int,
        done: int = 0,
    ) -> batching.Run:
        """Queue a run of which done tokens were delivered before."""
        run = batching.Run(
            request_id=request_id,
            prompt=prompt,
            priority=priority,
            arrival=next(self._arrivals),
            prompt_tokens=generated_text.count_prompt_tokens(prompt) + done,
            max_tokens=max_tokens,
            done=done,
        )
        run.prefilled = min(self.exported_kv.pop(request_id, 0), done)
        self.batch.add(run)
        if not self._stepping and self._group is not None:
            self._stepping = True
            self._group.start_soon(self._step_while_busy)
        return run

    def cancel(self, request_id: str, reason: str = 'cancelled') -> bool:
        """Stop a run; return False if no run has this id."""
        for run in self.batch.runs:
            if run.request_id == request_id:
                self.batch.cut(run, reason)
                return True
        return False

    def die(self, restart_after_s: float = 0.0) -> None:
        """Crash: lose all state, and restart after restart_after_s.

        0.0 means no restart. The ledger is kept, since tests check it.
        """
        self.dead = True
        self._absent_since_s = time.monotonic()
        self._fault_effect_until_s = math.inf
        self.batch.cut_all('died')
        self.cache.clear(time.monotonic())
        self.orders.restart()
        if self.on_die is not None:
            self.on_die(restart_after_s)

    def revive(self) -> None:
        """Restart as idle; die() has set a new incarnation."""
        self.dead = False
        self.faults.paused_until_s = 0.0
        self._fault_effect_until_s = time.monotonic() + FAULT_AFTEREFFECT_S

    def record_fault(self) -> None:
        """Record the start of a pause or a network fault, if one is on."""
        if self.paused():
            self._paused_since_s = time.monotonic()
        if self.paused() or self.unreachable():
            until_s = max(
                self.faults.paused_until_s, self.faults.unreachable_until_s
            )
            self._fault_effect_until_s = until_s + FAULT_AFTEREFFECT_S

    def paused(self) -> bool:
        """Whether the engine is paused."""
        return time.monotonic() < self.faults.paused_until_s

    def unreachable(self) -> bool:
        """Whether new requests to the engine are dropped."""
        return time.monotonic() < self.faults.unreachable_until_s

    async def wait_while_paused(self) -> None:
        """Wait until the engine is not paused."""
        while self.paused():
            await anyio.sleep(PAUSE_CHECK_S)

    async def _step_while_busy(self) -> None:
        while self.batch.runs and not self.dead:
            await anyio.sleep(
                self.batch.settings.step_s * self.faults.straggle_factor
            )
            await self.wait_while_paused()
            self._step()
        self._stepping = False
        self._sample(0)

    def _step(self) -> None:
        if self.dead or not self.orders.ready(time.monotonic()):
            return
        missing = self.missing()
        if missing.duration_s and not self.faults.serve_incomplete:
            # A replica that has lost a VM makes no progress: its collective
            # operations time out, and then every run fails.
            if missing.duration_s > COLLECTIVE_TIMEOUT_S:
                self.batch.cut_all(
                    'incomplete' if missing.by_fault else 'order'
                )
            return
        for run in self.batch.admit():
            if self._is_poison(run):
                self.die(self.faults.restart_after_s)
                return
            held = self.cache.use(
                generated_text.prefix_hashes(run.prompt), time.monotonic()
            )
            run.prefilled = max(run.prefilled, _tokens_in_blocks(held))
            run.prefilled = min(run.prefilled, run.prompt_tokens - 1)
        before = self.batch.tokens_generated
        self.batch.step()
        self._sample(self.batch.tokens_generated - before)

    def _is_poison(self, run: batching.Run) -> bool:
        marker = self.faults.poison_marker
        return bool(marker) and marker in run.prompt

    def _sample(self, tokens: int) -> None:
        runs = self.batch.runs
        waiting = self.batch.waiting()
        self.load.add(
            load_report.LoadSample(
                running=len(runs) - waiting,
                waiting=waiting,
                kv_used_share=self.batch.kv_used_tokens()
                / self.batch.settings.kv_capacity_tokens,
                tokens_per_s=tokens / self.batch.settings.step_s,
                at_s=time.time(),
            )
        )


def _tokens_in_blocks(blocks: int) -> int:
    characters = blocks * generated_text.PREFIX_BLOCK_CHARACTERS
    return characters // generated_text.CHARACTERS_PER_TOKEN
