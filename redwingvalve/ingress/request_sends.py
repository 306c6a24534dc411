"""What all sends of one request have in common."""

import typing

import attrs

from redwingvalve.http1 import byte_account
from redwingvalve.ingress import parked_sends, relocation, upstream

# Failed connections don't count against the route's attempts, because nothing
# ran: the request tries other endpoints until this number is exceeded.
MAX_CONNECT_FAILURES: typing.Final = 3


@attrs.define(eq=False)
class RequestSends:
    """What all sends of one request have in common."""

    relocation: relocation.Relocation
    sent_count: int = 0
    connect_failures: int = 0
    tried_endpoints: set[str] = attrs.field(factory=set)
    # The next retry is already taken from the budget; stays set until a retry
    # is sent, as an attempt without a connection repeats nothing.
    is_retry_paid: bool = False
    parked: parked_sends.ParkedSends = attrs.field(
        factory=parked_sends.ParkedSends
    )
    _answers: list[upstream.UpstreamRequest] = attrs.field(factory=list)

    def may_follow(self, max_attempts: int) -> bool:
        """Return whether the numbers of sends and connects allow another."""
        if self.connect_failures > MAX_CONNECT_FAILURES:
            return False
        return self.sent_count < max_attempts

    def hold_answer(
        self,
        answer: upstream.UpstreamRequest,
        account: byte_account.ByteAccount,
    ) -> None:
        """Count what is held of an answer until release()."""
        answer.memory = account.open(byte_account.Part.LONG_ANSWERS)
        self._answers.append(answer)

    def release(self) -> None:
        """End what was kept for further sends, and forget all answers."""
        self.relocation.release()
        self.parked.drop()
        for answer in self._answers:
            answer.release()
