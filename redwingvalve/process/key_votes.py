"""Runs this process's voter on request keys, in entries and controllers."""

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
    """Register a voter, serve its peers and return its claims of keys."""
    local_member = dependencies.node.members.local_member()
    started = await voter_registration.register(
        dependencies.objects, local_member.name, dependencies.clock.wall_s()
    )
    own_voter = voter.make_voter(
        local_member,
        dependencies.clock,
        dependencies.switches,
        first_start=started.first,
        names=started.names,
        alone=not dependencies.settings.peers.contacts,
        resend_s=dependencies.settings.requests.key_resend_s,
    )
    handler = thrift_peers.VoterHandler(own_voter)
    dependencies.node.handler.key_claim_handler = handler
    dependencies.node.handler.key_record_handler = handler
    return claims.make_claims(
        own_voter,
        thrift_peers.make_thrift_key_peers(dependencies.node.caller),
        dependencies.node.members,
        dependencies.clock,
    )


async def refresh_registration(
    dependencies: process_dependencies.ProcessDependencies,
) -> None:
    """Refresh the registration, by which new voters learn of this one."""
    await voter_registration.keep_refreshed(
        dependencies.objects,
        dependencies.settings.node.name,
        dependencies.clock,
    )


async def run_voter(
    dependencies: process_dependencies.ProcessDependencies,
) -> None:
    """Vote until cancelled, in a process that makes no claims itself."""
    key_claims = await make_claims(dependencies)
    async with anyio.create_task_group() as group:
        group.start_soon(refresh_registration, dependencies)
        group.start_soon(key_claims.keep_synced)
