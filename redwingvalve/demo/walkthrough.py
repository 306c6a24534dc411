"""The steps of the demo: declare, plan, confirm, serve, summarize."""

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
    """Settings of the entries and the controller."""

    entries: tuple[schema.Settings, ...]
    control: schema.Settings


async def run_walkthrough(
    env: environment.Environment, declaration_file: pathlib.Path
) -> exit_status.ExitStatus:
    """Run all steps; succeed only if every response was complete."""
    async with platform.run_platform(DOMAINS) as demo_platform:
        fleet = make_fleet_settings(demo_platform)
        async with _run_daemons(fleet):
            return await _run_steps(demo_platform, fleet, env, declaration_file)


async def _run_steps(
    demo_platform: platform.DemoPlatform,
    fleet: FleetSettings,
    env: environment.Environment,
    declaration_file: pathlib.Path,
) -> exit_status.ExitStatus:
    bearer = await operator.issue_first_token(demo_platform.store)
    administrator = operator.DemoOperator(http_address(fleet.control), bearer)
    await administrator.wait_until_reachable()
    await administrator.wait_until_listed(sum(DOMAINS.values()))
    text = declaration_file.read_text(encoding='utf-8').replace(
        SERVICE_ADDRESS, demo_platform.service_address
    )
    plan = await administrator.plan(text, declaration_file.name)
    operate.print_plan(plan, env)
    confirmed = await administrator.confirm(plan['name'])
    tables.print_line(confirmed['message'], env)
    await administrator.wait_until_serving(DEPLOYMENT, REPLICAS)
    operate.print_status(await administrator.status(), env)
    client = completion_client.DemoClient(
        tuple(http_address(settings) for settings in fleet.entries),
        CREDENTIAL,
    )
    streamed = await _stream_when_ready(client)
    fetched = await client.post('/records/parts', {'part': 'seat-14b'})
    return _print_summary(streamed, fetched.status_code, demo_platform, env)


async def _stream_when_ready(
    client: completion_client.DemoClient,
) -> completion_client.StreamedCompletion:
    # Entries apply a confirmed declaration within seconds; until then they
    # reject requests at once with a retry time, as for any client.
    with anyio.fail_after(SERVE_TIMEOUT_S):
        while True:
            streamed = await client.stream_chat(DEPLOYMENT, PROMPT, MAX_TOKENS)
            if streamed.whole:
                return streamed
            await anyio.sleep(operator.POLL_INTERVAL_S)


def _print_summary(
    streamed: completion_client.StreamedCompletion,
    service_status: int,
    demo_platform: platform.DemoPlatform,
    env: environment.Environment,
) -> exit_status.ExitStatus:
    ran = sum(
        entry.request_id.startswith(streamed.request_id)
        for each in demo_platform.engines.engines.values()
        for entry in each.ledger.entries
    )
    whole = streamed.whole and streamed.chunks == MAX_TOKENS
    shown = 'whole' if whole else 'NOT WHOLE'
    calls = demo_platform.store.calls
    lines = (
        f'entry assigned to the client: {streamed.entry}',
        f'streamed {streamed.chunks} of {MAX_TOKENS} tokens, {shown}',
        f'outcome: {streamed.outcome}',
        f'status of the service call: {service_status}',
        f'object API calls: {calls.reads} reads, {calls.writes} writes',
        f'runs of the request at engines: {ran}',
    )
    for line in lines:
        tables.print_line(line, env)
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


def make_fleet_settings(demo_platform: platform.DemoPlatform) -> FleetSettings:
    """Return settings of entries and a controller on free ports."""
    names = [f'entry-{number + 1}' for number in range(ENTRIES)]
    ports = standin_ports.free_ports(2 * (ENTRIES + 1))
    # The peer port of the first entry.
    contact = f'{platform.HOST}:{ports[0]}'
    made = [
        _settings(name, demo_platform, (ports.pop(), ports.pop()), contact)
        for name in ('control-1', *reversed(names))
    ]
    return FleetSettings(tuple(reversed(made[1:])), made[0])


def _settings(
    name: str,
    demo_platform: platform.DemoPlatform,
    ports: tuple[int, int],
    contact: str,
) -> schema.Settings:
    return schema.Settings(
        node=schema.NodeSettings(
            name, platform.DATA_CENTRE, platform.REGION, platform.HOST
        ),
        listen=schema.ListenSettings(*ports),
        platform=schema.PlatformSettings(
            demo_platform.object_api_url,
            demo_platform.vm_list_url,
            demo_platform.weight_store_url,
        ),
        peers=schema.PeerSettings((contact,)),
        requests=schema.RequestSettings(discovery_keep_s=1.0),
    )


def http_address(settings: schema.Settings) -> str:
    """Return host:port of the HTTP listener of a daemon."""
    return f'{settings.node.host}:{settings.listen.http_port}'
