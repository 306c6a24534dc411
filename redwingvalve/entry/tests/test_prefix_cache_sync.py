"""Entries share the contents of the engines' prefix caches."""

import json

import anyio
import attrs
import pytest

from redwingvalve.core import clock
from redwingvalve.entry import app
from redwingvalve.entry.tests import fakes
from redwingvalve.platform_api import prefix_hashes

NAMES = tuple(f'r{number}' for number in range(1, 9))
PROMPT = 'the rules of the house ' * 60
REQUEST = {
    'body': {
        'model': 'quotes',
        'messages': [{'role': 'user', 'content': PROMPT}],
        'stream': True,
    }
}


@attrs.define
class CachingEngines(fakes.Engines):
    """Engines that serve cache events from rows."""

    rows: dict = attrs.field(factory=dict)

    async def send(self, request):
        if not request.path.startswith('/cache-events'):
            return await super().send(request)
        after = int(request.path.partition('=')[2])
        rows = [
            row
            for row in self.rows.get(request.address, ())
            if row['number'] > after
        ]
        body = json.dumps({'events': rows, 'first': 1}).encode()
        return fakes.upstream.UpstreamResponse(
            200, (), fakes.chunks_of((body,))
        )


class TwoEntryRegion:
    """Two entries with shared news; each replica is read by one of them."""

    def __init__(self):
        self.clock = clock.ManualClock(100.0)
        self.engines = CachingEngines(
            {f'{name}:1': fakes.streaming() for name in NAMES}
        )
        both = [attrs.evolve(fakes.ENTRY, name=name) for name in ('e1', 'e2')]
        items = {}
        self.entries = [
            app.make_entry_app(
                fakes.make_dependencies(
                    self.engines,
                    clock=self.clock,
                    members=fakes.Members((other,), me),
                    news=fakes.FakeNewsBus(items, me.name),
                    source=fakes.Source(fakes.make_snapshot(NAMES)),
                )
            )
            for me, other in (both, both[::-1])
        ]

    async def ask(self, entry):
        before = len(self.engines.sent)
        await fakes.call(entry, **REQUEST)
        return self.engines.sent[before].address

    async def sync(self):
        for _ in range(2):
            self.clock.advance(6.0)
            for entry in self.entries:
                await entry.cache_sync.step()

    def publish(self, address, number, event_type):
        hashes = prefix_hashes.prefix_hashes(f'user: {PROMPT}', (2,))
        self.engines.rows.setdefault(address, []).append(
            {'number': number, 'type': event_type, 'prefix_hash': hashes[0]}
        )


@pytest.mark.parametrize('entry_index', [0, 1])
def test_entry_routes_to_the_replica_that_cached_the_prefix(entry_index):
    """A replica has cached a prefix through requests of another entry.

    Whichever entry reads that replica's events, both send the next request with
    the same prefix there.
    """

    async def main():
        region = TwoEntryRegion()
        for entry in region.entries:
            for _ in range(2):
                await region.ask(entry)
        known_addresses = {await region.ask(entry) for entry in region.entries}
        holder = next(
            f'{name}:1' for name in NAMES if f'{name}:1' not in known_addresses
        )
        for address in known_addresses:
            region.publish(address, 1, 'removed')
        region.publish(holder, 1, 'stored')
        await region.sync()
        assert await region.ask(region.entries[entry_index]) == holder

    anyio.run(main)
