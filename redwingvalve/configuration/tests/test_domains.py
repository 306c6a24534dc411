"""Tests of fabric domains that controllers pass on after reads and writes."""

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


def decode_replicas(stored):
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
    """A table and its decoder, combined as in configuration.source."""

    def __init__(self):
        self.table = records.make_record_table()
        self.decoder = decoding.Decoder(decode_replicas)

    def observe(self, stored):
        existing = self.table.get(stored.kind, stored.name)
        record = self.decoder.to_record(stored, existing)
        if record is not None and self.table.apply(record):
            self.table.complete({record.group: record.version})

    def ask(self, other):
        packed = packing.pack(
            other.table.delta_since(self.table.versions(), REGION)
        )
        self.table.apply_reply(
            packing.unpack(messages.peer.RecordsReply(), packed).ok
        )

    def bodies(self):
        return {
            record.name: record.body
            for record in self.table.live(records.FABRIC_DOMAINS)
        }


def _settle(fleet, newest):
    """Let one controller read the newest objects and exchange with the others.

    Done twice, since the controller may have missed a change.
    """
    for _ in range(2):
        for stored in newest:
            fleet[0].observe(stored)
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
        st.sampled_from(('observe', 'ask')),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 40),
    )
)


@hypothesis.given(WRITES, STEPS)
def test_reads_in_any_order_converge_without_reverts(writes, steps):
    """Controllers read domains late and out of order and pass them on.

    Each write changes a domain or only renews its lease. An outdated read is
    ignored, while a change back to earlier content counts as a change. A
    process that missed a change gets it from a peer, and passes on its next
    read as newer.
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
    for kind, one, other, position in steps:
        if kind == 'observe':
            fleet[one].observe(history[position % len(history)])
        else:
            fleet[one].ask(fleet[other])
        for index, process in enumerate(fleet):
            for record in process.table.live(records.FABRIC_DOMAINS):
                known = highest.get((index, record.name), 0)
                assert record.version >= known
                highest[index, record.name] = record.version
    newest = {stored.name: stored for stored in history}
    _settle(fleet, newest.values())
    expected = _Process()
    for stored in newest.values():
        expected.observe(stored)
    for process in fleet:
        assert process.bodies() == expected.bodies()


class _CountedStore(memory_store.MemoryObjectApi):
    """Records which kinds are watched."""

    def watch(self, kind, version):
        self.watched.append(kind)
        return super().watch(kind, version)


def _watched(domains):
    """Tell whether fabric domains are watched in a store with this many."""

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
                while watch.list_count < len(store_watch.WATCHED_KINDS):
                    await anyio.sleep(0.01)
                while not set(records.CONFIGURATION_KINDS) <= set(
                    store.watched
                ):
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert len(process.bodies()) == domains
        return records.FABRIC_DOMAINS in store.watched

    return anyio.run(scenario)


def test_a_large_number_of_domains_is_listed_but_not_watched():
    """With 150 domains, 30 renewals a second would each send a whole domain."""
    assert _watched(store_watch.MAX_WATCHED_DOMAINS)
    assert not _watched(store_watch.MAX_WATCHED_DOMAINS + 1)


def test_domains_read_and_written_by_a_controller_are_passed_on():
    async def scenario():
        process = _Process()
        store = observing_object_api.make_observing_object_api(
            memory_store.make_memory_object_api(), process.observe
        )
        kind = records.FABRIC_DOMAINS
        body = {'region': REGION, 'vms': 1, 'replicas': ['a']}
        made = (await store.create(kind, 'd1', body)).ok
        assert b'"a"' in process.bodies()['d1']
        changed = object_api.StoredObject(
            kind, 'd1', made.version, {**body, 'replicas': ['b']}
        )
        written = await store.update(changed)
        assert b'"b"' in process.bodies()['d1']
        assert await store.get(kind, 'd1') == Ok(written.ok)
        assert (await store.get(kind, 'd2')).is_error()

    anyio.run(scenario)
