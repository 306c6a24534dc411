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
# The process ends within this time after a signal; the leases are released
# beside the last calls.
STOP_TIMEOUT_S = (
    max(server.GRACEFUL_TIMEOUT_S, loop.RELEASE_TIMEOUT_S)
    + process_dependencies.FINISH_TIMEOUT_S
    + 1.0
)
LOGGER = logs.make_logger('control')


async def run_control(settings: schema.Settings, stop: anyio.Event) -> None:
    """Serve until stop is set, then release the leases and return."""
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
        group.start_soon(_refresh_tokens, dependencies, token_cache)
        group.start_soon(key_votes.run_voter, dependencies)
        if tls.ok is not None:
            group.start_soon(tls.ok.follow, dependencies.clock)
        group.start_soon(_manage_replicas, dependencies, stop)
        LOGGER.info('The controller is ready.')
        await server.serve_api(
            _make_api(dependencies, token_cache),
            settings.node.host,
            settings.listen.http_port,
            stop.wait,
            tls.ok,
        )
        group.cancel_scope.cancel()
    LOGGER.info('The controller has ended.')


async def _manage_replicas(
    dependencies: process_dependencies.ProcessDependencies, stop: anyio.Event
) -> None:
    """Manage replicas until stop is set, then release the leases.

    The next holder need not wait for them to expire, nor for the calls that
    this process still answers.
    """
    async with anyio.create_task_group() as group:
        reader = drains.make_drain_reader(dependencies.objects)
        control_loop = make_loop(dependencies, reader)
        group.start_soon(control_loop.run)
        group.start_soon(waits.publish, control_loop, dependencies)
        group.start_soon(_run_duties, dependencies, reader)
        await stop.wait()
        group.cancel_scope.cancel()


def make_loop(
    dependencies: process_dependencies.ProcessDependencies,
    reader: drains.DrainReader,
) -> loop.ControlLoop:
    """Return the control loop of this process, as owner of its leases."""
    local_member = dependencies.node.members.local_member()
    owner = f'{local_member.name}/{local_member.incarnation}'
    controller_dependencies = controller.Dependencies(
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
    drained_vm_list = drains.make_drained_vm_list(dependencies.vms, reader)
    return loop.make_control_loop(
        owner,
        controller_dependencies,
        drained_vm_list,
        dependencies.node.members,
    )


def _make_api(
    dependencies: process_dependencies.ProcessDependencies,
    token_cache: tokens.TokenCache,
) -> app.Api:
    operations = store_operations.make_store_operations(
        store_operations.Dependencies(
            store=dependencies.objects,
            vms=dependencies.vms,
            plans=plan_manager.make_plan_manager(
                dependencies.objects, dependencies.vms, dependencies.clock
            ),
            members=dependencies.node.members,
            clock=dependencies.clock,
            in_force=lambda: _collect_in_force(dependencies),
            waits=lambda: waits.read(dependencies.node.news),
        )
    )
    audit_trail = audit.AuditTrail(dependencies.objects, dependencies.clock)
    return app.Api(operations, token_cache, audit_trail, dependencies.clock)


async def _collect_in_force(
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
    """Run the duties that a few controllers share, until cancelled."""
    async with anyio.create_task_group() as group:
        group.start_soon(reader.follow, dependencies.clock)
        group.start_soon(entry_drains.publish, dependencies, reader)
        group.start_soon(
            leaving_vms.LeavingVmPublisher(dependencies, reader).run
        )
        group.start_soon(_sweep, dependencies)


async def _sweep(
    dependencies: process_dependencies.ProcessDependencies,
) -> None:
    sweeper = retention.Sweeper(dependencies.objects, dependencies.clock)
    await sweeper.run(
        lambda: duty_assignment.is_assigned(dependencies, 'sweep', holders=1)
    )


async def _refresh_tokens(
    dependencies: process_dependencies.ProcessDependencies,
    token_cache: tokens.TokenCache,
) -> None:
    while True:
        await token_cache.refresh(dependencies.objects)
        await dependencies.clock.sleep(tokens.REFRESH_INTERVAL_S)
