"""Responses, batching, fencing and faults of the fake engine."""

import contextlib
import json
import time

import anyio
import httpx

from redwingvalve.standins import (
    batching,
    engine,
    engine_host,
    generated_text,
    orders,
)

ORDER = {
    'vm': 'vm-0',
    'fencing_number': 1,
    'replica': 'r',
    'epoch': 1,
    'model': 'm',
    'version': 'v',
    'role': 'head',
    'members': ['vm-0'],
}


def run_with_engine(scenario, **options):
    """Run scenario(client, host) against one engine that heads a replica."""
    options.setdefault('batch', batching.BatchSettings(step_s=0.001))

    async def main():
        async with engine_host.host_engines() as host:
            await host.add(
                engine.EngineOptions(vm='vm-0', load_time_s=0.0, **options)
            )
            base_url = f'http://{host.address("vm-0")}'
            async with httpx.AsyncClient(base_url=base_url) as client:
                await client.post('/orders', json=ORDER)
                with anyio.fail_after(20):
                    await scenario(client, host)

    anyio.run(main)


async def complete(client, request_id='a', **body):
    body = {'prompt': 'hello', 'max_tokens': 5, **body}
    headers = {'x-request-id': request_id}
    return await client.post('/v1/completions', json=body, headers=headers)


def texts_of(stream):
    lines = [line for line in stream.split('\n\n') if line]
    return [
        json.loads(line.removeprefix('data: '))['choices'][0]['text']
        for line in lines
        if '[DONE]' not in line
    ]


def test_streamed_and_full_responses_have_the_same_tokens():
    async def scenario(client, host):
        whole = await complete(client)
        stream = await complete(client, stream=True)
        wanted = generated_text.full_text('hello', 'm', 'v', 5)
        assert whole.json()['choices'][0]['text'] == wanted
        assert ''.join(texts_of(stream.text)) == wanted
        assert stream.text.endswith('data: [DONE]\n\n')
        assert whole.json()['id'] == 'cmpl-a'
        assert [e['cut'] for e in (await client.get('/ledger')).json()] == [
            '',
            '',
        ]

    run_with_engine(scenario)


def test_resumed_run_continues_after_delivered_tokens():
    async def scenario(client, host):
        resume = {'request_id': 'a', 'tokens': ['x', 'y']}
        stream = await complete(client, stream=True, resume=resume)
        assert texts_of(stream.text) == [
            generated_text.token_text('hello', 'm', 'v', position)
            for position in (2, 3, 4)
        ]

    run_with_engine(scenario)


def test_orders_with_old_fencing_numbers_are_refused_unless_ignored():
    async def scenario(client, host):
        await client.post('/orders', json={**ORDER, 'fencing_number': 7})
        old = await client.post('/orders', json=ORDER)
        assert old.status_code == 409
        assert old.json() == {'highest_fencing_number': 7}
        await client.post('/faults', json={'name': 'ignore-fencing'})
        assert (await client.post('/orders', json=ORDER)).status_code == 200
        assert host.engines['vm-0'].orders.stale_orders_accepted == 1

    run_with_engine(scenario)


def test_request_for_another_epoch_is_refused_without_running():
    async def scenario(client, host):
        refused = await client.post(
            '/v1/completions',
            json={'prompt': 'x'},
            headers={'x-redwingvalve-epoch': '2'},
        )
        assert refused.status_code == 409
        assert refused.headers['x-redwingvalve-outcome'] == 'not-run'
        assert (await client.get('/ledger')).json() == []

    run_with_engine(scenario)


def test_poison_request_crashes_the_engine_which_restarts_idle():
    """The client's connection is reset without a response.

    The engine crashes when a prompt with the marker enters a batch, refuses
    connections, and restarts as a new incarnation with no role or state.
    """

    async def scenario(client, host):
        before = (await client.get('/state')).json()
        poison = {'name': 'poison', 'marker': 'bad', 'restart_after_s': 0.2}
        await client.post('/faults', json=poison)
        with contextlib.suppress(httpx.TransportError):
            await complete(client, prompt='a bad prompt')
            raise AssertionError('received a response from a dead engine')
        while True:
            with contextlib.suppress(httpx.TransportError):
                after = (await client.get('/state')).json()
                break
            await anyio.sleep(0.01)
        assert after['incarnation'] != before['incarnation']
        assert after['role'] == 'idle'
        ledger = (await client.get('/ledger')).json()
        assert ledger[0]['cut'] == 'died'

    run_with_engine(scenario)


def test_client_disconnect_cuts_the_run():
    async def scenario(client, host):
        async with client.stream(
            'POST',
            '/v1/completions',
            json={'prompt': 'x', 'max_tokens': 100_000, 'stream': True},
        ) as stream:
            async for _ in stream.aiter_bytes():
                break
        while host.engines['vm-0'].batch.runs:
            await anyio.sleep(0.01)
        ledger = (await client.get('/ledger')).json()
        assert ledger[0]['cut'] == 'disconnected'

    run_with_engine(scenario)


def test_crossed_and_truncated_responses_are_detectable():
    async def scenario(client, host):
        await client.post('/faults', json={'name': 'crossed'})
        crossed = await complete(client)
        assert crossed.json()['id'] == 'cmpl-foreign'
        assert crossed.headers['x-request-id'] == 'foreign'
        await client.post('/faults', json={'name': 'truncate'})
        short = await complete(client, stream=True)
        assert '[DONE]' not in short.text
        assert len(texts_of(short.text)) == 3

    run_with_engine(scenario)


def test_replica_without_one_of_its_vms_makes_no_progress():
    """The client's stream stalls and then breaks without [DONE].

    A worker dies while the head generates; the head's collective operations
    time out, so it cannot continue alone.
    """

    async def scenario(client, host):
        await host.add(engine.EngineOptions(vm='vm-1', load_time_s=0.0))
        members = {'members': ['vm-0', 'vm-1'], 'epoch': 2}
        await client.post('/orders', json={**ORDER, **members})
        async with httpx.AsyncClient() as other:
            worker = {**ORDER, **members, 'vm': 'vm-1', 'role': 'worker'}
            url = f'http://{host.address("vm-1")}/orders'
            await other.post(url, json=worker)
        broken = False
        try:
            async with client.stream(
                'POST',
                '/v1/completions',
                json={'prompt': 'x', 'max_tokens': 100_000, 'stream': True},
            ) as stream:
                async for _ in stream.aiter_bytes():
                    host.engines['vm-1'].die()
        except httpx.TransportError:
            broken = True
        assert broken
        ledger = (await client.get('/ledger')).json()
        assert ledger[0]['cut'] == 'incomplete'

    run_with_engine(scenario)


def test_low_priority_numbers_go_first_when_kv_cache_is_full():
    async def scenario(client, host):
        order = []

        async def ask(name, priority):
            body = {'max_tokens': 50, 'priority': priority}
            await complete(client, name, **body)
            order.append(name)

        async with anyio.create_task_group() as group:
            group.start_soon(ask, 'first', 5)
            await anyio.sleep(0.02)
            group.start_soon(ask, 'late-low', 9)
            await anyio.sleep(0.02)
            group.start_soon(ask, 'late-high', 1)
        assert order == ['first', 'late-high', 'late-low']

    run_with_engine(
        scenario,
        batch=batching.BatchSettings(step_s=0.005, kv_capacity_tokens=60),
    )


def test_cache_events_and_load_reports_lag():
    async def scenario(client, host):
        await complete(client, prompt='x' * 600)
        early = (await client.get('/cache-events')).json()
        assert early['events'] == []
        assert (await client.get('/load')).json()['running'] == 0
        host.engines['vm-0'].cache._lag_s = 0.0
        late = (await client.get('/cache-events?after=0')).json()['events']
        assert [event['prefix_hash'] for event in late] == list(
            generated_text.prefix_hashes('x' * 600)
        )

    run_with_engine(
        scenario, cache_lag_s=60.0, load_lag_s=60.0, cache_event_loss_ratio=0.0
    )


def test_absence_is_measured_at_arrival_at_a_paused_head():
    """An entry sends to a paused head whose worker died just before.

    The request runs when the pause ends, long after the worker died. The
    entry could not know of the failure yet and must not be blamed; an entry
    that sends long after the failure still is.
    """

    async def scenario(client, host):
        head = host.engines['vm-0']
        gone_s = 60.0
        head.missing = lambda: engine.MemberOutage(gone_s, by_fault=True)
        now_s = time.monotonic()
        assert head.missing_at(now_s - 59.9) < 0.2
        assert head.missing_at(now_s - 61.0) == 0.0
        assert head.missing_at(now_s) > 3.0

    run_with_engine(scenario)


def test_head_reports_the_members_that_are_ready_in_its_epoch():
    """A probe of the head lists its members, but not one that died or was
    assigned to another replica."""

    async def scenario():
        async with engine_host.host_engines() as host:
            names = ('vm-0', 'vm-1', 'vm-2')
            for name in names:
                await host.add(
                    engine.EngineOptions(
                        vm=name, load_time_s=0.0, reports_members=True
                    )
                )
            for name in names:
                wanted = orders.parse_order(
                    {**ORDER, 'vm': name, 'members': list(names)}
                )
                host.engines[name].apply(wanted)
            head = host.engines['vm-0']

            def seen():
                return [each.vm for each in head.state().members_seen]

            assert seen() == ['vm-1', 'vm-2']
            host.engines['vm-1'].die()
            assert seen() == ['vm-2']
            other = orders.parse_order({**ORDER, 'vm': 'vm-2', 'epoch': 2})
            host.engines['vm-2'].apply(other)
            assert not seen()

    anyio.run(scenario)
