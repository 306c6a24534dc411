"""Lets a non-idempotent request run at most once, whoever sends it again."""

import hashlib
import itertools

from expression import Error, Ok, Result

from redwingvalve.at_most_once import claims, messages
from redwingvalve.core import invariants, outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import caller
from redwingvalve.membership import members

CALLERS_ID_PREFIX = 'id:'
RETRY_AFTER_S = 1.0
# A lost majority may last an hour; it ends sooner when a voter comes back that
# still remembers, such as after a partition.
MOST_RETRY_AFTER_S = 30.0


class OnceGuard:
    """Claims the key of each non-idempotent request before it is sent."""

    def __init__(
        self, key_claims: claims.KeyClaims, myself: members.Member
    ) -> None:
        """Claim through key_claims in the name of myself."""
        self._claims = key_claims
        self._myself = myself
        self._numbers = itertools.count(1)

    def issue(self) -> str:
        """Return a new key that this entry alone decides about."""
        return str(self._claims.voter.issue())

    async def claim(
        self,
        head: caller.CallerHead,
        account: schema.ClientAccount,
        body: bytes,
    ) -> Result['claims.Grant | None', outcomes.ErrorResponse]:
        """Return leave to send, None for a request that nobody can repeat."""
        key = _key_of(head)
        if not key:
            return Ok(None)
        claimed = await self._claims.claim(
            messages.Claim(
                account=account.name,
                request_key=key,
                entry=self._myself.name,
                incarnation=self._myself.incarnation,
                claim_id=(
                    f'{self._myself.name}-{self._myself.incarnation}'
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
        """Tell the voters how the request ended."""
        if grant is None:
            return
        invariants.require(
            bool(grant.claim.voters), 'a grant names its voters', str(grant)
        )
        await self._claims.report(grant.claim, outcome)


def _key_of(head: caller.CallerHead) -> str:
    """Return the request's key: its own, or the id that the caller chose.

    A caller that sends a non-idempotent request again under its old request
    id means the same request, also where it knows of no keys.
    """
    if head.request_key:
        return head.request_key
    if outcomes.REQUEST_ID_HEADER in head.headers:
        return f'{CALLERS_ID_PREFIX}{head.request_id}'
    return ''


def _refusal(
    refused: claims.ClaimRefused, head: caller.CallerHead
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
        message='this send was not run, but an earlier one with the key may '
        f'have been: {refused.reason}; send again with the same key',
        outcome=refused.outcome,
        request_id=head.request_id,
        retry_after_s=min(
            max(refused.wait_s, RETRY_AFTER_S), MOST_RETRY_AFTER_S
        ),
    )
