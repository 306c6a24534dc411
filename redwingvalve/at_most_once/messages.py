"""What entries ask each other about a request key."""

import enum

import attrs

from redwingvalve.core import outcomes


class Verdict(enum.StrEnum):
    """What one voter says to a claim."""

    RUN = 'run'
    DUPLICATE = 'duplicate'
    UNKNOWN = 'unknown'


@attrs.frozen
class Claim:
    """An entry's wish to run one request under a key.

    send_id is unique to the claim: the same caller sending again makes
    another claim. digest is of the body, to find a key used for two requests.
    voters are those that the claimant asks; a voter that would name others
    says nothing, since two sets of voters need not share one.
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
    """A voter's word; outcome is what it knows of the earlier request.

    wait_s is how long an undecided voter stays so at most, 0 if it can't tell.
    """

    verdict: Verdict
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN
    reason: str = ''
    wait_s: float = 0.0


@attrs.frozen
class ClaimPage:
    """A page of a voter's claims, for one that has just become a voter.

    An incarnation numbers its claims; the page ends with reached, and more
    says that another one follows.

    whole says that the voter has lost none that its name ever granted;
    complete, that it has all that were granted before these names held.
    """

    claims: tuple[tuple[Claim, outcomes.Outcome], ...]
    names: tuple[str, ...]
    whole: bool
    complete: bool = False
    incarnation: int = 0
    reached: int = 0
    more: bool = False
