"""Sends an overdue request to a second endpoint; the first answer counts.

Load pattern: an endpoint is slow for some requests and sound otherwise, so that
ending the send there would often lose an answer that is about to arrive. Both
sends run until one is answered: a stream with its first event, any other
request with its whole answer. The connection of the other send is closed at
once, and an answer that arrives nevertheless is dropped.

A send that loses tells nothing about its endpoint: it is neither a failure nor
a sign of a crash. Its slot is released once its connection is closed, and
counts as uncertain, because the endpoint may not have noticed yet.
"""

import asyncio
import time
import typing
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.ingress import (
    caller_wait,
    hedge_plan,
    hedge_race,
    load_balancing,
    reservations,
    send_results,
    upstream,
    upstream_sender,
)
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('ingress')
_MS_IN_S = 1000.0

# Sends at a reserved slot and releases it.
SendOnce: typing.TypeAlias = collections_abc.Callable[
    [upstream_sender.UpstreamSender, reservations.Reservation],
    collections_abc.Awaitable[upstream.Outcome],
]
MakeSender: typing.TypeAlias = collections_abc.Callable[
    [caller_wait.CallerWait, hedge_race.Lane], upstream_sender.UpstreamSender
]
# Called for a send that failed while the other one runs.
OnFailure: typing.TypeAlias = collections_abc.Callable[
    [send_results.SendResult], None
]
MakeWait: typing.TypeAlias = collections_abc.Callable[[], 'HedgeWait']
# After these, the request ends whatever the other send does.
_FINAL = frozenset(
    (
        upstream.Outcome.COMPLETE,
        upstream.Outcome.CALLER_GONE,
        upstream.Outcome.TIMEOUT,
        upstream.Outcome.EXPIRED,
    )
)
_GIVEN_UP = frozenset((upstream.Outcome.STALLED, upstream.Outcome.TIMEOUT))


class HedgeWait(caller_wait.CallerWait):
    """Ends with the caller's wait, or as soon as the hedge is not needed."""

    is_stopped = False

    @property
    def has_ended(self) -> bool:
        """Return whether nothing may be sent any more."""
        return self.is_stopped or super().has_ended

    def open_scope(self) -> anyio.CancelScope:
        """Return a scope to wait in, cancelled if the hedge isn't needed."""
        scope = super().open_scope()
        if self.is_stopped:
            scope.cancel()
        return scope

    def stop(self) -> None:
        """Send nothing from now on."""
        self.is_stopped = True
        self.cancel()


@attrs.define(eq=False)
class _Hedge:
    """The second send, from its slot to its end."""

    sender: upstream_sender.UpstreamSender
    lane: hedge_race.Lane
    wait: HedgeWait
    target: load_balancing.Target
    ended: asyncio.Future[upstream.Outcome]
    is_overdue: bool = False
    is_first_overdue: bool = False

    def stop(self) -> None:
        """End the send, or the attempt to connect."""
        self.wait.stop()
        self.sender.supersede()

    def result(self) -> send_results.SendResult:
        """Return how it ended."""
        return send_results.SendResult(
            self.ended.result(), self.target, self.sender.upstream_request
        )


@attrs.define(eq=False)
class HedgedSend:
    """Sends one request, and hedges it at most once."""

    _first: upstream_sender.UpstreamSender
    _race: hedge_race.Race
    _plan: hedge_plan.HedgePlan
    _make_wait: MakeWait
    _make_sender: MakeSender
    _timeout_at_s: float
    _log_extra: dict[str, str]
    _send_once: SendOnce
    _on_failure: OnFailure
    _planning: anyio.CancelScope | None = None
    _hedge: _Hedge | None = None
    _first_ended: asyncio.Future[upstream.Outcome] | None = None

    def __attrs_post_init__(self) -> None:
        """Take part in what the first send does."""
        self._race.on_won = self._on_won
        self._first.wait_until_alone = self._wait_while_hedge_runs

    async def send(
        self, reservation: reservations.Reservation
    ) -> send_results.SendResult:
        """Send the request; return how the send that counts has ended."""
        self._race.restart()
        self._plan.start()
        self._first_ended = asyncio.get_running_loop().create_future()
        async with anyio.create_task_group() as group:
            if self._hedge is None:
                group.start_soon(self._run_hedge)
            outcome = await self._send_once(self._first, reservation)
            first = send_results.SendResult(
                outcome, reservation.target, self._first.upstream_request
            )
            self._note_first(first)
            found = await self._choose_result(first)
            group.cancel_scope.cancel()
        return found

    def prepare_resumption(self) -> None:
        """Let the first lane go on with a send that was parked."""
        self._race.restart()

    def cancel(self) -> None:
        """End the hedge, as the caller has left."""
        self._stop_planning()
        if self._hedge is not None:
            self._hedge.wait.cancel()
            self._hedge.sender.cancel()

    def _note_first(self, first: send_results.SendResult) -> None:
        assert self._first_ended is not None
        self._first_ended.set_result(first.outcome)
        self._stop_planning()
        if first.outcome is upstream.Outcome.COMPLETE:
            self._race.claim(self._race.first)
        if first.outcome in _GIVEN_UP and self._race.winner is None:
            self._plan.observe()

    async def _choose_result(
        self, first: send_results.SendResult
    ) -> send_results.SendResult:
        """Return the result of the hedge if the first send has none."""
        hedge = self._hedge
        if hedge is None:
            return first
        is_won = self._race.winner is hedge.lane
        is_over = first.outcome in _FINAL or hedge.ended.done()
        if is_over and not is_won:
            hedge.stop()
            return first
        if first.outcome in send_results.FAILED:
            self._on_failure(first)
        await asyncio.wait((hedge.ended,))
        return hedge.result()

    async def _run_hedge(self) -> None:
        try:
            await self._hedge_when_overdue()
        except Exception:
            # The first send goes on, as the request would without a hedge.
            LOG.exception('hedge failed', extra=self._log_extra)

    async def _hedge_when_overdue(self) -> None:
        reservation = None
        self._planning = anyio.CancelScope()
        with self._planning:
            reservation = await self._plan.reserve_when_overdue()
        if reservation is None:
            return
        if self._planning.cancel_called:
            reservation.release(reservations.ReleaseState.FREE)
        elif self._plan.spend(reservation):
            await self._send_hedge(reservation)

    async def _send_hedge(self, reservation: reservations.Reservation) -> None:
        hedge = self._start_hedge(reservation.target)
        outcome = upstream.Outcome.SUPERSEDED
        try:
            outcome = await self._send_once(hedge.sender, reservation)
        finally:
            hedge.sender.abandon()
            self._end_hedge(hedge, outcome)

    def _start_hedge(self, target: load_balancing.Target) -> _Hedge:
        wait = self._make_wait()
        lane = hedge_race.Lane(self._race)
        hedge = _Hedge(
            self._make_sender(wait, lane),
            lane,
            wait,
            target,
            asyncio.get_running_loop().create_future(),
        )
        hedge.sender.wait_until_alone = self._wait_while_first_runs
        self._hedge = hedge
        self._log('sent', hedge)
        return hedge

    def _end_hedge(self, hedge: _Hedge, outcome: upstream.Outcome) -> None:
        if outcome is upstream.Outcome.COMPLETE:
            self._race.claim(hedge.lane)
        hedge.ended.set_result(outcome)
        if self._race.winner is not hedge.lane:
            self._log('lost', hedge)
        assert self._first_ended is not None
        if outcome in send_results.FAILED and not self._first_ended.done():
            self._on_failure(hedge.result())

    def _on_won(self, lane: hedge_race.Lane) -> None:
        """End the other send."""
        self._plan.observe()
        self._stop_planning()
        hedge = self._hedge
        # A hedge that has ended may be parked, and resumed by the first sender.
        if hedge is None or hedge.ended.done():
            return
        if lane is hedge.lane:
            self._first.supersede()
            self._log('won', hedge)
        else:
            hedge.stop()

    async def _wait_while_hedge_runs(
        self, request: upstream.UpstreamRequest
    ) -> bool:
        """Keep an overdue first send while the hedge may be answered."""
        self._stop_planning()
        hedge = self._hedge
        if hedge is None or hedge.ended.done():
            return True
        hedge.is_first_overdue = True
        self._stop_if_both_overdue(hedge)
        return await self._wait_for_either(request.ended, hedge.ended)

    async def _wait_while_first_runs(
        self, request: upstream.UpstreamRequest
    ) -> bool:
        """Keep an overdue hedge while the first send may be answered."""
        assert self._first_ended is not None and self._hedge is not None
        if self._first_ended.done():
            return True
        self._hedge.is_overdue = True
        self._stop_if_both_overdue(self._hedge)
        return await self._wait_for_either(request.ended, self._first_ended)

    def _stop_if_both_overdue(self, hedge: _Hedge) -> None:
        """Let the first send move to a third endpoint."""
        is_overdue = hedge.is_overdue and hedge.is_first_overdue
        if is_overdue and self._plan.may_send_again:
            hedge.stop()

    async def _wait_for_either(
        self, *ended: asyncio.Future[upstream.Outcome]
    ) -> bool:
        """Return whether no time is left to wait again."""
        left_s = self._timeout_at_s - time.monotonic()
        await asyncio.wait(
            ended,
            timeout=max(0, left_s),
            return_when=asyncio.FIRST_COMPLETED,
        )
        return time.monotonic() >= self._timeout_at_s

    def _stop_planning(self) -> None:
        if self._planning is not None:
            self._planning.cancel()

    def _log(self, outcome: str, hedge: _Hedge) -> None:
        node_metrics.METRICS.count('redwingvalve_hedges', outcome=outcome)
        LOG.info(
            f'hedge {outcome}',
            extra={
                **self._log_extra,
                'endpoint': hedge.target.endpoint_id,
                'after_ms': int(self._plan.elapsed_s * _MS_IN_S),
            },
        )
