"""The controller daemon: the API for operators and the control loop."""

import random

import anyio

from redwingvalve.administration import (
    app,
    audit,
    drains,
    retention,
    server,
    store_operations,
    tokens,
)
from redwingvalve.configuration import in_force, records
from redwingvalve.control import loop
from redwingvalve.evidence import news_entry_reports
from redwingvalve.observability import logs
from redwingvalve.plans import manager as plan_manager
from redwingvalve.process import (
    duties,
    entry_drains,
    key_votes,
    leaving_vms,
    waits,
)
from redwingvalve.process import parts as process_parts
from redwingvalve.replicas import controller
from redwingvalve.settings import schema
from redwingvalve.tls import contexts

ROLE = 'control'
LOGGER = logs.make_logger('control')


async def run_control(settings: schema.Settings, stop: anyio.Event) -> None:
    """Run until stop is set, then give leases back and end."""
    tls = contexts.make_server_context(
        settings.administration_tls, mutual=False
    )
    if tls.is_error():
        raise process_parts.ProcessError(str(tls.error))
    async with (
        process_parts.open_process(settings, ROLE) as parts,
        anyio.create_task_group() as group,
    ):
        token_cache = tokens.TokenCache()
        group.start_soon(_follow_tokens, parts, token_cache)
        group.start_soon(key_votes.vote, parts)
        if tls.ok is not None:
            group.start_soon(tls.ok.follow, parts.clock)
        async with anyio.create_task_group() as loops:
            reader = drains.make_drain_reader(parts.objects)
            control_loop = make_loop(parts, reader)
            loops.start_soon(control_loop.run)
            loops.start_soon(waits.publish, control_loop, parts)
            loops.start_soon(_run_duties, parts, reader)
            LOGGER.info('The controller is ready.')
            await server.serve_api(
                _make_api(parts, token_cache),
                settings.node.host,
                settings.listen.http_port,
                stop.wait,
                tls.ok,
            )
            # Cancelling the loop gives its leases back, so that the next
            # holder need not wait for them to lapse.
            loops.cancel_scope.cancel()
        group.cancel_scope.cancel()
    LOGGER.info('The controller has ended.')


def make_loop(
    parts: process_parts.ProcessParts, reader: drains.DrainReader
) -> loop.ControlLoop:
    """Return the control loop of one process."""
    me = parts.node.members.local_member()
    owner = f'{me.name}/{me.incarnation}'
    tools = controller.Dependencies(
        objects=parts.objects,
        orders=parts.orders,
        weights=parts.weights,
        clock=parts.clock,
        entries=news_entry_reports.make_news_entry_reports(
            parts.node.members, parts.node.news, parts.node.configuration
        ),
        rng=random.Random(owner),
        switches=parts.switches,
    )
    listed = drains.make_drained_vm_list(parts.vms, reader)
    return loop.make_control_loop(owner, tools, listed, parts.node.members)


def _make_api(
    parts: process_parts.ProcessParts, token_cache: tokens.TokenCache
) -> app.Api:
    doer = store_operations.make_store_operations(
        store_operations.Dependencies(
            store=parts.objects,
            vms=parts.vms,
            plans=plan_manager.make_plan_manager(
                parts.objects, parts.vms, parts.clock
            ),
            members=parts.node.members,
            clock=parts.clock,
            in_force=lambda: _in_force(parts),
            waits=lambda: waits.read(parts.node.news),
        )
    )
    trail = audit.AuditTrail(parts.objects, parts.clock)
    return app.Api(doer, token_cache, trail, parts.clock)


async def _in_force(parts: process_parts.ProcessParts) -> in_force.InForce:
    """Ask every region for each kind of configuration that changed."""
    configuration = parts.node.configuration
    versions = configuration.table.versions()
    answers = [
        await configuration.in_force(kind, versions[kind])
        for kind in records.CONFIGURATION_KINDS
        if kind in versions
    ]
    return in_force.merge(answers)


async def _run_duties(
    parts: process_parts.ProcessParts, reader: drains.DrainReader
) -> None:
    """Run what a few controllers do for all, until cancelled."""
    async with anyio.create_task_group() as group:
        group.start_soon(reader.follow, parts.clock)
        group.start_soon(entry_drains.publish, parts, reader)
        group.start_soon(leaving_vms.LeavingTeller(parts, reader).run)
        group.start_soon(_sweep, parts)


async def _sweep(parts: process_parts.ProcessParts) -> None:
    sweeper = retention.Sweeper(parts.objects, parts.clock)
    await sweeper.run(lambda: duties.is_mine(parts, 'sweep', holders=1))


async def _follow_tokens(
    parts: process_parts.ProcessParts, token_cache: tokens.TokenCache
) -> None:
    while True:
        await token_cache.refresh(parts.objects)
        await parts.clock.sleep(tokens.REFRESH_INTERVAL_S)
