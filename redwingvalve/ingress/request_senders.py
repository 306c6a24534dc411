"""Creates what sends one request: once at a time, or hedged."""

import functools
import time

import attrs

from redwingvalve.http1 import messages, server
from redwingvalve.ingress import (
    admission_control,
    caller_wait,
    crash_keys,
    hedge_plan,
    hedge_race,
    hedged_send,
    relocation,
    request_sends,
    reservations,
    send_results,
    stream_forwarding,
    upstream,
    upstream_sender,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.platform import caller_requests


def _ignore_failure(sent: send_results.SendResult) -> None:
    """Ignore a failed send, as the request isn't connected yet."""


@attrs.define(eq=False)
class RequestSenders:
    """Sends a request at slots, and its hedge if it may be hedged."""

    _state: state_module.IngressState
    sends: request_sends.RequestSends
    first: upstream_sender.UpstreamSender
    hedged: hedged_send.HedgedSend | None = None
    # Called for a send that failed while another one runs.
    on_failure: hedged_send.OnFailure = _ignore_failure

    async def send(
        self, reservation: reservations.Reservation
    ) -> send_results.SendResult:
        """Send at a reserved slot; return how the send that counts ended.

        If it fails, this is the send that was parked for it, if any.
        """
        sent = await self._send(reservation)
        if (
            sent.outcome not in send_results.FAILED
            or not self.sends.parked.can_resume
        ):
            return sent
        self.on_failure(sent)
        return await self.resume() or sent

    async def resume(self) -> send_results.SendResult | None:
        """Return how the parked send ended, None without one."""
        parked = self.sends.parked
        if not parked.can_resume:
            return None
        # A slot that was reserved for another send isn't needed now.
        self.sends.relocation.release()
        if self.hedged is not None:
            self.hedged.prepare_resumption()
        resumed = parked.take()
        outcome = await self.first.send_parked(resumed)
        return send_results.SendResult(outcome, resumed.target, resumed.request)

    async def _send(
        self, reservation: reservations.Reservation
    ) -> send_results.SendResult:
        if self.hedged is not None:
            sent = await self.hedged.send(reservation)
            self.first.upstream_request = sent.request
            return sent
        outcome = await self.send_once(self.first, reservation)
        return send_results.SendResult(
            outcome, reservation.target, self.first.upstream_request
        )

    async def send_once(
        self,
        sender: upstream_sender.UpstreamSender,
        reservation: reservations.Reservation,
    ) -> upstream.Outcome:
        """Send at a reserved slot and release it; return the outcome."""
        target = reservation.target
        sent_s = time.monotonic()
        outcome: upstream.Outcome | None = None
        try:
            outcome = await sender.send(target, reservation.record_statement)
        finally:
            reservation.release(
                send_results.release_state(outcome),
                send_results.endpoint_result(outcome),
            )
        if sender.was_answered_by_target:
            self._state.reach.record_answer(time.monotonic())
            self._state.poison.record_life_sign(target.incarnation, sent_s)
        if outcome is upstream.Outcome.BROKEN:
            await sender.check_links()
        return outcome

    def record_failure(self, sent: send_results.SendResult) -> None:
        """Record a send that failed while another one runs."""
        self.on_failure(sent)

    def cancel(self) -> None:
        """End all sends, as the caller has left."""
        self.first.cancel()
        if self.hedged is not None:
            self.hedged.cancel()


def make_senders(
    state: state_module.IngressState,
    request: messages.Request,
    caller: caller_requests.CallerRequest,
    responder: server.Responder,
    admission: admission_control.Admission,
    wait: caller_wait.CallerWait,
    forwarder: stream_forwarding.StreamForwarder,
    keys: crash_keys.RequestKeys,
    *,
    is_trial: bool,
) -> RequestSenders:
    """Return the senders of a request whose events go to forwarder.

    is_trial: the request is suspected of crashes, and never hedged.
    """
    sends = request_sends.RequestSends(
        relocation.Relocation(state, admission, forwarder)
    )
    make = functools.partial(
        upstream_sender.UpstreamSender, state, request, caller, admission
    )
    if is_trial or not hedge_plan.may_be_hedged(state, admission):
        first = make(wait, forwarder, keys, sends)
        return RequestSenders(state, sends, first)
    race = hedge_race.Race(forwarder, state.stall_detector)
    first = make(wait, race.first, keys, sends)
    senders = RequestSenders(state, sends, first)
    senders.hedged = hedged_send.HedgedSend(
        first,
        race,
        hedge_plan.HedgePlan(state, admission, keys, first),
        make_wait=functools.partial(
            hedged_send.HedgeWait, responder, admission.timeout_at_s
        ),
        make_sender=functools.partial(make, keys=keys, sends=sends),
        timeout_at_s=admission.timeout_at_s,
        log_extra={
            'request': caller.attempt_id.decode('latin-1'),
            'route': admission.route.name,
        },
        send_once=senders.send_once,
        on_failure=senders.record_failure,
    )
    return senders
