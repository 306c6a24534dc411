"""Messages between the voters of a request key."""

import enum

import attrs

from redwingvalve.core import outcomes


class Verdict(enum.StrEnum):
    """The answer of one voter to a claim."""

    RUN = 'run'
    DUPLICATE = 'duplicate'
    UNKNOWN = 'unknown'


@attrs.frozen
class Claim:
    """The claim of an entry to run one request under a key.

    claim_id is unique to the claim: a retry of the same caller is another
    claim. digest is of the body, to detect a key used for two requests. voters
    are those that the claimant asks; a voter that computes other voters doesn't
    decide, since two different sets need not have a voter in common.
    """

    account: str
    request_key: str
    entry: str
    incarnation: int
    claim_id: str
    digest: str
    voters: tuple[str, ...] = ()


@attrs.frozen
class Vote:
    """The vote of one voter; outcome is that of an earlier request.

    wait_s is the longest time until an undecided voter decides, 0 if unknown.
    """

    verdict: Verdict
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN
    reason: str = ''
    wait_s: float = 0.0


@attrs.frozen
class ClaimPage:
    """A page of the claims of a voter, for a process that became a voter.

    An incarnation numbers its claims; the last one of the page is reached, and
    more means that another page follows.

    whole means that the voter has all claims that its name ever granted;
    complete, that it has all that were granted before these names took effect.
    """

    claims: tuple[tuple[Claim, outcomes.Outcome], ...]
    names: tuple[str, ...]
    whole: bool
    complete: bool = False
    incarnation: int = 0
    reached: int = 0
    more: bool = False
