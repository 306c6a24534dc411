"""Streams that are closed inside an event a moment before an endpoint ends."""

import anyio
import pytest

from redwingvalve.node.tests import crashing_parts
from redwingvalve.platform.standins import endpoint_crashes
from redwingvalve.platform.tests import fleet_harness

CALM_S = 2.0
LOAD_S = 18.0
# The last part of the load, long after the crashes.
MEASURED_S = 9.0
BAD_GAP_S = 0.4
SOUND_GAP_S = 0.15
MIN_SERVED_SHARE = 0.95


async def send_each(send, gap_s, end_s):
    async with anyio.create_task_group() as group:
        while anyio.current_time() < end_s:
            group.start_soon(send)
            await anyio.sleep(gap_s)


async def send_load(crashing):
    """Send sound streams, then bad ones beside them."""
    end_s = anyio.current_time() + LOAD_S
    async with anyio.create_task_group() as group:
        group.start_soon(send_each, crashing.send_sound, SOUND_GAP_S, end_s)
        await anyio.sleep(CALM_S)
        group.start_soon(send_each, crashing.send_bad, BAD_GAP_S, end_s)
    return crashing.served_share(end_s - MEASURED_S, end_s - 0.5)


def check_streams(**crashes):
    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet, is_stream=True)
        crashing.prepare(
            answer_start=endpoint_crashes.AnswerStart.HALF_EVENT,
            outlives_answer_s=0.01,
            **crashes,
        )
        served_share = await send_load(crashing)
        late = crashing.late_arrivals()
        assert late <= crashing_parts.MAX_LATE_ARRIVALS, late
        assert served_share >= MIN_SERVED_SHARE
        assert not crashing.falsely_served()

    fleet_harness.run(test, nodes=4, engines=40, plain=0)


def test_streams_closed_a_moment_before_the_end_count_as_crashes():
    """Endpoints are probed in that moment, and say that they live."""
    check_streams(entry_lapse_s=0)


@pytest.mark.parametrize('entry_lapse_s', [1.5, 2.9])
def test_connections_that_outlive_an_endpoint_clear_no_part(entry_lapse_s):
    """Probes over them were answered, so that ends were taken for survived."""
    check_streams(entry_lapse_s=entry_lapse_s, spares_newer_s=0.05)
