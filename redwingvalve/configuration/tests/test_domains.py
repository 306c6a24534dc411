"""Fabric domains passed on by the controllers that read and write them."""

import random

import anyio
import hypothesis
from expression import Ok
from hypothesis import strategies as st

from redwingvalve.configuration import (
    decoding,
    records,
    snapshot,
    store_watch,
)
from redwingvalve.core import clock
from redwingvalve.platform_api import object_api, observing_object_api
from redwingvalve.standins import memory_store
from redwingvalve.wire import messages, packing

DOMAINS = ('d1', 'd2')
REGION = 'r1'


def replicas_of(stored):
    return tuple(
        snapshot.Replica(
            name,
            'race',
            stored.body['vms'],
            stored.name,
            'hall-a',
            REGION,
            (),
            True,
        )
        for name in stored.body['replicas']
    )


class _Process:
    """A table with its decoder, as configuration.source joins them."""

    def __init__(self):
        self.table = records.make_record_table()
        self.decoder = decoding.Decoder(replicas_of)

    def offer(self, stored):
        held = self.table.held(stored.kind, stored.name)
        record = self.decoder.to_record(stored, held)
        if record is not None and self.table.take(record):
            self.table.complete({record.group: record.version})

    def ask(self, other):
        packed = packing.pack(other.table.above(self.table.versions(), REGION))
        self.table.take_reply(
            packing.unpack(messages.peer.RecordsReply(), packed).ok
        )

    def shown(self):
        return {
            record.name: record.body
            for record in self.table.live(records.FABRIC_DOMAINS)
        }


def _settle(fleet, newest):
    """One controller reads on; twice, since it may have missed a change."""
    for _ in range(2):
        for stored in newest:
            fleet[0].offer(stored)
        for process in fleet[1:]:
            process.ask(fleet[0])
            fleet[0].ask(process)
    for process in fleet[1:]:
        process.ask(fleet[0])


WRITES = st.lists(
    st.tuples(st.sampled_from(DOMAINS), st.integers(0, 2)), min_size=1
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('offer', 'ask')),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 40),
    )
)


@hypothesis.given(WRITES, STEPS)
def test_reads_in_any_order_end_at_the_newest_and_never_go_back(writes, steps):
    """Controllers read domains late and out of order and pass them on.

    Each write changes a domain or only renews its lease. Whoever sees an old
    read after a newer one keeps the newer; a change back to an earlier content
    is a change. One that missed a change in between takes it from a peer, and
    says what it reads next as newer.
    """
    history = [
        object_api.StoredObject(
            records.FABRIC_DOMAINS,
            name,
            str(number + 1),
            {'region': REGION, 'vms': 1, 'replicas': ['a', 'b'][:content]},
        )
        for number, (name, content) in enumerate(writes)
    ]
    fleet = [_Process() for _ in range(3)]
    highest = {}
    for kind, one, other, place in steps:
        if kind == 'offer':
            fleet[one].offer(history[place % len(history)])
        else:
            fleet[one].ask(fleet[other])
        for index, process in enumerate(fleet):
            for record in process.table.live(records.FABRIC_DOMAINS):
                known = highest.get((index, record.name), 0)
                assert record.version >= known
                highest[index, record.name] = record.version
    newest = {stored.name: stored for stored in history}
    _settle(fleet, newest.values())
    wanted = _Process()
    for stored in newest.values():
        wanted.offer(stored)
    for process in fleet:
        assert process.shown() == wanted.shown()


class _CountedStore(memory_store.MemoryObjectApi):
    """Notes which kinds are watched."""

    def watch(self, kind, version):
        self.watched.append(kind)
        return super().watch(kind, version)


def _watched(domains):
    """Return which kinds are watched when the store holds so many domains."""

    async def scenario():
        store = _CountedStore()
        store.watched = []
        for number in range(domains):
            body = {'region': REGION, 'vms': 1, 'replicas': ['a']}
            await store.create(records.FABRIC_DOMAINS, f'd{number}', body)
        process = _Process()
        watch = store_watch.StoreWatch(
            store,
            process.table,
            process.decoder,
            clock.make_system_clock(),
            random.Random(1),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            with anyio.fail_after(30):
                while watch.lists < len(store_watch.WATCHED_KINDS):
                    await anyio.sleep(0.01)
                while not set(records.CONFIGURATION_KINDS) <= set(
                    store.watched
                ):
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert len(process.shown()) == domains
        return records.FABRIC_DOMAINS in store.watched

    return anyio.run(scenario)


def test_many_domains_are_listed_and_not_watched():
    """150 domains renew 30 leases a second; each event is a whole domain."""
    assert _watched(store_watch.MOST_WATCHED_DOMAINS)
    assert not _watched(store_watch.MOST_WATCHED_DOMAINS + 1)


def test_what_a_controller_reads_and_writes_is_passed_on():
    async def scenario():
        process = _Process()
        store = observing_object_api.make_observing_object_api(
            memory_store.make_memory_object_api(), process.offer
        )
        kind = records.FABRIC_DOMAINS
        body = {'region': REGION, 'vms': 1, 'replicas': ['a']}
        made = (await store.create(kind, 'd1', body)).ok
        assert b'"a"' in process.shown()['d1']
        changed = object_api.StoredObject(
            kind, 'd1', made.version, {**body, 'replicas': ['b']}
        )
        written = await store.update(changed)
        assert b'"b"' in process.shown()['d1']
        assert await store.get(kind, 'd1') == Ok(written.ok)
        assert (await store.get(kind, 'd2')).is_error()

    anyio.run(scenario)
