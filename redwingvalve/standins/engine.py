"""A stand-in model engine: one VM, its batch, cache, orders and faults.

Engines of one process share a Fabric, through which a head sees whether every
VM of its replica is there. Without it, as separate processes, a head trusts
its order.
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

MISSING_TIMEOUT_S = 1.0
# Whoever took a VM for dead may act on it for so long after its return.
AFTERMATH_S = 15.0
PAUSE_CHECK_S = 0.01
SOME_TIME_S = 0.000001


@attrs.frozen
class EngineOptions:
    """Speeds, sizes and lags of one engine."""

    vm: str
    load_time_s: float = 0.5
    batch: batching.BatchSettings = attrs.field(factory=batching.BatchSettings)
    cache_blocks: int = 4096
    cache_lag_s: float = 0.5
    cache_gap_share: float = 0.02
    load_lag_s: float = 0.5
    ignores_fencing: bool = False
    vouches_for_members: bool = False
    seed: int = 0


@attrs.frozen
class Missing:
    """How long a replica has lacked a VM, and whether a fault was the cause."""

    duration_s: float = 0.0
    by_fault: bool = False


class Fabric:
    """Which engines of this process are alive; a death has a time."""

    def __init__(self) -> None:
        """Start without engines."""
        self.engines: dict[str, Engine] = {}

    def missing(
        self, state: engine_orders.EngineState, now_s: float
    ) -> Missing:
        """Return for how long the replica of a head has been incomplete."""
        absences = [
            self.engines[member].absence(state, now_s)
            for member in state.members
            if member in self.engines
        ]
        return Missing(
            max((absent.duration_s for absent in absences), default=0.0),
            any(absent.by_fault for absent in absences),
        )

    def members_seen(
        self, head: engine_orders.EngineState, now_s: float
    ) -> tuple[engine_orders.MemberSeen, ...]:
        """Return the members that are ready in the head's epoch now."""
        return tuple(
            engine_orders.MemberSeen(name, 0.0)
            for name in head.members
            if name != head.vm
            and name in self.engines
            and self.engines[name].takes_part(head, now_s)
        )


class Engine:
    """One engine; the HTTP side stands in engine_app."""

    def __init__(
        self,
        options: EngineOptions,
        fabric: Fabric | None = None,
        group: anyio_abc.TaskGroup | None = None,
    ) -> None:
        """Start idle; steps run in group while there is work."""
        self.options = options
        self.orders = orders.OrderedState(options.vm, options.load_time_s)
        self.orders.ignores_fencing = options.ignores_fencing
        self.faults = faults.EngineFaults()
        self.ledger = ledger.Ledger()
        self.cache = prefix_cache.PrefixCache(
            options.cache_blocks,
            options.cache_lag_s,
            options.cache_gap_share,
            options.seed,
        )
        self.load = load_report.LoadReport(options.load_lag_s)
        self.batch = batching.Batch(options.batch)
        self.exported_kv: dict[str, int] = {}
        self.dead = False
        self.on_die: collections_abc.Callable[[float], None] | None = None
        self._group = group
        self._fabric = fabric or Fabric()
        self._fabric.engines[options.vm] = self
        self._arrivals = itertools.count()
        self._stepping = False
        self._absent_since_s: float | None = None
        self._paused_since_s = 0.0
        self._disturbed_until_s = 0.0

    def attach(self, group: anyio_abc.TaskGroup) -> None:
        """Name the task group in which steps run."""
        self._group = group

    def state(self) -> engine_orders.EngineState:
        """Return what the engine says of itself."""
        now_s = time.monotonic()
        state = self.orders.current(now_s, len(self.batch.runs))
        if not self.options.vouches_for_members:
            return state
        return attrs.evolve(
            state, members_seen=self._fabric.members_seen(state, now_s)
        )

    def apply(
        self, order: engine_orders.EngineOrder
    ) -> Result[bool, engine_orders.OrderRefused]:
        """Take an order; runs that it makes impossible are cut."""
        before = self.orders.plain
        failed = self.missing().by_fault
        applied = self.orders.apply(order, time.monotonic())
        if applied.is_ok() and applied.ok:
            self._absent_since_s = time.monotonic()
            self.batch.cut_all('incomplete' if failed else 'order')
            self.exported_kv.clear()
        if applied.is_ok() and before.model != order.model:
            self.cache.clear(time.monotonic())
        return applied

    def missing(self) -> Missing:
        """Return for how long a VM of this replica has been missing."""
        return self._fabric.missing(self.orders.plain, time.monotonic())

    def missing_at(self, earlier_s: float) -> float:
        """Return for how long a VM had been missing at a monotonic time.

        A request that arrives at a paused head runs when the pause ends; who
        sent it knew no later than its arrival.
        """
        since_s = time.monotonic() - earlier_s
        return max(0.0, self.missing().duration_s - since_s)

    def absence(self, head: engine_orders.EngineState, now_s: float) -> Missing:
        """Return for how long this VM has not been there for a replica."""
        by_fault = now_s < self._disturbed_until_s
        if self.paused():
            return Missing(now_s - self._paused_since_s, by_fault)
        plain = self.orders.plain
        there = (plain.replica, plain.epoch) == (head.replica, head.epoch)
        if there and not self.dead:
            # An order that waited out a pause still acts on the fault.
            return Missing(0.0, by_fault)
        since_s = self._absent_since_s or now_s
        return Missing(max(now_s - since_s, SOME_TIME_S), by_fault)

    def takes_part(self, head: engine_orders.EngineState, now_s: float) -> bool:
        """Tell whether this VM is ready in the epoch of a replica's head."""
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
        """Queue a run; done tokens of it were already delivered elsewhere."""
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
        """End a run; false when there is none of this id."""
        for run in self.batch.runs:
            if run.request_id == request_id:
                self.batch.cut(run, reason)
                return True
        return False

    def die(self, restart_after_s: float = 0.0) -> None:
        """Lose all state and stop answering; come back after restart_after_s.

        0.0 means never. The ledger stays: it belongs to the proof.
        """
        self.dead = True
        self._absent_since_s = time.monotonic()
        self._disturbed_until_s = math.inf
        self.batch.cut_all('died')
        self.cache.clear(time.monotonic())
        self.orders.restart()
        if self.on_die is not None:
            self.on_die(restart_after_s)

    def revive(self) -> None:
        """Come back idle, as a new incarnation."""
        self.dead = False
        self.faults.paused_until_s = 0.0
        self._disturbed_until_s = time.monotonic() + AFTERMATH_S

    def record_fault(self) -> None:
        """Remember that a pause or a cut begins now, if one does."""
        if self.paused():
            self._paused_since_s = time.monotonic()
        if self.paused() or self.unreachable():
            until_s = max(
                self.faults.paused_until_s, self.faults.unreachable_until_s
            )
            self._disturbed_until_s = until_s + AFTERMATH_S

    def paused(self) -> bool:
        """Tell whether the engine is paused now."""
        return time.monotonic() < self.faults.paused_until_s

    def unreachable(self) -> bool:
        """Tell whether new requests to the engine are lost now."""
        return time.monotonic() < self.faults.unreachable_until_s

    async def wait_while_paused(self) -> None:
        """Return when the engine is not paused."""
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
            # A replica that lost a VM makes no progress; its collective
            # operations time out and every run fails.
            if missing.duration_s > MISSING_TIMEOUT_S:
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
            run.prefilled = max(run.prefilled, _tokens_of(held))
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


def _tokens_of(blocks: int) -> int:
    characters = blocks * generated_text.PREFIX_BLOCK_CHARACTERS
    return characters // generated_text.CHARACTERS_PER_TOKEN
