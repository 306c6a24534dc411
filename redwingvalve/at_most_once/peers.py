"""How an entry asks the others about request keys; thrift or a fake."""

import abc

from expression import Result

from redwingvalve.at_most_once import messages
from redwingvalve.core import outcomes
from redwingvalve.membership import members


class KeyPeers(abc.ABC):
    """Calls to other entries; an Error says why no answer came."""

    @abc.abstractmethod
    async def claim(
        self, member: members.Member, claim: messages.Claim
    ) -> Result[messages.Vote, str]:
        """Ask for a vote."""

    @abc.abstractmethod
    async def report(
        self,
        member: members.Member,
        claim: messages.Claim,
        outcome: outcomes.Outcome,
    ) -> Result[None, str]:
        """Tell what became of a claimed request."""

    @abc.abstractmethod
    async def copy(
        self, member: members.Member, names: tuple[str, ...], after: int
    ) -> Result[messages.ClaimPage, str]:
        """Copy a page of a voter's claims; names are the voters we know of."""
