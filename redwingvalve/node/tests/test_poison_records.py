"""The store's object of requests that aren't served."""

import types

import anyio
import pytest

from redwingvalve.ingress import (
    crash_blame,
    crash_keys,
    poison,
    poison_trials,
)
from redwingvalve.node import poison_records
from redwingvalve.platform import store

FINGERPRINT = 7
KEYS = crash_keys.RequestKeys(FINGERPRINT)


class Store:
    """One object, as the store holds it; it may be away."""

    def __init__(self):
        self.spec = None
        self.revision = 1
        self.writes = 0
        self.is_away = False

    async def read(self, kind, name):
        await self._check()
        return self._document() if self.spec is not None else None

    async def create(self, kind, name, spec):
        await self._check()
        if self.spec is not None:
            raise store.ConflictError(self._document())
        return self._put(spec)

    async def replace(self, kind, name, spec, revision):
        await self._check()
        if revision != self.revision:
            raise store.ConflictError(self._document())
        return self._put(spec)

    async def _check(self):
        await anyio.sleep(0.005)
        if self.is_away:
            raise store.StoreRefusedError('status 503')

    def _put(self, spec):
        self.spec = spec
        self.revision += 1
        self.writes += 1
        return self._document()

    def _document(self):
        return {'metadata': {'revision': self.revision}, 'spec': self.spec}


def make_records(client, *, is_holder=False):
    lease = types.SimpleNamespace(
        is_held=lambda: is_holder, acquired_revision=5
    )
    tracker = poison.PoisonRequestTracker()
    return poison_records.PoisonRecords(tracker, client, lease)


def crash(records, count=3):
    for number in range(count):
        incarnation = (f'e{number}', 1)
        records.tracker.record_broken_run(FINGERPRINT, incarnation)
        records.tracker.record_end(incarnation)


def run(records, test):
    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(records.run)
            await test()
            group.cancel_scope.cancel()

    anyio.run(main)


async def wait_until(condition, timeout_s=3.0):
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.02)


def recorded(client):
    records = make_records(client, is_holder=True)

    async def test():
        crash(records)
        await wait_until(lambda: client.spec)

    run(records, test)


def test_a_node_that_starts_knows_what_the_last_one_recorded():
    client = Store()
    recorded(client)
    records = make_records(client)

    async def test():
        await wait_until(lambda: records.is_loaded)
        verdict = records.tracker.verdict(FINGERPRINT)
        assert verdict is crash_blame.Verdict.REFUSE

    run(records, test)
    assert client.writes == 1


def test_records_are_written_once_the_store_is_back():
    client = Store()
    records = make_records(client, is_holder=True)

    async def test():
        await wait_until(lambda: records.is_loaded)
        client.is_away = True
        crash(records)
        await anyio.sleep(1)
        client.is_away = False
        await wait_until(lambda: client.spec)

    run(records, test)


def test_a_lost_answer_causes_no_write():
    client = Store()
    records = make_records(client, is_holder=True)

    async def test():
        crash(records, 2)
        await anyio.sleep(1)

    run(records, test)
    assert not client.writes


def test_a_trial_is_not_claimed_twice(monkeypatch):
    """Two nodes that read the same object write it one after the other."""
    monkeypatch.setattr(poison_trials, 'FIRST_DELAY_S', 0.5)
    client = Store()
    recorded(client)
    nodes = [make_records(client) for _ in range(5)]
    claimed = []

    async def claim(records):
        await records._load()
        await anyio.sleep(0.6)
        claimed.append(await records.claim(KEYS))

    async def main():
        async with anyio.create_task_group() as group:
            for records in nodes:
                group.start_soon(claim, records)

    anyio.run(main)
    assert claimed.count(True) == 1


@pytest.mark.parametrize(
    'spec',
    [
        {},
        {'suspects': 3},
        {'suspects': [{}, {'suspect': 'x', 'runs': [], 'trials': 0}]},
        {'suspects': [{'suspect': '7', 'runs': [[1]], 'trials': 0}]},
    ],
)
def test_records_that_cannot_be_read_are_left_out(spec):
    """Another version may have written them."""
    client = Store()
    client.spec = spec
    records = make_records(client)

    async def test():
        await wait_until(lambda: records.is_loaded)
        assert not records.tracker.not_served()

    run(records, test)


def test_trials_become_rarer():
    due = [
        poison_trials.due_s(100, poison_trials.TrialHistory(count, 200))
        for count in range(4)
    ]
    assert due == [230, 320, 680, 680]
