"""Runs a non-idempotent request at most once, even if it is resent."""

import hashlib
import itertools

from expression import Error, Ok, Result

from redwingvalve.at_most_once import claims, messages
from redwingvalve.core import invariants, outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import caller_request
from redwingvalve.membership import members

REQUEST_ID_KEY_PREFIX = 'id:'
MIN_RETRY_AFTER_S = 1.0
# A lost majority of voters may last an hour. It ends earlier if a voter that
# still has its claims returns, for example after a partition.
MAX_RETRY_AFTER_S = 30.0


class RequestKeyGuard:
    """Claims the key of each non-idempotent request before it is sent."""

    def __init__(
        self, key_claims: claims.KeyClaims, local_member: members.Member
    ) -> None:
        """Claim through key_claims on behalf of local_member."""
        self._claims = key_claims
        self._member = local_member
        self._numbers = itertools.count(1)

    def issue(self) -> str:
        """Return a new key that only this entry decides on."""
        return str(self._claims.voter.issue())

    async def claim(
        self,
        head: caller_request.RequestHead,
        account: schema.ClientAccount,
        body: bytes,
    ) -> Result['claims.Grant | None', outcomes.ErrorResponse]:
        """Return the grant to send; None for a request without any key.

        A request without a key can't be recognized if it is sent again.
        """
        key = _request_key(head)
        if not key:
            return Ok(None)
        claimed = await self._claims.claim(
            messages.Claim(
                account=account.name,
                request_key=key,
                entry=self._member.name,
                incarnation=self._member.incarnation,
                claim_id=(
                    f'{self._member.name}-{self._member.incarnation}'
                    f'-{next(self._numbers)}'
                ),
                digest=hashlib.sha256(
                    b'\0'.join((head.method.encode(), head.path.encode(), body))
                ).hexdigest(),
            )
        )
        if claimed.is_ok():
            return Ok(claimed.ok)
        return Error(_refusal(claimed.error, head))

    def check(self, grant: claims.Grant | None) -> bool:
        """Tell whether the request may still be sent."""
        return grant is None or self._claims.check(grant)

    async def report(
        self, grant: claims.Grant | None, outcome: outcomes.Outcome
    ) -> None:
        """Report the outcome of the request to the voters."""
        if grant is None:
            return
        invariants.require(
            bool(grant.claim.voters), 'a grant names its voters', str(grant)
        )
        await self._claims.report(grant.claim, outcome)


def _request_key(head: caller_request.RequestHead) -> str:
    """Return the request's key, or else a key from the caller's request id.

    A caller that resends a non-idempotent request with the same request id
    means the same request, even if it doesn't use keys.
    """
    if head.request_key:
        return head.request_key
    if outcomes.REQUEST_ID_HEADER in head.headers:
        return f'{REQUEST_ID_KEY_PREFIX}{head.request_id}'
    return ''


def _refusal(
    refused: claims.ClaimRefused, head: caller_request.RequestHead
) -> outcomes.ErrorResponse:
    if refused.duplicate:
        return outcomes.ErrorResponse(
            status=409,
            code='duplicate-request',
            message=refused.reason,
            outcome=refused.outcome,
            request_id=head.request_id,
        )
    return outcomes.ErrorResponse(
        status=503,
        code='request-key-undecided',
        message='this request was not run, but an earlier one with this key '
        f'may have run: {refused.reason}; retry with the same key',
        outcome=refused.outcome,
        request_id=head.request_id,
        retry_after_s=min(
            max(refused.wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
        ),
    )
