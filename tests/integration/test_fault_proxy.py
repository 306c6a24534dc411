"""Tests of the fault proxy and of child processes."""

import anyio
import httpx
import pytest

from redwingvalve.standins import plain_service, ports, serving
from tests.integration import fault_proxy, processes


def run_through_proxy(scenario):
    async def main():
        service = plain_service.PlainService()
        app = plain_service.make_plain_service_app(service)
        server = serving.StandinServer(app, '127.0.0.1', 0)
        await server.start()
        async with anyio.create_task_group() as group:
            proxy = fault_proxy.FaultProxy(server.address, group)
            await proxy.start()
            async with httpx.AsyncClient(
                base_url=f'http://{proxy.address}', timeout=0.5
            ) as client:
                with anyio.fail_after(30):
                    await scenario(proxy, client, service)
            group.cancel_scope.cancel()
        server.abort()

    anyio.run(main)


async def call(client, name):
    response = await client.post('/x', headers={'x-request-id': name})
    return response.headers['x-request-id']


def test_only_cut_responses_let_requests_reach_the_endpoint():
    async def scenario(proxy, client, service):
        assert await call(client, 'a') == 'a'
        proxy.faults.cut_responses = True
        with pytest.raises(httpx.ReadTimeout):
            await call(client, 'ran')
        proxy.heal()
        proxy.faults.cut_requests = True
        with pytest.raises(httpx.ReadTimeout):
            await call(client, 'not-run')
        ran = [entry.request_id for entry in service.ledger.entries]
        assert ran == ['a', 'ran']

    run_through_proxy(scenario)


@pytest.mark.parametrize('fault', ['refuse', 'black_hole', 'stall'])
def test_fault_fails_calls_until_healed(fault):
    async def scenario(proxy, client, service):
        setattr(proxy.faults, fault, True)
        with pytest.raises(httpx.TransportError):
            await call(client, 'a')
        proxy.heal()
        assert await call(client, 'b') == 'b'

    run_through_proxy(scenario)


def test_resets_and_truncations_reach_the_client():
    async def scenario(proxy, client, service):
        service.latency_s = 0.2
        broken = []

        async def ask():
            with pytest.raises(httpx.TransportError) as raised:
                await call(client, 'a')
            broken.append(type(raised.value))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            while not service.ledger.entries:
                await anyio.sleep(0.01)
            await proxy.reset_all()
        assert broken == [httpx.ReadError]
        proxy.faults.truncate_after_bytes = 60
        with pytest.raises(httpx.RemoteProtocolError):
            await call(client, 'b')

    run_through_proxy(scenario)


def test_swaps_responses_between_connections():
    async def scenario(proxy, client, service):
        proxy.faults.swap_responses = 1
        got = {}

        async def ask(name):
            got[name] = await call(client, name)

        async with anyio.create_task_group() as group:
            group.start_soon(ask, 'a')
            group.start_soon(ask, 'b')
        assert got == {'a': 'b', 'b': 'a'}

    run_through_proxy(scenario)


def test_schedule_is_reproducible_from_its_seed():
    first = fault_proxy.make_schedule(7, ['a', 'b'], 60, 2)
    assert first == fault_proxy.make_schedule(7, ['a', 'b'], 60, 2)
    assert first != fault_proxy.make_schedule(8, ['a', 'b'], 60, 2)


def test_child_is_paused_resumed_and_killed():
    async def scenario():
        with processes.make_processes() as children:
            port = ports.free_ports(1)[0]
            child = children.start(
                'service',
                'redwingvalve.standins',
                'service',
                '--port',
                str(port),
            )
            url = f'http://127.0.0.1:{port}/ledger'
            async with httpx.AsyncClient() as client:
                await processes.wait_responding(client, url)
                child.pause()
                with pytest.raises(httpx.TimeoutException):
                    await client.get(url, timeout=0.3)
                child.resume()
                assert (await client.get(url)).status_code == 200
                child.kill()
                with pytest.raises(httpx.TransportError):
                    await client.get(url, timeout=1.0)
            assert child.exit_status == -9

    anyio.run(scenario)
