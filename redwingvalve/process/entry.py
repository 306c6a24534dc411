"""The entry daemon: serves requests and probes for evidence."""

import random

import anyio

from redwingvalve.at_most_once import claims
from redwingvalve.discovery import balanced_directory
from redwingvalve.entry import aiohttp_upstream, daemon, delivered_events
from redwingvalve.entry import dependencies as entry_dependencies
from redwingvalve.evidence import prober, serving_permits, table
from redwingvalve.http1 import byte_account
from redwingvalve.process import dependencies as process_dependencies
from redwingvalve.process import entry_drains, key_votes, leaving_vms
from redwingvalve.settings import schema

ROLE = 'entry'


async def run_entry(settings: schema.Settings, stop: anyio.Event) -> None:
    """Serve until stop is set and all requests in progress have ended.

    A stop before it serves ends it at once.
    """
    async with (
        process_dependencies.open_process(settings, ROLE) as dependencies,
        anyio.create_task_group() as group,
    ):
        evidence = table.EvidenceTable()
        permits = serving_permits.make_serving_permits(
            evidence, dependencies.switches
        )
        group.start_soon(_make_prober(dependencies, evidence).run)
        group.start_soon(leaving_vms.follow, dependencies, permits)
        group.start_soon(key_votes.refresh_registration, dependencies)
        group.start_soon(
            entry_drains.follow, dependencies, dependencies.node.members.leave
        )
        key_claims = await _make_claims(dependencies, stop)
        if key_claims is not None:
            await daemon.serve_entry(
                _make_entry_dependencies(dependencies, permits, key_claims),
                settings,
                stop.wait,
                dependencies.node.members.leave,
            )
        group.cancel_scope.cancel()


async def _make_claims(
    dependencies: process_dependencies.ProcessDependencies, stop: anyio.Event
) -> claims.KeyClaims | None:
    """Wait for the claims; return None if stop is set first."""
    key_claims: claims.KeyClaims | None = None

    async def cancel() -> None:
        await stop.wait()
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(cancel)
        key_claims = await key_votes.make_claims(dependencies)
        group.cancel_scope.cancel()
    return None if stop.is_set() else key_claims


def _make_prober(
    dependencies: process_dependencies.ProcessDependencies,
    evidence: table.EvidenceTable,
) -> prober.Prober:
    return prober.make_prober(
        evidence,
        dependencies.node.configuration,
        dependencies.node.members,
        dependencies.node.news,
        dependencies.orders,
        dependencies.clock,
    )


def _make_entry_dependencies(
    dependencies: process_dependencies.ProcessDependencies,
    permits: serving_permits.EvidencePermits,
    key_claims: claims.KeyClaims,
) -> entry_dependencies.EntryDependencies:
    return entry_dependencies.EntryDependencies(
        source=dependencies.node.configuration,
        permits=permits,
        members=dependencies.node.members,
        news=dependencies.node.news,
        upstream=aiohttp_upstream.make_aiohttp_upstream(),
        clock=dependencies.clock,
        settings=dependencies.settings.requests,
        metrics=dependencies.metrics,
        tracing=dependencies.tracing,
        switches=dependencies.switches,
        directory=balanced_directory.make_balanced_directory(
            dependencies.node.members,
            dependencies.node.news,
            dependencies.settings.requests.discovery_keep_s,
            random.Random(dependencies.settings.node.name),
        ),
        key_claims=key_claims,
        account=byte_account.make_account(
            dependencies.settings.limits.memory_mb
        ),
        records=delivered_events.make_room(
            dependencies.settings.limits.memory_mb
        ),
    )
