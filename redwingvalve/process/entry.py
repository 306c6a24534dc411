"""The entry daemon: the request path with its evidence."""

import random

import anyio

from redwingvalve.at_most_once import claims
from redwingvalve.discovery import balanced_directory
from redwingvalve.entry import aiohttp_upstream, daemon
from redwingvalve.entry import dependencies as entry_dependencies
from redwingvalve.evidence import prober, serving_permits, table
from redwingvalve.process import entry_drains, key_votes, leaving_vms
from redwingvalve.process import parts as process_parts
from redwingvalve.settings import schema

ROLE = 'entry'


async def run_entry(settings: schema.Settings, stop: anyio.Event) -> None:
    """Run until stop is set and all requests in progress have ended."""
    async with (
        process_parts.open_process(settings, ROLE) as parts,
        anyio.create_task_group() as group,
    ):
        evidence = table.EvidenceTable()
        permits = serving_permits.make_serving_permits(evidence, parts.switches)
        group.start_soon(_make_prober(parts, evidence).run)
        group.start_soon(leaving_vms.follow, parts, permits)
        group.start_soon(key_votes.keep_registered, parts)
        group.start_soon(entry_drains.follow, parts, parts.node.members.leave)
        await daemon.serve_entry(
            _make_entry_parts(
                parts, permits, await key_votes.make_claims(parts)
            ),
            settings,
            stop.wait,
            parts.node.members.leave,
        )
        group.cancel_scope.cancel()


def _make_prober(
    parts: process_parts.ProcessParts, evidence: table.EvidenceTable
) -> prober.Prober:
    return prober.make_prober(
        evidence,
        parts.node.configuration,
        parts.node.members,
        parts.node.news,
        parts.orders,
        parts.clock,
    )


def _make_entry_parts(
    parts: process_parts.ProcessParts,
    permits: serving_permits.EvidencePermits,
    key_claims: claims.KeyClaims,
) -> entry_dependencies.EntryDependencies:
    return entry_dependencies.EntryDependencies(
        source=parts.node.configuration,
        permits=permits,
        members=parts.node.members,
        news=parts.node.news,
        upstream=aiohttp_upstream.make_aiohttp_upstream(),
        clock=parts.clock,
        settings=parts.settings.requests,
        metrics=parts.metrics,
        tracing=parts.tracing,
        switches=parts.switches,
        directory=balanced_directory.make_balanced_directory(
            parts.node.members,
            parts.node.news,
            parts.settings.requests.discovery_keep_s,
            random.Random(parts.settings.node.name),
        ),
        key_claims=key_claims,
    )
