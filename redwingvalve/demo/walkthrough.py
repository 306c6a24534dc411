"""The demo's story: declare, plan, confirm, serve, and account for it."""

import contextlib
import pathlib
import types
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.cli import operate, tables
from redwingvalve.core import environment, exit_status
from redwingvalve.demo import completion_client, operator, platform
from redwingvalve.process import control, entry
from redwingvalve.settings import schema
from redwingvalve.standins import ports as standin_ports

CREDENTIAL = 'example-depot'
DEPLOYMENT = 'quotes'
REPLICAS = 2
ENTRIES = 2
DOMAINS = types.MappingProxyType({'nave-a-1': 5, 'nave-a-2': 5})
PROMPT = 'Seat 14B, torn cover, frame sound. Draft the repair quote.'
MAX_TOKENS = 40
SERVE_TIMEOUT_S = 30.0
DECLARATION = pathlib.Path(__file__).parents[2] / 'examples' / 'demo.yaml'
SERVICE_ADDRESS = '127.0.0.1:9101'


@attrs.frozen
class FleetSettings:
    """Settings of the daemons that the demo runs."""

    entries: tuple[schema.Settings, ...]
    control: schema.Settings


async def run_walkthrough(
    surroundings: environment.Environment, declaration_file: pathlib.Path
) -> exit_status.ExitStatus:
    """Run the whole story; success only if every answer was whole."""
    async with platform.run_platform(DOMAINS) as small:
        fleet = make_fleet_settings(small)
        async with _run_daemons(fleet):
            return await _act(small, fleet, surroundings, declaration_file)


async def _act(
    small: platform.DemoPlatform,
    fleet: FleetSettings,
    surroundings: environment.Environment,
    declaration_file: pathlib.Path,
) -> exit_status.ExitStatus:
    bearer = await operator.issue_first_token(small.store)
    acting = operator.DemoOperator(http_address(fleet.control), bearer)
    await acting.wait_until_reachable()
    await acting.wait_until_listed(sum(DOMAINS.values()))
    text = declaration_file.read_text(encoding='utf-8').replace(
        SERVICE_ADDRESS, small.service_address
    )
    plan = await acting.plan(text, declaration_file.name)
    operate.print_plan(plan, surroundings)
    confirmed = await acting.confirm(plan['name'])
    tables.print_line(confirmed['message'], surroundings)
    await acting.wait_until_serving(DEPLOYMENT, REPLICAS)
    operate.print_status(await acting.status(), surroundings)
    calling = completion_client.DemoClient(
        tuple(http_address(settings) for settings in fleet.entries),
        CREDENTIAL,
    )
    streamed = await _stream_when_ready(calling)
    fetched = await calling.post('/records/parts', {'part': 'seat-14b'})
    return _account(streamed, fetched.status_code, small, surroundings)


async def _stream_when_ready(
    calling: completion_client.DemoClient,
) -> completion_client.StreamedCompletion:
    # Entries learn of a confirmed declaration within seconds; until then they
    # refuse at once and say when to come back, as any caller would see.
    with anyio.fail_after(SERVE_TIMEOUT_S):
        while True:
            streamed = await calling.stream_chat(DEPLOYMENT, PROMPT, MAX_TOKENS)
            if streamed.whole:
                return streamed
            await anyio.sleep(operator.POLL_INTERVAL_S)


def _account(
    streamed: completion_client.StreamedCompletion,
    service_status: int,
    small: platform.DemoPlatform,
    surroundings: environment.Environment,
) -> exit_status.ExitStatus:
    ran = sum(
        entry.request_id.startswith(streamed.request_id)
        for each in small.engines.engines.values()
        for entry in each.ledger.entries
    )
    whole = streamed.whole and streamed.chunks == MAX_TOKENS
    shown = 'whole' if whole else 'NOT WHOLE'
    calls = small.store.calls
    lines = (
        f'the caller was told to use {streamed.entry}',
        f'streamed {streamed.chunks} of {MAX_TOKENS} tokens, {shown}',
        f'outcome: {streamed.outcome}',
        f'the service answered {service_status}',
        f'calls of the store: {calls.reads} reads, {calls.writes} writes',
        f'runs of the request at engines: {ran}',
    )
    for line in lines:
        tables.print_line(line, surroundings)
    if whole and service_status == 200:
        return exit_status.ExitStatus.SUCCESS
    return exit_status.ExitStatus.FAILURE


@contextlib.asynccontextmanager
async def _run_daemons(
    fleet: FleetSettings,
) -> collections_abc.AsyncIterator[None]:
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        for settings in fleet.entries:
            group.start_soon(entry.run_entry, settings, stop)
        group.start_soon(control.run_control, fleet.control, stop)
        yield
        stop.set()


def make_fleet_settings(small: platform.DemoPlatform) -> FleetSettings:
    """Return settings for the entries and a controller on free ports."""
    names = [f'entry-{number + 1}' for number in range(ENTRIES)]
    ports = standin_ports.free_ports(2 * (ENTRIES + 1))
    contact = f'{platform.HOST}:{ports[1]}'
    made = [
        _settings(name, small, (ports.pop(), ports.pop()), contact)
        for name in ('control-1', *reversed(names))
    ]
    return FleetSettings(tuple(reversed(made[1:])), made[0])


def _settings(
    name: str,
    small: platform.DemoPlatform,
    ports: tuple[int, int],
    contact: str,
) -> schema.Settings:
    return schema.Settings(
        node=schema.NodeSettings(
            name, platform.DATA_CENTRE, platform.REGION, platform.HOST
        ),
        listen=schema.ListenSettings(*ports),
        platform=schema.PlatformSettings(
            small.object_api_url,
            small.vm_list_url,
            small.weight_store_url,
        ),
        peers=schema.PeerSettings((contact,)),
        requests=schema.RequestSettings(discovery_keep_s=1.0),
    )


def http_address(settings: schema.Settings) -> str:
    """Return host:port of a daemon's HTTP side."""
    return f'{settings.node.host}:{settings.listen.http_port}'
