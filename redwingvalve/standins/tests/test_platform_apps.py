"""The fake platform services follow the published HTTP conventions."""

import json

import anyio
import httpx
import pytest

from redwingvalve.standins import (
    object_api_app,
    plain_service,
    serving,
    vm_list,
    weight_store,
)

PLANS = '/apis/redwingvalve.io/v1/plans'


def run_with_app(app, scenario, service=None):
    async def main():
        server = serving.StandinServer(app, '127.0.0.1', 0)
        if service is not None:
            service.server = server
        await server.start()
        async with httpx.AsyncClient(
            base_url=f'http://{server.address}', timeout=1
        ) as client:
            with anyio.fail_after(20):
                await scenario(client)
        server.abort()

    anyio.run(main)


def plan(name, version='', **spec):
    metadata = {'name': name, 'resourceVersion': version}
    return {'metadata': metadata, 'spec': spec}


def test_objects_are_created_updated_by_version_and_deleted():
    async def scenario(client):
        created = await client.post(PLANS, json=plan('a', n=1))
        assert created.status_code == 201
        version = created.json()['metadata']['resourceVersion']
        again = await client.post(PLANS, json=plan('a'))
        assert again.json()['reason'] == 'AlreadyExists'
        url = f'{PLANS}/a'
        updated = await client.put(url, json=plan('a', version, n=2))
        assert updated.json()['spec'] == {'n': 2}
        late = await client.put(url, json=plan('a', version, n=3))
        assert (late.status_code, late.json()['reason']) == (409, 'Conflict')
        listed = (await client.get(PLANS)).json()
        assert [item['spec'] for item in listed['items']] == [{'n': 2}]
        stale = await client.delete(f'{url}?resourceVersion={version}')
        assert stale.status_code == 409
        version = updated.json()['metadata']['resourceVersion']
        await client.delete(f'{url}?resourceVersion={version}')
        assert (await client.get(url)).status_code == 404
        large = await client.post(PLANS, json=plan('b', text='x' * 1_000_001))
        assert large.status_code == 413
        assert (await client.post(PLANS, json=[])).status_code == 400

    run_with_app(object_api_app.make_object_api()[0], scenario)


def test_watch_sends_changes_or_an_expired_error():
    async def scenario(client):
        start = (await client.get(PLANS)).json()['metadata']['resourceVersion']
        await client.post(PLANS, json=plan('a'))
        watch = f'{PLANS}?watch=1&timeoutSeconds=0.2&resourceVersion='
        lines = (await client.get(f'{watch}{start}')).text.split('\n')
        events = [json.loads(line) for line in lines if line]
        assert [event['type'] for event in events] == ['ADDED']
        state.store._oldest_event = 100
        old = (await client.get(f'{watch}1')).text.strip()
        assert json.loads(old)['object']['code'] == 410
        calls = (await client.get('/calls')).json()
        assert (calls['reads'], calls['watches']) == (1, 2)

    app, state = object_api_app.make_object_api()
    run_with_app(app, scenario)


def test_write_takes_effect_when_its_response_is_dropped():
    async def scenario(client):
        await client.post('/faults', json={'name': 'lose-answers', 'count': 1})
        with pytest.raises(httpx.TransportError):
            await client.post(PLANS, json=plan('a'))
        assert (await client.get(f'{PLANS}/a')).status_code == 200

    run_with_app(object_api_app.make_object_api()[0], scenario)


def test_outages_return_503_or_no_response():
    async def scenario(client):
        await client.post('/faults', json={'name': 'outage'})
        assert (await client.get(PLANS)).status_code == 503
        await client.post('/faults', json={'name': 'outage', 'silent': True})
        with pytest.raises(httpx.ReadTimeout):
            await client.get(PLANS)
        await client.delete('/faults')
        assert (await client.get(PLANS)).status_code == 200

    run_with_app(object_api_app.make_object_api()[0], scenario)


def test_calls_over_the_rate_limit_get_retry_after():
    async def scenario(client):
        await client.post(
            '/faults', json={'name': 'rate', 'writes_per_s': 0.01}
        )
        await client.post(PLANS, json=plan('a'))
        refused = await client.post(PLANS, json=plan('b'))
        assert refused.status_code == 429
        assert int(refused.headers['retry-after']) > 1

    run_with_app(object_api_app.make_object_api()[0], scenario)


def test_plain_service_can_run_a_call_and_drop_its_response():
    async def scenario(client):
        response = await client.post(
            '/quotes', content=b'q', headers={'x-request-id': 'one'}
        )
        assert response.headers['x-request-id'] == 'one'
        await client.post('/faults', json={'name': 'lose-answers'})
        with pytest.raises(httpx.TransportError):
            await client.post('/quotes', content=b'r')
        ran = (await client.get('/ledger')).json()
        assert [entry['digest'] for entry in ran] == [
            plain_service.call_digest('/quotes', body) for body in (b'q', b'r')
        ]

    service = plain_service.PlainService()
    run_with_app(
        plain_service.make_plain_service_app(service), scenario, service
    )


def test_vm_list_lags_and_weight_store_limits_its_rate():
    async def vms(client):
        await client.put('/vms', json={'vms': []})
        assert len((await client.get('/vms')).json()['vms']) == 1

    rows = [vm_list.make_vm_row('vm-0', '127.0.0.1:1', 'nave-a', 'rack-1')]
    run_with_app(vm_list.make_vm_list(rows, lag_s=60.0)[0], vms)

    async def loads(client):
        wanted = {'model': 'm', 'version': 'v'}
        first = await client.post('/loads', json=wanted)
        assert first.json()['expires_after_s'] > 0
        second = await client.post('/loads', json=wanted)
        assert second.status_code == 429
        assert float(second.headers['retry-after']) > 10

    run_with_app(weight_store.make_weight_store(0.01)[0], loads)
