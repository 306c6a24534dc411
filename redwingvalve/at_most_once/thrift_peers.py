"""Claims of request keys over the Peer service."""

import typing

from expression import Error, Ok, Result

from redwingvalve.at_most_once import messages, peers, voter
from redwingvalve.core import outcomes
from redwingvalve.membership import members
from redwingvalve.wire import handlers, rpc
from redwingvalve.wire import messages as wire_messages

wire = wire_messages.peer


class ThriftKeyPeers(peers.KeyPeers):
    """Calls other voters through the peer caller of the process."""

    def __init__(self, caller: rpc.PeerCaller) -> None:
        """Use caller for all calls."""
        self._caller = caller

    async def claim(
        self, member: members.Member, claim: messages.Claim
    ) -> Result[messages.Vote, str]:
        """Request a vote."""
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
        """Report the outcome of a claimed request."""
        report = wire.KeyReport(claim=_to_wire(claim), outcome=outcome.value)
        called = await self._call(member, 'report_key', report)
        return Error(called.error) if called.is_error() else Ok(None)

    async def copy(
        self, member: members.Member, names: tuple[str, ...], after: int
    ) -> Result[messages.ClaimPage, str]:
        """Copy a page of the claims of a voter."""
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
    """Handles calls of other voters with the local voter."""

    def __init__(self, local_voter: voter.Voter) -> None:
        """Use local_voter for all calls."""
        self._voter = local_voter

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
        """Record the outcome that a claimant reports."""
        self._voter.report(
            _from_wire(report.claim), outcomes.Outcome(report.outcome)
        )
        return True

    async def copy_keys(self, request: wire.KeyCopyRequest) -> wire.KeyCopy:
        """Return a page of claims."""
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
    """Return an interface to the other voters."""
    return ThriftKeyPeers(caller)
