"""Forwards a request to another node while this one reaches no endpoint.

The other node handles the request as one of its own callers, except that it
never forwards it again, makes only as many attempts as are left, and doesn't
count it for its retry budget. It declines a request that it can't send either,
before anything has run; then the next node is tried.
"""

import itertools
import time

from redwingvalve.http1 import client, messages, pool
from redwingvalve.ingress import (
    admission_control,
    caller_wait,
    parked_sends,
    peer_routes,
    request_sends,
    stream_forwarding,
    upstream,
    upstream_sender,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import caller_requests, endpoint_statements, names

LOG = logs.make_logger('forwarding')
_UNAVAILABLE = 503
_MS_IN_S = 1000.0
_NOT_TAKEN = 'not taken'
# Nodes that one log line names.
MAX_LOGGED = 12


class PeerAnswer(upstream.UpstreamRequest):
    """Collects the answer of another node."""

    @property
    def is_declined(self) -> bool:
        """Return whether the node didn't take the request."""
        return (
            self.head is not None and self.head.status == peer_routes.DECLINED
        )

    def classify(self) -> upstream.Outcome:
        """Return the outcome; a refusal of the node is one that didn't run."""
        return (
            upstream.Outcome.NOT_RUN if self._is_refusal else super().classify()
        )

    @property
    def _is_refusal(self) -> bool:
        head = self.head
        if head is None or head.status != _UNAVAILABLE:
            return False
        return head.header(names.SEAL_HEADER) is None


class PeerStream(PeerAnswer, upstream.UpstreamStream):
    """Forwards the events of a stream that another node receives."""


class PeerSender:
    """Sends one request to other nodes until one of them takes it."""

    def __init__(
        self,
        state: state_module.IngressState,
        request: messages.Request,
        caller: caller_requests.CallerRequest,
        admission: admission_control.Admission,
        wait: caller_wait.CallerWait,
        forwarder: stream_forwarding.StreamForwarder,
        sends: request_sends.RequestSends,
    ) -> None:
        """Send the request while wait lasts; events go to forwarder."""
        # The answer of the node that took the request, None without one.
        self.answer: PeerAnswer | None = None
        self.vm = ''
        # What each asked node did that didn't take the request.
        self.asked: dict[str, str] = {}
        self._state = state
        self._request = request
        self._caller = caller
        self._admission = admission
        self._wait = wait
        self._forwarder = forwarder
        self._sends = sends

    async def send(self, attempts: int) -> upstream.Outcome | None:
        """Return the outcome, None if no node took the request.

        The node makes at most so many attempts.
        """
        peers = self._state.peers
        pool_out_of_reach = self._pool_out_of_reach()
        for peer in peers.candidates(pool_out_of_reach):
            if self._wait.has_ended:
                break
            with peers.track(peer.vm):
                outcome = await self._send_to(peer, attempts)
            if outcome is not None:
                peers.mark_taken(peer.vm)
                self.vm = peer.vm
                self._log(outcome.value)
                return outcome
            peers.mark_declined(peer.vm, pool_out_of_reach)
        self._log(_NOT_TAKEN)
        return None

    def cancel(self) -> None:
        """End the current attempt, as the caller has left."""
        if self.answer is not None:
            self.answer.stop(upstream.Outcome.CALLER_GONE)

    def _pool_out_of_reach(self) -> peer_routes.TargetPool | None:
        if self._state.reach.is_cut_off:
            return None
        return self._admission.service, self._admission.model

    async def _send_to(
        self, peer: peer_routes.PeerTarget, attempts: int
    ) -> upstream.Outcome | None:
        connection = await self._connect(peer)
        if connection is None:
            self.asked[peer.vm] = 'not reached'
            return None
        answer = self._make_answer()
        self._sends.hold_answer(answer, self._state.account)
        self.answer = answer
        answer.exchange = connection.send(
            self._render(attempts),
            answer,
            self._state.connections.release_callback(peer.address),
            self._request.body,
        )
        self._forwarder.attach(answer.exchange, None)
        try:
            outcome = await upstream.wait_until(
                answer, self._admission.timeout_at_s
            )
        finally:
            self._forwarder.detach()
        if outcome in upstream_sender.ABANDONED:
            answer.exchange.abandon()
        if answer.is_declined:
            self.asked[peer.vm] = 'declined'
            self.answer = None
            return None
        return outcome

    async def _connect(
        self, peer: peer_routes.PeerTarget
    ) -> client.Connection | None:
        max_idle_s = upstream_sender.max_idle_s(self._admission.route)
        connection = None
        try:
            with self._wait.open_scope():
                connection = await self._state.connections.take(
                    peer.address, max_idle_s
                )
        except pool.ConnectError as error:
            LOG.info(
                'node not reached', extra={'vm': peer.vm, 'error': str(error)}
            )
        if connection is not None and self._wait.has_ended:
            self._state.connections.release(peer.address, connection)
            return None
        return connection

    def _make_answer(self) -> PeerAnswer:
        attempt_id = self._caller.attempt_id
        if self._admission.is_stream:
            sink = parked_sends.TakeoverSink(
                self._forwarder, self._sends.parked
            )
            return PeerStream(
                attempt_id, _ignore, sink, self._forwarder.last_event
            )
        return PeerAnswer(attempt_id, _ignore)

    def _render(self, attempts: int) -> bytes:
        left_s = self._admission.timeout_at_s - time.monotonic()
        return caller_requests.render_peer_request(
            self._request,
            caller_requests.PeerHeaders(
                attempts=attempts,
                deadline_ms=max(1, int(left_s * _MS_IN_S)),
                last_event=self._forwarder.last_event,
                has_returned=self._admission.has_returned,
            ),
        )

    def _log(self, outcome: str) -> None:
        node_metrics.METRICS.count(
            'redwingvalve_forwarded_requests', outcome=outcome
        )
        LOG.info(
            f'forwarded: {outcome}',
            extra={
                'request': self._caller.attempt_id.decode('latin-1'),
                'route': self._admission.route.name,
                'vm': self.vm,
                'last_event': self._forwarder.last_event,
                'asked': dict(itertools.islice(self.asked.items(), MAX_LOGGED)),
                'asked_count': len(self.asked),
                'nodes': self._state.peers.count_by_state(),
            },
        )


def _ignore(statement: endpoint_statements.Statement) -> None:
    """Leave an endpoint's statements to the node that received them."""
