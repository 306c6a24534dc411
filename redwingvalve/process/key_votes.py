"""This process's vote on request keys, for entries and controllers."""

import anyio

from redwingvalve.at_most_once import (
    claims,
    thrift_peers,
    voter,
    voter_registration,
)
from redwingvalve.process import dependencies as process_dependencies


async def make_claims(
    dependencies: process_dependencies.ProcessDependencies,
) -> claims.KeyClaims:
    """Return the claims of request keys, answering the other voters too."""
    myself = dependencies.node.members.local_member()
    started = await voter_registration.register(
        dependencies.objects, myself.name, dependencies.clock.wall_s()
    )
    own_voter = voter.make_voter(
        myself,
        dependencies.clock,
        dependencies.switches,
        first_start=started.first,
        names=started.names,
        alone=not dependencies.settings.peers.contacts,
        resend_s=dependencies.settings.requests.key_resend_s,
    )
    answers = thrift_peers.VoterHandler(own_voter)
    dependencies.node.handler.key_claim_handler = answers
    dependencies.node.handler.key_record_handler = answers
    return claims.make_claims(
        own_voter,
        thrift_peers.make_thrift_key_peers(dependencies.node.caller),
        dependencies.node.members,
        dependencies.clock,
    )


async def keep_registered(
    dependencies: process_dependencies.ProcessDependencies,
) -> None:
    """Let voters that start know of this one, until cancelled."""
    await voter_registration.keep_refreshed(
        dependencies.objects,
        dependencies.settings.node.name,
        dependencies.clock,
    )


async def vote(dependencies: process_dependencies.ProcessDependencies) -> None:
    """Vote for ever, as a process does that makes no claims itself."""
    key_claims = await make_claims(dependencies)
    async with anyio.create_task_group() as group:
        group.start_soon(keep_registered, dependencies)
        group.start_soon(key_claims.keep_synced)
