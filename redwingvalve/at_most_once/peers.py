"""Interface for calls between voters; implemented by thrift and a fake."""

import abc

from expression import Result

from redwingvalve.at_most_once import messages
from redwingvalve.core import outcomes
from redwingvalve.membership import members


class KeyPeers(abc.ABC):
    """Calls to other voters; an Error says why there is no response."""

    @abc.abstractmethod
    async def claim(
        self, member: members.Member, claim: messages.Claim
    ) -> Result[messages.Vote, str]:
        """Request a vote."""

    @abc.abstractmethod
    async def report(
        self,
        member: members.Member,
        claim: messages.Claim,
        outcome: outcomes.Outcome,
    ) -> Result[None, str]:
        """Report the outcome of a claimed request."""

    @abc.abstractmethod
    async def copy(
        self, member: members.Member, names: tuple[str, ...], after: int
    ) -> Result[messages.ClaimPage, str]:
        """Copy a page of claims; names are the voters known to this process."""
