"""Admits or refuses one caller's request."""

from redwingvalve.http1 import messages, server
from redwingvalve.ingress import (
    admission_control,
    admitted_request,
    crash_keys,
    refusals,
    responses,
    timing,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.platform import caller_requests

_MS_IN_S = 1000.0


class RequestHandler:
    """Refuses a request, or sends it to endpoints."""

    def __init__(
        self,
        state: state_module.IngressState,
        request: messages.Request,
        responder: server.Responder,
        forwarded: caller_requests.Forwarded | None = None,
    ) -> None:
        """Read the request's headers; run() handles it.

        forwarded is set for a request of another node's caller.
        """
        self._forwarded = forwarded
        self._state = state
        self._request = request
        self.responder = responder
        self._caller = caller_requests.read_request(request)
        self._times = timing.RequestTiming()
        self._admitted: admitted_request.AdmittedRequest | None = None

    @property
    def attempt_id(self) -> str:
        """Return the id of the caller's attempt."""
        return self._caller.attempt_id.decode('latin-1')

    @property
    def age_ms(self) -> int:
        """Return the time since the request arrived."""
        return int(self._times.elapsed_s * _MS_IN_S)

    @property
    def was_sent(self) -> bool:
        """Return whether an endpoint may have received the request."""
        return self._admitted is not None and self._admitted.was_sent

    def give_up(self) -> None:
        """End the response now, truly if nothing can have run."""
        refusal = self._state.stop_admission.refuse(self._state.rng)
        if self._admitted is not None:
            self._admitted.give_up(refusal)
        elif not self.responder.is_done:
            responses.send_refusal(self.responder, self._caller, refusal)

    async def run(self) -> None:
        """Handle the request until the response is complete."""
        if self._forwarded is not None and await self._declines():
            return
        admission = self._admit()
        if admission is None:
            return
        keys = crash_keys.make_request_keys(
            self._request.target,
            admission.account,
            self._request.body,
            self._caller.shared_parts,
        )
        refusal = refusals.for_crashing_request(self._state.poison, keys)
        is_trial = refusal is not None and await self._claim_trial(keys)
        if refusal is not None and not is_trial:
            responses.send_refusal(self.responder, self._caller, refusal)
            return
        self._state.prompt_read_times(admission.model).observe(
            admission.prompt_read_s
        )
        # The node that a caller sent the request to counts it.
        if self._forwarded is None:
            self._state.retry_budget(admission.service).record_request(
                self._times.started_s
            )
            self._state.hedge_limit(admission.service).record_request(
                self._times.started_s
            )
        self._admitted = admitted_request.make_admitted_request(
            self._state,
            self._request,
            self._caller,
            self.responder,
            admission,
            self._times,
            keys,
            is_trial=is_trial,
            is_from_peer=self._forwarded is not None,
        )
        await self._admitted.run()

    async def _declines(self) -> bool:
        """Decline a forwarded request that this node can't serve either."""
        reason = ''
        if self._state.configuration is None or self._state.is_leaving:
            reason = 'not ready'
        elif not await self._state.reach.confirm_unless_recent():
            reason = 'cut off'
        if reason:
            responses.decline(self.responder, self._caller, reason)
        return bool(reason)

    async def _claim_trial(self, keys: crash_keys.RequestKeys) -> bool:
        """Return whether this request may be sent in spite of its crashes."""
        claimer = self._state.trial_claimer
        tracker = self._state.poison
        # Another node, to which it would be forwarded, refuses it.
        if claimer is None or self._state.reach.is_cut_off:
            return False
        if not tracker.is_trial_due(*keys.all):
            return False
        return await claimer.claim(keys)

    def _admit(self) -> admission_control.Admission | None:
        decision = admission_control.admit(
            self._state.configuration,
            self._caller,
            self._state.rng,
            self._times.started_s,
        )
        if isinstance(decision, refusals.Refusal):
            responses.send_refusal(self.responder, self._caller, decision)
            return None
        if not self._has_model(decision):
            refusal = refusals.UNKNOWN_MODEL
            responses.send_refusal(self.responder, self._caller, refusal)
            return None
        if self._forwarded is not None:
            return admission_control.limit_forwarded(decision, self._forwarded)
        return admission_control.mark_caller_retry(
            decision,
            self._caller,
            self._state.deadline_history,
            self._times.started_s,
        )

    def _has_model(self, admission: admission_control.Admission) -> bool:
        """Return whether any endpoint has the model, or may be given it.

        Callers choose the name, so that nothing may be kept for one before.
        """
        configuration = self._state.configuration
        service, model = admission.service, admission.model
        if configuration is None or configuration.has_model(service, model):
            return True
        return bool(self._state.targets.find_targets(service, model))
