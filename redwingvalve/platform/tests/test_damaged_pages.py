"""Objects with unreadable bytes in pages of the store."""

import json

import anyio
import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.http1 import pool
from redwingvalve.node import peers
from redwingvalve.platform import damaged_pages, settings, store
from redwingvalve.platform.tests import fleet_harness

KIND = 'servers'
UNREADABLE_SPECS = [
    b'{"state": "\xff\xfe"}',
    b'{"state": "re',
    b'',
    b'\x00\x01',
    b'{"state": ready}',
    b'}}]]',
    b'{"a": [}, {"b": 1}',
    b'{"state": "a\nb"}',
    b'9' * 5000,
    b'[' * 2000 + b']' * 2000,
    b'[' * 200 + b']' * 200,
]


def item(name, spec=b'{}', revision=7):
    metadata = json.dumps({'name': name, 'revision': revision}).encode()
    return b'{"metadata": %b, "spec": %b, "status": null}' % (metadata, spec)


def page(items, key=b'items'):
    rest = b'], "has_more": false, "store_revision": 9}'
    return b'{"%b": [' % key + b', '.join(items) + rest


def recovered(raw):
    found = damaged_pages.recover(raw)
    return [damaged_pages.bounded(one) for one in found['items']]


@pytest.mark.parametrize('spec', UNREADABLE_SPECS)
def test_an_unreadable_object_hides_no_other(spec):
    """One foreign object must not hide the state of all endpoints."""
    raw = page([item('a'), item('b', spec), item('c', spec), item('d')])
    found = recovered(raw)
    assert [store.name_of(one) for one in found] == ['a', 'b', 'c', 'd']
    assert ['unreadable' in one for one in found] == [False, True, True, False]
    assert damaged_pages.recover(raw)['store_revision'] == 9


@pytest.mark.parametrize('spec', UNREADABLE_SPECS)
@pytest.mark.parametrize('is_removed', [False, True])
def test_an_unreadable_object_in_a_change_keeps_its_name(spec, is_removed):
    deleted = json.dumps(is_removed).encode()
    events = [
        b'{"deleted": %b, "object": %b}' % (deleted, item(name, spec))
        for name in 'ab'
    ]
    events.append(b'{"object": %b, "deleted": %b}' % (item('c'), deleted))
    found = damaged_pages.recover(page(events, b'events'))['events']
    names = [one['object']['metadata']['name'] for one in found]
    assert names == ['a', 'b', 'c']
    assert [one['deleted'] for one in found] == [is_removed] * 3


def test_unreadable_metadata_yields_an_object_without_a_name():
    broken = b'{"metadata": nam\xff, "spec": {"group": {"name": "g"}}}'
    found = recovered(page([broken, item('a')]))
    assert [store.name_of(one) for one in found] == ['', 'a']


@pytest.mark.parametrize('raw', [b'', b'{"items": [', b'[]', b'{"items": [}]'])
def test_other_answers_are_no_pages(raw):
    assert damaged_pages.recover(raw) is None


@hypothesis.given(strategies.binary(max_size=60), strategies.data())
def test_any_bytes_in_a_page_are_read_or_rejected(noise, data):
    raw = page([item('a'), item('b', noise), item('c')])
    position = data.draw(strategies.integers(0, len(raw)))
    for text in (raw, raw[:position] + noise + raw[position:]):
        found = damaged_pages.recover(text)
        if found is not None:
            list(map(damaged_pages.bounded, found['items']))


@pytest.fixture
def large(monkeypatch):
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)


def plain_ids(node):
    found = node.table.find_targets(fleet_harness.PLAIN_SERVICE, '')
    return {target.endpoint_id for target in found}


async def change_plain_endpoints(fleet):
    """Check that all nodes still learn of changes."""
    await fleet.add_endpoint('p9', fleet_harness.PLAIN_SERVICE)
    await fleet.wait_until(
        lambda: all('p9' in plain_ids(node) for node in fleet.nodes), 3
    )
    assert all('p1' in plain_ids(node) for node in fleet.nodes)


@pytest.mark.parametrize('spec', UNREADABLE_SPECS)
def test_nodes_stop_using_an_endpoint_that_becomes_unreadable(spec):
    """Through the watch and through a listing; the others stay in use."""

    async def test(fleet):
        fleet.endpoints['p0'].faults.is_cut_off_from_store = True
        fleet.store.put_raw_spec(KIND, 'p0', spec)
        node = fleet.nodes[0]
        await fleet.wait_until(lambda: plain_ids(node) == {'p1'}, 2)
        fleet.store.drop_history()
        await change_plain_endpoints(fleet)
        assert 'p0' not in plain_ids(node)

    fleet_harness.run(test, nodes=1, engines=0)


def test_relays_pass_on_that_an_endpoint_became_unreadable(large):
    """Nodes behind hubs must stop using it too, and get later changes."""

    async def test(fleet):
        for number, spec in enumerate(UNREADABLE_SPECS):
            fleet.store.put_raw_spec(KIND, f'foreign-{number}', spec)
        fleet.endpoints['p0'].faults.is_cut_off_from_store = True
        fleet.store.put_raw_spec(KIND, 'p0', b'"\xff"')
        await fleet.wait_until(
            lambda: all(plain_ids(node) == {'p1'} for node in fleet.nodes), 3
        )
        fleet.store.drop_history()
        await change_plain_endpoints(fleet)

    fleet_harness.run(test, nodes=4, engines=0)


@pytest.mark.parametrize('stored', [None, 'x', {}, {'metadata': 3}])
def test_a_change_without_a_name_causes_a_listing(stored, large):
    """It may concern any endpoint, which only a listing can tell."""

    async def test(fleet):
        entries = fleet.store.objects[KIND]
        entries['p0'] = {'metadata': None, 'spec': entries['p0']['spec']}
        fleet.endpoints['p0'].faults.is_cut_off_from_store = True
        fleet.store.publish_object(KIND, stored)
        await fleet.wait_until(
            lambda: all(plain_ids(node) == {'p1'} for node in fleet.nodes), 3
        )
        await change_plain_endpoints(fleet)

    fleet_harness.run(test, nodes=4, engines=0)


def test_a_listing_of_several_pages_continues_after_the_last_name():
    """The last object of a page may have no readable name."""
    requested = []
    pages = [
        page([item('a'), item('b\xff', b'\xff'), b'{"metadata": 3}']),
        page([item('c')]),
    ]
    pages[0] = pages[0].replace(b'"has_more": false', b'"has_more": true')

    class Client(store.JsonClient):
        async def call(self, address, start, document, timeout_s, headers=None):
            requested.append(start)
            return 200, damaged_pages.recover(pages[len(requested) - 1])

    client = store.StoreClient(
        settings.SocketAddress('h', 1), Client(pool.Pool())
    )
    listing = anyio.run(client.list_kind, KIND)
    names = [store.name_of(one) for one in listing.objects]
    assert names == ['a', 'b\xff', '', 'c']
    assert requested[1].endswith('?since_rev=b%C3%BF')
