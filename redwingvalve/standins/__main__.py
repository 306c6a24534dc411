"""Runs one kind of fake service: `python -m redwingvalve.standins KIND`."""

import argparse
import contextlib
import json
import pathlib
import signal
import typing

import anyio
import uvloop

from redwingvalve.standins import (
    batching,
    engine,
    engine_host,
    object_api_app,
    plain_service,
    serving,
    vm_list,
    weight_store,
)

ENGINE_FAULTS = (
    'faults: die {restart_after_s}, pause {duration_s}, unreachable '
    '{duration_s}, straggle {factor}, poison {marker, restart_after_s}, '
    'crossed {count}, truncate {count}, serve-incomplete, ignore-fencing'
)
SERVICE_FAULTS = (
    'faults: die, pause {duration_s}, straggle {factor}, poison {marker}, '
    'crossed {count}, truncate {count}, lose-answers {count}'
)
STORE_FAULTS = (
    'faults: outage {duration_s, silent}, slow {delay_s}, '
    'lose-answers {count}, rate {writes_per_s, reads_per_s}'
)


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser of this command."""
    parser = argparse.ArgumentParser(prog='python -m redwingvalve.standins')
    kinds = parser.add_subparsers(dest='kind', required=True)
    for kind in ('engine', 'engines'):
        _add_engine_options(kinds.add_parser(kind, epilog=ENGINE_FAULTS), kind)
    _add_platform_kinds(kinds)
    for kind, each in kinds.choices.items():
        each.add_argument('--host', default='127.0.0.1')
        if kind != 'engines':
            each.add_argument('--port', type=int, default=0)
    return parser


def _add_platform_kinds(kinds: typing.Any) -> None:
    service = kinds.add_parser('service', epilog=SERVICE_FAULTS)
    service.add_argument('--name', default='service')
    service.add_argument('--latency-s', type=float, default=0.002)
    store = kinds.add_parser('object-api', epilog=STORE_FAULTS)
    store.add_argument('--writes-per-s', type=float, default=0.0)
    store.add_argument('--reads-per-s', type=float, default=0.0)
    listed = kinds.add_parser('vm-list', epilog='faults: {lag_s}')
    listed.add_argument('--lag-s', type=float, default=1.0)
    listed.add_argument('--vms-file', default='', help='JSON: {"vms": [...]}')
    weights = kinds.add_parser('weight-store', epilog='faults: {loads_per_s}')
    weights.add_argument('--loads-per-s', type=float, default=0.0)


def _add_engine_options(parser: argparse.ArgumentParser, kind: str) -> None:
    if kind == 'engine':
        parser.add_argument('--vm', default='vm-0')
    else:
        parser.add_argument('--first-port', type=int, required=True)
        parser.add_argument('--count', type=int, required=True)
        parser.add_argument('--vm-prefix', default='vm-')
    parser.add_argument('--load-time-s', type=float, default=0.5)
    parser.add_argument('--step-s', type=float, default=batching.STEP_S)
    parser.add_argument(
        '--token-budget', type=int, default=batching.TOKEN_BUDGET
    )
    parser.add_argument(
        '--kv-capacity-tokens', type=int, default=batching.KV_CAPACITY_TOKENS
    )
    parser.add_argument('--cache-blocks', type=int, default=4096)
    parser.add_argument('--cache-lag-s', type=float, default=0.5)
    parser.add_argument('--load-lag-s', type=float, default=0.5)
    for switch in ('--ignore-fencing', '--vouch-for-members'):
        parser.add_argument(switch, action='store_true')


def _engine_options(
    arguments: argparse.Namespace, vm: str, seed: int
) -> engine.EngineOptions:
    return engine.EngineOptions(
        vm=vm,
        load_time_s=arguments.load_time_s,
        batch=batching.BatchSettings(
            token_budget=arguments.token_budget,
            step_s=arguments.step_s,
            kv_capacity_tokens=arguments.kv_capacity_tokens,
        ),
        cache_blocks=arguments.cache_blocks,
        cache_lag_s=arguments.cache_lag_s,
        load_lag_s=arguments.load_lag_s,
        ignores_fencing=arguments.ignore_fencing,
        reports_members=arguments.vouch_for_members,
        seed=seed,
    )


async def _serve_engines(arguments: argparse.Namespace) -> None:
    async with engine_host.host_engines(arguments.host) as host:
        if arguments.kind == 'engine':
            options = _engine_options(arguments, arguments.vm, 0)
            await host.add(options, arguments.port)
        else:
            for index in range(arguments.count):
                vm = f'{arguments.vm_prefix}{index}'
                options = _engine_options(arguments, vm, index)
                await host.add(options, arguments.first_port + index)
        for vm in host.engines:
            print(f'{vm} listening on {host.address(vm)}', flush=True)
        await anyio.sleep_forever()


async def _serve_one(arguments: argparse.Namespace) -> None:
    app, service = _make_app(arguments)
    server = serving.StandinServer(app, arguments.host, arguments.port)
    if isinstance(service, plain_service.PlainService):
        service.server = server
    with contextlib.closing(server):
        await server.start()
        print(f'{arguments.kind} listening on {server.address}', flush=True)
        await anyio.sleep_forever()


def _make_app(arguments: argparse.Namespace) -> tuple[typing.Any, typing.Any]:
    if arguments.kind == 'service':
        service = plain_service.PlainService(
            arguments.name, arguments.latency_s
        )
        return plain_service.make_plain_service_app(service), service
    if arguments.kind == 'object-api':
        return object_api_app.make_object_api(
            None, arguments.writes_per_s, arguments.reads_per_s
        )
    if arguments.kind == 'vm-list':
        vms = []
        if arguments.vms_file:
            vms = json.loads(pathlib.Path(arguments.vms_file).read_text())[
                'vms'
            ]
        return vm_list.make_vm_list(vms, arguments.lag_s)
    return weight_store.make_weight_store(arguments.loads_per_s)


async def run(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT is received."""
    serve = _serve_one
    if arguments.kind in {'engine', 'engines'}:
        serve = _serve_engines
    async with anyio.create_task_group() as group:
        group.start_soon(serve, arguments)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await anext(aiter(signals))
        group.cancel_scope.cancel()


if __name__ == '__main__':
    anyio.run(
        run,
        make_parser().parse_args(),
        backend_options={'loop_factory': uvloop.new_event_loop},
    )
