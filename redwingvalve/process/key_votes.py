"""This process's vote on request keys, for entries and controllers."""

from redwingvalve.at_most_once import (
    claims,
    first_start,
    thrift_peers,
    voter,
)
from redwingvalve.process import parts as process_parts


async def make_claims(
    parts: process_parts.ProcessParts,
) -> claims.KeyClaims:
    """Return the claims of request keys, answering the other voters too."""
    myself = parts.node.members.myself()
    own_voter = voter.make_voter(
        myself,
        parts.clock,
        parts.switches,
        first_start=await first_start.is_first_start(
            parts.objects, myself.name
        ),
        alone=not parts.settings.peers.contacts,
        resend_s=parts.settings.requests.key_resend_s,
    )
    answers = thrift_peers.VoterHandler(own_voter)
    parts.node.handler.key_claim_handler = answers
    parts.node.handler.key_memory_handler = answers
    return claims.make_claims(
        own_voter,
        thrift_peers.make_thrift_key_peers(parts.node.caller),
        parts.node.members,
        parts.clock,
    )


async def vote(parts: process_parts.ProcessParts) -> None:
    """Vote for ever, as a process does that makes no claims itself."""
    key_claims = await make_claims(parts)
    await key_claims.keep_looking()
