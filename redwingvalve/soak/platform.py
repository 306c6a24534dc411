"""The simulated platform of a soak run, in one event loop."""

import contextlib
import typing
from collections import abc as collections_abc

import attrs
import httpx

from redwingvalve.standins import (
    batching,
    engine,
    engine_host,
    ledger,
    object_api_app,
    plain_service,
    serving,
    vm_list,
    weight_store,
)

HOST = '127.0.0.1'
REGION = 'montevideo'
VM_LIST_LAG_S = 0.5
CLIENT_TIMEOUT_S = 5.0
StartProxy: typing.TypeAlias = collections_abc.Callable[
    [str], collections_abc.Awaitable[str]
]


@attrs.frozen
class Size:
    """The size of the platform and the timing of its engines."""

    domains: tuple[tuple[str, str, int], ...] = (
        ('nave-a-1', 'nave-a', 8),
        ('nave-b-1', 'nave-b', 8),
        ('yard-1', 'penarol-yard', 8),
    )
    services: int = 2
    load_time_s: float = 0.5
    step_s: float = 0.02
    token_budget: int = batching.TOKEN_BUDGET
    kv_capacity_tokens: int = batching.KV_CAPACITY_TOKENS
    loads_per_s: float = 4.0


@attrs.define
class Platform:
    """The simulated platform, with direct access for fault injection."""

    size: Size
    engines: engine_host.EngineHost
    store: object_api_app.ObjectApiState
    vm_listing: vm_list.LaggingVmList
    services: tuple[plain_service.PlainService, ...]
    urls: dict[str, str]
    service_addresses: tuple[str, ...]
    client: httpx.AsyncClient

    async def store_fault(self, **fault: typing.Any) -> None:
        """Activate a fault of the object API."""
        await self.client.post(f'{self.urls["objects"]}/faults', json=fault)

    async def heal_store(self) -> None:
        """End every fault of the object API."""
        await self.client.delete(f'{self.urls["objects"]}/faults')

    def domain_vms(self, domain: str) -> tuple[str, ...]:
        """Return the VMs of a fabric domain."""
        return tuple(
            row['name']
            for row in self.vm_listing.current_rows()
            if row['fabric_domain'] == domain
        )

    def runs(self) -> list[ledger.LedgerEntry]:
        """Return the ledgers of all endpoints."""
        endpoints = (*self.engines.engines.values(), *self.services)
        return [run for each in endpoints for run in each.ledger.entries]

    def serving_heads(self) -> list[engine.Engine]:
        """Return the heads whose replica can serve, by engine state."""
        return [
            each
            for each in self.engines.engines.values()
            if each.state().role == 'head'
            and each.state().ready
            and not (each.dead or each.paused())
            and not each.missing().duration_s
        ]

    def stranded(self) -> int:
        """Return the number of live VMs outside serving replicas."""
        used = {
            member
            for head in self.serving_heads()
            for member in head.state().members
        }
        live = {
            name for name, each in self.engines.engines.items() if not each.dead
        }
        return len(live - used)

    def heal(self) -> None:
        """End every fault of engines and services."""
        for each in (*self.engines.engines.values(), *self.services):
            each.faults = type(each.faults)()
        for service in self.services:
            service.responses_to_drop = 0


async def _use_address(address: str) -> str:
    return address


class _Servers:
    """The servers of the simulators other than engines."""

    def __init__(self) -> None:
        self._started: list[serving.StandinServer] = []

    async def start(self, app: typing.Any) -> serving.StandinServer:
        server = serving.StandinServer(app, HOST, 0)
        await server.start()
        self._started.append(server)
        return server

    async def start_services(
        self, count: int
    ) -> tuple[plain_service.PlainService, ...]:
        services = []
        for index in range(count):
            service = plain_service.PlainService(f'records-{index}')
            app = plain_service.make_plain_service_app(service)
            service.server = await self.start(app)
            services.append(service)
        return tuple(services)

    def close(self) -> None:
        for server in self._started:
            server.abort()


@contextlib.asynccontextmanager
async def run_platform(
    size: Size, start_proxy: StartProxy | None = None
) -> collections_abc.AsyncIterator[Platform]:
    """Run the simulators on free ports until the block ends."""
    async with (
        engine_host.host_engines(HOST) as engines,
        httpx.AsyncClient(timeout=CLIENT_TIMEOUT_S) as client,
    ):
        with contextlib.closing(_Servers()) as servers:
            yield await _make_platform(
                size, engines, client, servers, start_proxy or _use_address
            )


async def _make_platform(
    size: Size,
    engines: engine_host.EngineHost,
    client: httpx.AsyncClient,
    servers: _Servers,
    start_proxy: StartProxy,
) -> Platform:
    rows = await _add_engines(engines, size, start_proxy)
    store_app, store = object_api_app.make_object_api()
    list_app, vm_listing = vm_list.make_vm_list(rows, VM_LIST_LAG_S)
    weights_app, _ = weight_store.make_weight_store(
        size.loads_per_s, size.loads_per_s
    )
    services = await servers.start_services(size.services)
    apps = {'objects': store_app, 'vms': list_app, 'weights': weights_app}
    return Platform(
        size,
        engines,
        store,
        vm_listing,
        services,
        {
            name: f'http://{(await servers.start(app)).address}'
            for name, app in apps.items()
        },
        tuple(
            [
                await start_proxy(each.server.address)
                for each in services
                if each.server
            ]
        ),
        client,
    )


async def _add_engines(
    engines: engine_host.EngineHost, size: Size, start_proxy: StartProxy
) -> list[vm_list.VmRow]:
    rows = []
    for domain, data_centre, count in size.domains:
        for index in range(count):
            name = f'{domain}-vm-{index}'
            options = engine.EngineOptions(
                vm=name,
                load_time_s=size.load_time_s,
                batch=batching.BatchSettings(
                    token_budget=size.token_budget,
                    step_s=size.step_s,
                    kv_capacity_tokens=size.kv_capacity_tokens,
                ),
                seed=len(rows),
            )
            await engines.add(options)
            address = await start_proxy(engines.address(name))
            rows.append(
                vm_list.make_vm_row(name, address, data_centre, domain, REGION)
            )
    return rows
