"""A small platform of fake services on free loopback ports."""

import contextlib
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.standins import (
    engine,
    engine_host,
    memory_store,
    object_api_app,
    plain_service,
    serving,
    vm_list,
    weight_store,
)

HOST = '127.0.0.1'
DATA_CENTRE = 'nave-a'
REGION = 'montevideo'
ENGINE_LOAD_TIME_S = 0.3
VM_LIST_LAG_S = 0.2


@attrs.frozen
class DemoPlatform:
    """The address of each fake service, and its state."""

    object_api_url: str
    vm_list_url: str
    weight_store_url: str
    service_address: str
    store: memory_store.MemoryObjectApi
    engines: engine_host.EngineHost
    service: plain_service.PlainService
    vms: vm_list.LaggingVmList


@contextlib.asynccontextmanager
async def run_platform(
    domains: collections_abc.Mapping[str, int],
) -> collections_abc.AsyncIterator[DemoPlatform]:
    """Run fake services, with a number of VMs per fabric domain."""
    async with engine_host.host_engines(HOST) as engines:
        rows = await _add_vms(engines, domains)
        store = memory_store.make_memory_object_api()
        service = plain_service.PlainService('records')
        list_app, listed = vm_list.make_vm_list(rows, VM_LIST_LAG_S)
        apps = (
            object_api_app.make_object_api(store)[0],
            list_app,
            weight_store.make_weight_store()[0],
            plain_service.make_plain_service_app(service),
        )
        servers = [await _start(app) for app in apps]
        addresses = [server.address for server in servers]
        try:
            yield DemoPlatform(
                f'http://{addresses[0]}',
                f'http://{addresses[1]}',
                f'http://{addresses[2]}',
                addresses[3],
                store,
                engines,
                service,
                listed,
            )
        finally:
            for server in servers:
                server.abort()


async def _add_vms(
    engines: engine_host.EngineHost,
    domains: collections_abc.Mapping[str, int],
) -> list[vm_list.VmRow]:
    return [
        await _add_vm(engines, domain, index)
        for domain, count in domains.items()
        for index in range(count)
    ]


async def _add_vm(
    engines: engine_host.EngineHost, domain: str, index: int
) -> vm_list.VmRow:
    name = f'{domain}-vm-{index}'
    await engines.add(
        engine.EngineOptions(name, load_time_s=ENGINE_LOAD_TIME_S)
    )
    return vm_list.make_vm_row(
        name, engines.address(name), DATA_CENTRE, domain, REGION
    )


async def _start(app: typing.Any) -> serving.StandinServer:
    server = serving.StandinServer(app, HOST, 0)
    await server.start()
    return server
