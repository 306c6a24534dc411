"""Streams that are open while their node loses its links to all endpoints."""

import anyio
import pytest

from redwingvalve.ingress import poison
from redwingvalve.node.tests import endpoint_cuts
from redwingvalve.platform.tests import fleet_harness

NODES = 6
CUT = frozenset((1, 2, 3))
STREAMS_PER_NODE = 4
# Requests before the cut; by them the retry budget of a node covers one
# resumption of each of its streams, but not two.
CALM_S = 3.0
REQUESTS_PER_S = 60
EVENTS = 40
# Events that the last stream has when the links are cut.
EVENTS_BEFORE_CUT = 5
RESUMED_S = 4.0
# Of all prompts; what follows is unlike all others.
SHARED_PART = b'aa11bb22:40,'


async def start_streams(fleet, part):
    """Return the readers of streams at all nodes, once all have events."""
    for endpoint in fleet.endpoints.values():
        endpoint.events_per_response = EVENTS
    # A prompt of which several endpoints lose a stream is suspected of crashes.
    readers = [
        await fleet.caller(index).start_request(
            '/draft/1',
            b'prompt %d of node %d' % (number, index),
            headers=[
                (b'X-Model', fleet_harness.SMALL_MODEL.encode()),
                (
                    b'X-Prompt-Prefix',
                    part + b'%x:40' % (0xABC000 + 100 * index + number),
                ),
            ],
        )
        for index in range(NODES)
        for number in range(STREAMS_PER_NODE)
    ]
    await fleet.wait_until(
        lambda: all(
            one.body.count(b'id: ') >= EVENTS_BEFORE_CUT for one in readers
        )
    )
    return readers


async def check_streams(fleet, mode, part=b''):
    """Cut nodes off while they have streams; all must arrive whole."""
    await endpoint_cuts.wait_until_started(fleet)
    load = endpoint_cuts.CutLoad(fleet, '/draft/1', REQUESTS_PER_S)
    await load.send_for(CALM_S)
    readers = await start_streams(fleet, part)
    load.cut(CUT, mode)
    with anyio.move_on_after(RESUMED_S):
        for reader in readers:
            await reader.done
    ended = [
        (
            reader.done.done() and reader.done.result(),
            fleet_harness.Response(200, {}, reader.body, '').events,
        )
        for reader in readers
    ]
    whole = ('whole', list(range(1, EVENTS + 1)))
    assert [one for one in ended if one != whole] == []


@pytest.mark.parametrize('mode', endpoint_cuts.CutMode)
def test_streams_that_are_open_at_the_cut_arrive_whole(mode):
    """Failed connects took the retries that were left for resumptions."""

    async def test(fleet):
        await check_streams(fleet, mode)

    fleet_harness.run(test, nodes=NODES, engines=24, plain=0)


@pytest.mark.parametrize('mode', endpoint_cuts.CutMode)
def test_a_part_of_all_streams_that_a_cut_breaks_off_is_not_blamed(
    mode, monkeypatch
):
    """Nodes took the ends of their own links for crashes under the part."""
    blamed = []
    record = poison.PoisonRequestTracker.record_broken_run

    def record_broken_run(tracker, fingerprint, *arguments, **options):
        blamed.append(fingerprint)
        record(tracker, fingerprint, *arguments, **options)

    monkeypatch.setattr(
        poison.PoisonRequestTracker, 'record_broken_run', record_broken_run
    )

    async def test(fleet):
        await check_streams(fleet, mode, SHARED_PART)

    fleet_harness.run(test, nodes=NODES, engines=24, plain=0)
    assert blamed == []
