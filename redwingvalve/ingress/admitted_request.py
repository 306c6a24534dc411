"""Sends an admitted request until it is answered or given up."""

import time

import attrs

from redwingvalve.http1 import messages, server
from redwingvalve.ingress import (
    admission_control,
    caller_wait,
    crash_keys,
    load_balancing,
    peer_sender,
    refusals,
    request_senders,
    reservations,
    responses,
    send_results,
    slot_requests,
    stream_forwarding,
    timing,
    upstream,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.platform import caller_requests

_TIMEOUT = 'timeout'
_CALLER_LEFT = 'caller left'
_OUT_OF_REACH = 'no endpoint in reach'
# Stands in log lines for the target of a request that got none.
_NO_TARGET = load_balancing.Target('', '', 0, 0, '')


@attrs.define(eq=False)
class AdmittedRequest:
    """One admitted request, across all endpoints that it is sent to."""

    _state: state_module.IngressState
    _caller: caller_requests.CallerRequest
    _responder: server.Responder
    _admission: admission_control.Admission
    _times: timing.RequestTiming
    _keys: crash_keys.RequestKeys
    _wait: caller_wait.CallerWait
    _forwarder: stream_forwarding.StreamForwarder
    _senders: request_senders.RequestSenders
    _peer_sender: peer_sender.PeerSender
    # Forwarded by another node.
    _is_from_peer: bool = False
    # Sent once in spite of the endpoints that it has crashed.
    _is_trial: bool = False
    _may_have_run: bool = False
    _failure_response: upstream.UpstreamRequest | None = None
    _was_forwarded: bool = False
    _retry_after_s: float = refusals.RETRY_AFTER_S

    async def run(self) -> None:
        """Send the request until the response is complete."""
        self._responder.on_disconnect = self._on_caller_gone
        try:
            await self._send_until_finished()
        finally:
            self._senders.sends.release()

    async def _send_until_finished(self) -> None:
        while not self._wait.is_caller_gone:
            sent = await self._send()
            while self._finish_unless_retry(sent):
                if not self._can_resume:
                    return
                sent = await self._senders.resume()

    async def _send(self) -> send_results.SendResult | None:
        """Return how the next send ended, None if there was none."""
        if self._is_refused():
            return None
        is_out_of_reach = self._state.is_out_of_reach(
            self._admission.service, self._admission.model
        )
        if is_out_of_reach and await self._forward_to_peer():
            return None
        reservation = self._senders.sends.relocation.take()
        if reservation is None:
            reservation = await self._reserve_slot()
        if reservation is None:
            return None
        # Endpoints may have crashed while it waited.
        if self._is_refused():
            reservation.release(reservations.ReleaseState.FREE)
            return None
        return await self._try_target(reservation)

    @property
    def was_sent(self) -> bool:
        """Return whether an endpoint or a node may have received it."""
        return self._senders.sends.sent_count > 0 or self._was_forwarded

    @property
    def _can_resume(self) -> bool:
        """Return whether a parked send may still complete the answer."""
        if self._responder.is_done or self._wait.is_caller_gone:
            return False
        return self._senders.sends.parked.can_resume

    def _is_refused(self) -> bool:
        """Refuse the request if it may crash endpoints or would be cut."""
        refusal = refusals.for_crashing_request(self._state.poison, self._keys)
        is_first_send = not self._senders.sends.sent_count
        if refusal is None or (self._is_trial and is_first_send):
            return self._is_too_late()
        self._give_up(refusal.reason, refusal)
        return True

    def _is_too_late(self) -> bool:
        """Refuse the request if this node stops before it would end."""
        if self._responder.is_started:
            return False
        refusal = self._state.stop_admission.refuse_late(
            self._admission, self._state.rng, may_have_run=self._may_have_run
        )
        if refusal and not (self._is_from_peer and self._decline()):
            self._give_up(refusal.reason, refusal)
        return refusal is not None

    def _give_up(
        self,
        reason: str,
        refusal: refusals.Refusal | None = None,
        target: load_balancing.Target = _NO_TARGET,
    ) -> None:
        """Log the reason and fail, unless a parked send can be resumed."""
        if not self._can_resume:
            self._log_outcome(target, f'given up: {reason}')
            self._fail(reason, refusal)

    def give_up(self, refusal: refusals.Refusal) -> None:
        """End the response now; refusal is sent if nothing can have run."""
        if self._responder.is_done or self._responder.is_disconnected:
            return
        self._may_have_run |= self.was_sent
        self._senders.sends.parked.drop()
        self._give_up(refusal.reason, refusal)

    async def _forward_to_peer(self) -> bool:
        """Let another node answer; return whether the request has ended."""
        if self._is_from_peer:
            return self._decline()
        attempts = (
            self._admission.route.max_attempts - self._senders.sends.sent_count
        )
        if self._was_forwarded or attempts < 1:
            return False
        self._was_forwarded = True
        outcome = await self._peer_sender.send(attempts)
        if outcome is not None:
            self._finish_forwarded(outcome)
            return True
        if self._wait.has_ended or not self._state.reach.is_cut_off:
            # The paths to this model's targets may be back.
            return False
        # No node reaches an endpoint.
        self._give_up(_OUT_OF_REACH)
        return True

    def _decline(self) -> bool:
        """Let the forwarding node try another one, if nothing was sent."""
        if self._senders.sends.sent_count or self._responder.is_started:
            return False
        responses.decline(self._responder, self._caller, _OUT_OF_REACH)
        return True

    def _finish_forwarded(self, outcome: upstream.Outcome) -> None:
        answer = self._peer_sender.answer
        if outcome is upstream.Outcome.CALLER_GONE or answer is None:
            return
        if outcome is upstream.Outcome.COMPLETE:
            self._state.poison.record_answer(self._keys.fingerprint)
            responses.send_response(self._responder, answer)
            return
        # A refusal of the other node is as good as one of this node.
        if outcome is not upstream.Outcome.NOT_RUN:
            self._may_have_run = True
        if not self._may_have_run or outcome is upstream.Outcome.FAILURE:
            self._failure_response = answer
        self._fail(_TIMEOUT if outcome in _OUT_OF_TIME else outcome.value)

    async def _reserve_slot(self) -> reservations.Reservation | None:
        """Return a slot, or respond and return None."""
        wait_started_s = time.monotonic()
        found: reservations.Reservation | reservations.NoSlot | None = None
        with self._wait.open_scope():
            found = await slot_requests.reserve_slot(
                self._state,
                self._caller,
                self._admission,
                self._senders.sends.tried_endpoints,
            )
        self._times.add_wait_since(wait_started_s)
        if isinstance(found, reservations.Reservation):
            return found
        if isinstance(found, reservations.NoSlot):
            self._retry_after_s = found.retry_after_s
            self._fail('no free slot')
        elif self._wait.is_caller_gone:
            self._log_outcome(_NO_TARGET, _CALLER_LEFT)
        else:
            self._log_outcome(_NO_TARGET, f'given up: {_TIMEOUT}')
            self._fail(_TIMEOUT)
        return None

    async def _try_target(
        self, reservation: reservations.Reservation
    ) -> send_results.SendResult:
        sent_s = time.monotonic()
        sent = await self._senders.send(reservation)
        if sent.outcome is upstream.Outcome.COMPLETE and (
            self._senders.sends.sent_count == 1
        ):
            admission = self._admission
            self._times.update_estimate(
                self._state.first_event_estimate(
                    admission.service, admission.model
                ),
                sent_s,
                admission.prompt_read_s,
            )
            self._state.stop_admission.observe(
                admission, time.monotonic() - sent_s
            )
        return sent

    def _finish_unless_retry(
        self, sent: send_results.SendResult | None
    ) -> bool:
        """Respond unless another send follows; return whether none does."""
        if sent is None:
            return True
        outcome, target = sent.outcome, sent.target
        if outcome is upstream.Outcome.CALLER_GONE:
            self._log_outcome(target, _CALLER_LEFT)
            return True
        if outcome is upstream.Outcome.COMPLETE:
            self._log_outcome(target, responses.ANSWERED)
            answer = self._senders.first.upstream_request
            assert answer is not None
            send_results.record_answer(
                self._state.poison, self._keys, answer, target
            )
            responses.send_response(self._responder, answer)
            return True
        if outcome is upstream.Outcome.EVACUATED:
            self._log_outcome(target, f'not sent: {outcome.value}')
            return False
        if outcome in _OUT_OF_TIME:
            self._may_have_run |= outcome is upstream.Outcome.TIMEOUT
            # A started stream ends without a status: only this line tells
            # which endpoint it waited for.
            self._log_outcome(target, f'given up: {_TIMEOUT}')
            self._fail(_TIMEOUT)
            return True
        self.record_failure(sent)
        if self._may_retry(outcome):
            self._log_outcome(target, f'sent again: {outcome.value}')
            return False
        self._give_up(outcome.value, target=target)
        return True

    def record_failure(self, sent: send_results.SendResult) -> None:
        """Record what a failed send tells of its endpoint and request."""
        outcome, target = sent.outcome, sent.target
        if outcome is upstream.Outcome.NOT_RUN:
            if send_results.blames_member(sent):
                self._state.targets.check_endpoint(
                    target.endpoint_id, 'member at fault', target.born_ms
                )
            return
        self._may_have_run = True
        is_broken = outcome is upstream.Outcome.BROKEN
        if is_broken and not self._state.reach.is_cut_off:
            self._state.poison.record_broken_run(
                self._keys.fingerprint,
                target.incarnation,
                self._keys.parts,
                None if sent.request is None else sent.request.sent_s,
            )
        if outcome is upstream.Outcome.FAILURE:
            self._failure_response = sent.request
        elif outcome is upstream.Outcome.BROKEN and target.replica:
            # Answers also get lost in the network, sometimes many at once. If
            # each took its head out of use, no head would be left within a
            # second. A crashed head refuses the next connection and is taken
            # out of use then.
            self._state.targets.check_endpoint(
                target.endpoint_id, 'broken stream', target.born_ms
            )

    def _may_retry(self, outcome: upstream.Outcome) -> bool:
        route = self._admission.route
        if outcome is not upstream.Outcome.NOT_RUN and not route.may_repeat:
            return False
        if not self._senders.sends.may_follow(route.max_attempts):
            return False
        if self._wait.is_expired:
            return False
        return (
            not self._senders.sends.sent_count
            or self._senders.first.spend_retry(outcome.value)
        )

    def _fail(
        self, reason: str, refusal: refusals.Refusal | None = None
    ) -> None:
        """End the response; refusal is sent if no endpoint can have run it.

        A parked send may still complete it, unless the time is over.
        """
        if reason != _TIMEOUT and self._can_resume:
            return
        if self._responder.is_started:
            self._responder.abort()
            return
        if self._failure_response is not None:
            responses.send_response(self._responder, self._failure_response)
            return
        if refusal is None or self._may_have_run:
            refusal = refusals.for_failed_request(
                self._may_have_run,
                reason == _TIMEOUT,
                refusals.with_jitter_s(self._retry_after_s, self._state.rng),
            )
        responses.send_refusal(self._responder, self._caller, refusal)

    def _log_outcome(self, target: load_balancing.Target, outcome: str) -> None:
        responses.log_upstream_outcome(
            outcome,
            self._caller,
            self._admission,
            target,
            sends=self._senders.sends.sent_count,
            last_event=self._forwarder.last_event,
            latest=self._senders.first.upstream_request,
            times=self._times,
        )

    def _on_caller_gone(self) -> None:
        self._wait.cancel()
        self._senders.cancel()
        self._peer_sender.cancel()


def make_admitted_request(
    state: state_module.IngressState,
    request: messages.Request,
    caller: caller_requests.CallerRequest,
    responder: server.Responder,
    admission: admission_control.Admission,
    times: timing.RequestTiming,
    keys: crash_keys.RequestKeys,
    *,
    is_trial: bool = False,
    is_from_peer: bool = False,
) -> AdmittedRequest:
    """Return a request that is ready to run; times began at its arrival."""
    wait = caller_wait.CallerWait(responder, admission.timeout_at_s)
    forwarder = stream_forwarding.StreamForwarder(
        state.stall_detector, responder, caller.last_event, times
    )
    senders = request_senders.make_senders(
        state,
        request,
        caller,
        responder,
        admission,
        wait,
        forwarder,
        keys,
        is_trial=is_trial,
    )
    admitted = AdmittedRequest(
        state=state,
        caller=caller,
        responder=responder,
        admission=admission,
        times=times,
        keys=keys,
        wait=wait,
        forwarder=forwarder,
        senders=senders,
        peer_sender=peer_sender.PeerSender(
            state, request, caller, admission, wait, forwarder, senders.sends
        ),
        is_from_peer=is_from_peer,
        is_trial=is_trial,
    )
    senders.on_failure = admitted.record_failure
    return admitted


_OUT_OF_TIME = frozenset((upstream.Outcome.EXPIRED, upstream.Outcome.TIMEOUT))
