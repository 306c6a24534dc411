"""Entries and registrations of another writer that can't be used."""

import json
import logging
import time

import anyio
import pytest

from redwingvalve.node import lease, peer_discovery
from redwingvalve.platform import names
from redwingvalve.platform.tests import fleet_harness

HUGE = int('9' * 400)
DEEP = b'[' * 100_000 + b']' * 100_000
LONG = b'9' * 5000
ADDRESSES = (
    'lm..svc:8080',
    f'{"l" * 70}.svc:80',
    'a\0b:80',
    '\ud800:80',
    'host.example:80',
    '127.0.0.1:70000',
    f'127.0.0.1:{"9" * 20}',
    '127.0.0.1:٨٠',
)
FOREIGN = (-1, HUGE, 1e400, float('nan'), '\ud800', 'a\0', [[1]])
ROUNDS = 12
# Less than the time for which the only node holds out.
HOLD_OUT_S = 2
OBJECT_NAMES = ('\ud800', 'a\0', 'a\nb', 'x' * 70_000, 'y' * 5000)


class Failures(logging.Handler):
    """Collects the errors of requests, loops and callbacks."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.found = []

    def emit(self, record):
        if record.exc_info:
            self.found.append((record.getMessage(), repr(record.exc_info[1])))


@pytest.fixture
def failures():
    handler = Failures()
    loggers = [logging.getLogger(name) for name in ('redwingvalve', 'asyncio')]
    for logger in loggers:
        logger.addHandler(handler)
    yield handler.found
    for logger in loggers:
        logger.removeHandler(handler)


def variants(sound, addresses):
    """Return copies of a spec with one field changed."""
    for field in sound:
        for value in FOREIGN:
            yield {**sound, field: value}
    for field in addresses:
        for value in ADDRESSES:
            yield {**sound, field: value}


def put_odd_entries(store, kind, name, addresses):
    """Put variants of a sound object beside it."""
    sound = dict(store.objects[kind][name]['spec'])
    for number, spec in enumerate(variants(sound, addresses)):
        if 'vm' in spec and spec['vm'] == sound['vm']:
            spec['vm'] = f'odd-{number}'
        store.put(kind, f'odd-{name}-{number}', spec)
    text = json.dumps({**sound, 'odd': 0}).encode()
    for number, raw in enumerate((DEEP, LONG)):
        spec = text.replace(b'"odd": 0', b'"odd": ' + raw)
        store.put_raw_spec(kind, f'raw-{name}-{number}', spec)


@pytest.mark.parametrize(
    ('kind', 'name', 'addresses'),
    [
        (names.ENDPOINT_KIND, 'p0', ('address',)),
        (names.ENDPOINT_KIND, 'e0', ('address',)),
        (peer_discovery.NODE_KIND, 'node-0', ('ip', 'front')),
    ],
)
def test_odd_entries_close_no_request_and_fail_no_loop(
    kind, name, addresses, failures, monkeypatch
):
    """One name closed requests, failed loops and ended the status messages."""
    monkeypatch.setattr(peer_discovery, 'RELIST_INTERVAL_S', 0.3)

    async def test(fleet):
        put_odd_entries(fleet.store, kind, name, addresses)
        await check_service(fleet)

    fleet_harness.run(test, nodes=2, engines=2, plain=2)
    assert not failures


@pytest.mark.parametrize('kind', [names.ENDPOINT_KIND, names.EVACUATION_KIND])
def test_objects_with_odd_names_end_no_status_messages(kind, failures):
    """Each message named them, and could be neither encoded nor sent."""

    async def test(fleet):
        sound = fleet.store.objects[names.ENDPOINT_KIND]['p0']['spec']
        for name in OBJECT_NAMES:
            # Nothing listens there, so that all nodes learn of its failure.
            fleet.store.put(kind, name, {**sound, 'address': '127.0.0.1:1'})
        await check_service(fleet)

    bounds = {**fleet_harness.BOUNDS, 'evacuate_ms': 2000}
    fleet_harness.run(test, nodes=2, engines=2, plain=2, bounds=bounds)
    assert not failures


@pytest.mark.parametrize('spec', ['x', {'holder': ['x']}, None])
def test_an_odd_lease_does_not_cut_a_stop_short(spec):
    """The error ended the wait for the requests in progress."""

    async def test(fleet):
        node = fleet.nodes[0]
        await fleet.wait_until(node.lease.is_held)
        fleet.store.put(lease.LEASE_KIND, lease.LEASE_NAME, spec)
        began_s = time.monotonic()
        await node._stop()
        assert time.monotonic() - began_s > HOLD_OUT_S

    fleet_harness.run(test, engines=0)


async def check_service(fleet):
    """Check that requests are answered and the list is followed."""
    for number in range(ROUNDS):
        await anyio.sleep(0.1)
        for path in ('/card/1', '/quote/1'):
            response = await fleet.caller(number % 2).ask(path)
            assert response.ending == 'whole'
        directory = fleet.directory(number % 2)
        response = await directory.ask(f'{names.RESOLVE_PATH}?name=x')
        assert response.ending == 'whole'
    await fleet.add_endpoint('late', fleet_harness.PLAIN_SERVICE)
    await fleet.wait_until(
        lambda: all(
            'late' in {one.endpoint_id for one in node.registry.usable()}
            for node in fleet.nodes
        )
    )
    assert (await fleet.caller().ask('/card/1')).status == 200
    assert all(len(node.peers.alive()) == 1 for node in fleet.nodes)
