"""This process's vote on request keys, for entries and controllers."""

import anyio

from redwingvalve.at_most_once import (
    claims,
    thrift_peers,
    voter,
    voter_registration,
)
from redwingvalve.process import parts as process_parts


async def make_claims(
    parts: process_parts.ProcessParts,
) -> claims.KeyClaims:
    """Return the claims of request keys, answering the other voters too."""
    myself = parts.node.members.local_member()
    started = await voter_registration.register(
        parts.objects, myself.name, parts.clock.wall_s()
    )
    own_voter = voter.make_voter(
        myself,
        parts.clock,
        parts.switches,
        first_start=started.first,
        names=started.names,
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


async def keep_registered(parts: process_parts.ProcessParts) -> None:
    """Let voters that start know of this one, until cancelled."""
    await voter_registration.keep_refreshed(
        parts.objects, parts.settings.node.name, parts.clock
    )


async def vote(parts: process_parts.ProcessParts) -> None:
    """Vote for ever, as a process does that makes no claims itself."""
    key_claims = await make_claims(parts)
    async with anyio.create_task_group() as group:
        group.start_soon(keep_registered, parts)
        group.start_soon(key_claims.keep_synced)
