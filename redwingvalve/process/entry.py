"""The entry daemon: the request path with its evidence."""

import anyio

from redwingvalve.entry import daemon, directory, httpx_upstream
from redwingvalve.entry import parts as entry_parts
from redwingvalve.evidence import prober, serving_permits, table
from redwingvalve.process import entry_drains
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
        group.start_soon(_make_prober(parts, evidence).run)
        group.start_soon(entry_drains.follow, parts, parts.node.members.leave)
        await daemon.serve_entry(
            _make_entry_parts(parts, evidence), settings, stop.wait
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
    parts: process_parts.ProcessParts, evidence: table.EvidenceTable
) -> entry_parts.EntryParts:
    return entry_parts.EntryParts(
        source=parts.node.configuration,
        permits=serving_permits.make_serving_permits(evidence, parts.switches),
        members=parts.node.members,
        news=parts.node.news,
        upstream=httpx_upstream.make_httpx_upstream(),
        clock=parts.clock,
        settings=parts.settings.requests,
        metrics=parts.metrics,
        tracing=parts.tracing,
        switches=parts.switches,
        directory=directory.make_members_directory(
            parts.node.members, parts.settings.requests.discovery_keep_s
        ),
    )
