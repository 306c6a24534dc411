"""Claims of request keys between entries, over the Peer service."""

import typing

from expression import Error, Ok, Result

from redwingvalve.at_most_once import messages, peers, voter
from redwingvalve.core import outcomes
from redwingvalve.membership import members
from redwingvalve.wire import handlers, rpc
from redwingvalve.wire import messages as wire_messages

wire = wire_messages.peer


class ThriftKeyPeers(peers.KeyPeers):
    """Asks other entries through the process's peer caller."""

    def __init__(self, caller: rpc.PeerCaller) -> None:
        """Ask through caller."""
        self._caller = caller

    async def claim(
        self, member: members.Member, claim: messages.Claim
    ) -> Result[messages.Vote, str]:
        """Ask for a vote."""
        called = await self._call(member, 'claim_key', _to_wire(claim))
        if called.is_error():
            return Error(called.error)
        verdict = called.ok
        return Ok(
            messages.Vote(
                messages.Verdict(verdict.verdict),
                outcomes.Outcome(verdict.outcome),
                verdict.detail,
                verdict.wait_s or 0.0,
            )
        )

    async def report(
        self,
        member: members.Member,
        claim: messages.Claim,
        outcome: outcomes.Outcome,
    ) -> Result[None, str]:
        """Tell what became of a claimed request."""
        report = wire.KeyReport(claim=_to_wire(claim), outcome=outcome.value)
        called = await self._call(member, 'report_key', report)
        return Error(called.error) if called.is_error() else Ok(None)

    async def copy(
        self, member: members.Member, names: tuple[str, ...], after: int
    ) -> Result[messages.ClaimPage, str]:
        """Copy a page of a voter's claims."""
        request = wire.KeyCopyRequest(names=list(names), after=after)
        called = await self._call(member, 'copy_keys', request)
        if called.is_error():
            return Error(called.error)
        copied = called.ok
        return Ok(
            messages.ClaimPage(
                claims=tuple(
                    (_from_wire(kept.claim), outcomes.Outcome(kept.outcome))
                    for kept in copied.claims
                ),
                names=tuple(copied.names),
                whole=copied.whole,
                complete=bool(copied.complete),
                incarnation=copied.incarnation,
                reached=copied.reached,
                more=copied.more,
            )
        )

    async def _call(
        self, member: members.Member, method: str, argument: typing.Any
    ) -> Result[typing.Any, str]:
        called = await self._caller.call(
            (member.host, member.peer_port), method, argument
        )
        if called.is_error():
            return Error(called.error.message)
        return Ok(called.ok)


class VoterHandler(handlers.KeyClaimHandler, handlers.KeyRecordHandler):
    """Answers other entries from this entry's voter."""

    def __init__(self, own_voter: voter.Voter) -> None:
        """Answer from own_voter."""
        self._voter = own_voter

    async def claim_key(self, claim: wire.KeyClaim) -> wire.KeyVerdict:
        """Vote on a claim."""
        vote = self._voter.vote(_from_wire(claim))
        return wire.KeyVerdict(
            verdict=vote.verdict.value,
            outcome=vote.outcome.value,
            detail=vote.reason,
            wait_s=vote.wait_s,
        )

    async def report_key(self, report: wire.KeyReport) -> bool:
        """Take the claimant's word on the end of its request."""
        self._voter.report(
            _from_wire(report.claim), outcomes.Outcome(report.outcome)
        )
        return True

    async def copy_keys(self, request: wire.KeyCopyRequest) -> wire.KeyCopy:
        """Hand out a page of claims."""
        copied = self._voter.copy(tuple(request.names), request.after or 0)
        return wire.KeyCopy(
            claims=[
                wire.KeyReport(claim=_to_wire(claim), outcome=outcome.value)
                for claim, outcome in copied.claims
            ],
            names=list(copied.names),
            whole=copied.whole,
            complete=copied.complete,
            incarnation=copied.incarnation,
            reached=copied.reached,
            more=copied.more,
        )


def _to_wire(claim: messages.Claim) -> wire.KeyClaim:
    return wire.KeyClaim(
        account=claim.account,
        request_key=claim.request_key,
        entry=claim.entry,
        incarnation=claim.incarnation,
        request_id=claim.claim_id,
        digest=claim.digest,
        voters=list(claim.voters),
    )


def _from_wire(claim: wire.KeyClaim) -> messages.Claim:
    return messages.Claim(
        account=claim.account,
        request_key=claim.request_key,
        entry=claim.entry,
        incarnation=claim.incarnation,
        claim_id=claim.request_id,
        digest=claim.digest,
        voters=tuple(claim.voters or ()),
    )


def make_thrift_key_peers(caller: rpc.PeerCaller) -> peers.KeyPeers:
    """Return calls to other entries."""
    return ThriftKeyPeers(caller)
