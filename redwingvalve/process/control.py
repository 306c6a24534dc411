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
from redwingvalve.process import dependencies as process_dependencies
from redwingvalve.process import (
    duty_assignment,
    entry_drains,
    key_votes,
    leaving_vms,
    waits,
)
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
        raise process_dependencies.ProcessError(str(tls.error))
    async with (
        process_dependencies.open_process(settings, ROLE) as dependencies,
        anyio.create_task_group() as group,
    ):
        token_cache = tokens.TokenCache()
        group.start_soon(_follow_tokens, dependencies, token_cache)
        group.start_soon(key_votes.vote, dependencies)
        if tls.ok is not None:
            group.start_soon(tls.ok.follow, dependencies.clock)
        async with anyio.create_task_group() as loops:
            reader = drains.make_drain_reader(dependencies.objects)
            control_loop = make_loop(dependencies, reader)
            loops.start_soon(control_loop.run)
            loops.start_soon(waits.publish, control_loop, dependencies)
            loops.start_soon(_run_duties, dependencies, reader)
            LOGGER.info('The controller is ready.')
            await server.serve_api(
                _make_api(dependencies, token_cache),
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
    dependencies: process_dependencies.ProcessDependencies,
    reader: drains.DrainReader,
) -> loop.ControlLoop:
    """Return the control loop of one process."""
    me = dependencies.node.members.local_member()
    owner = f'{me.name}/{me.incarnation}'
    tools = controller.Dependencies(
        objects=dependencies.objects,
        orders=dependencies.orders,
        weights=dependencies.weights,
        clock=dependencies.clock,
        entries=news_entry_reports.make_news_entry_reports(
            dependencies.node.members,
            dependencies.node.news,
            dependencies.node.configuration,
        ),
        rng=random.Random(owner),
        switches=dependencies.switches,
    )
    listed = drains.make_drained_vm_list(dependencies.vms, reader)
    return loop.make_control_loop(
        owner, tools, listed, dependencies.node.members
    )


def _make_api(
    dependencies: process_dependencies.ProcessDependencies,
    token_cache: tokens.TokenCache,
) -> app.Api:
    doer = store_operations.make_store_operations(
        store_operations.Dependencies(
            store=dependencies.objects,
            vms=dependencies.vms,
            plans=plan_manager.make_plan_manager(
                dependencies.objects, dependencies.vms, dependencies.clock
            ),
            members=dependencies.node.members,
            clock=dependencies.clock,
            in_force=lambda: _in_force(dependencies),
            waits=lambda: waits.read(dependencies.node.news),
        )
    )
    trail = audit.AuditTrail(dependencies.objects, dependencies.clock)
    return app.Api(doer, token_cache, trail, dependencies.clock)


async def _in_force(
    dependencies: process_dependencies.ProcessDependencies,
) -> in_force.InForce:
    """Ask every region for each kind of configuration that changed."""
    configuration = dependencies.node.configuration
    versions = configuration.table.versions()
    answers = [
        await configuration.in_force(kind, versions[kind])
        for kind in records.CONFIGURATION_KINDS
        if kind in versions
    ]
    return in_force.merge(answers)


async def _run_duties(
    dependencies: process_dependencies.ProcessDependencies,
    reader: drains.DrainReader,
) -> None:
    """Run what a few controllers do for all, until cancelled."""
    async with anyio.create_task_group() as group:
        group.start_soon(reader.follow, dependencies.clock)
        group.start_soon(entry_drains.publish, dependencies, reader)
        group.start_soon(leaving_vms.LeavingTeller(dependencies, reader).run)
        group.start_soon(_sweep, dependencies)


async def _sweep(
    dependencies: process_dependencies.ProcessDependencies,
) -> None:
    sweeper = retention.Sweeper(dependencies.objects, dependencies.clock)
    await sweeper.run(
        lambda: duty_assignment.is_mine(dependencies, 'sweep', holders=1)
    )


async def _follow_tokens(
    dependencies: process_dependencies.ProcessDependencies,
    token_cache: tokens.TokenCache,
) -> None:
    while True:
        await token_cache.refresh(dependencies.objects)
        await dependencies.clock.sleep(tokens.REFRESH_INTERVAL_S)
