"""Endpoints whose answers have no end, behind a node, over loopback."""

import time
import tracemalloc

import anyio
import pytest

from redwingvalve.observability import node_metrics
from redwingvalve.platform import endpoint_orders
from redwingvalve.platform.standins import endpoint_endless
from redwingvalve.platform.tests import fleet_harness

MEGABYTE = 1_048_576
# Requests of the harness end after 3 to 4 s.
SOON_S = 2.0
# What one answer may make a node hold, the fake endpoint in the same process
# included: a body held in memory, and that again while it is joined.
HELD_BYTES = 48 * MEGABYTE
# A limit, a read and what the two sockets and the fake endpoint buffer.
SENT_BYTES = 32 * MEGABYTE
Endless = endpoint_endless.Endless


def broken_off():
    limits = ('head', 'interim heads', 'framing', 'skipped body', 'body')
    return sum(
        node_metrics.METRICS.value('redwingvalve_answers_over_limit', limit=one)
        for one in (*limits, 'event')
    )


async def ask_until_endless(fleet, faulty, ask):
    """Return the answers up to the first that had no end, and its time."""
    for _ in range(50):
        began_s = time.monotonic()
        response = await ask(fleet.caller())
        if faulty.faults.endless.begun:
            return response, time.monotonic() - began_s
    raise AssertionError('the faulty endpoint was never asked')


async def check_broken_off(fleet, faulty, before):
    endless = faulty.faults.endless
    await fleet.wait_until(lambda: endless.ended == endless.begun)
    assert broken_off() - before == endless.begun
    assert endless.max_sent_bytes < SENT_BYTES


def ask_card(caller):
    return caller.ask('/card/1')


def ask_quote(caller):
    return caller.ask('/quote/1')


def ask_stream(caller):
    return caller.stream()


@pytest.mark.parametrize('ask', [ask_card, ask_quote, ask_stream])
@pytest.mark.parametrize('kind', Endless)
def test_an_answer_without_end_is_soon_another_or_none(kind, ask):
    """The node read and held it until the deadline of the request."""

    async def test(fleet):
        before = broken_off()
        faulty = fleet.head() if ask is ask_stream else fleet.endpoints['p0']
        faulty.faults.endless.answers = kind
        tracemalloc.start()
        response, took_s = await ask_until_endless(fleet, faulty, ask)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert took_s < SOON_S
        if ask is ask_quote:
            assert response.status == 502
        else:
            assert (response.status, response.ending) == (200, 'whole')
        await check_broken_off(fleet, faulty, before)
        assert peak_bytes < HELD_BYTES

    fleet_harness.run(test)


@pytest.mark.parametrize('kind', [Endless.HEAD, Endless.INTERIM, Endless.BODY])
def test_calls_to_an_endpoint_without_end_end(kind, monkeypatch):
    """Reports, orders and health checks gathered them until their time-outs."""
    monkeypatch.setattr(endpoint_orders, 'REPORT_TIMEOUT_S', 10)
    monkeypatch.setattr(endpoint_orders, 'ORDER_TIMEOUT_S', 10)

    async def test(fleet):
        faulty = fleet.endpoints['p0']
        faulty.faults.endless.reports = kind
        node = fleet.nodes[0]
        usable = {one.endpoint_id: one for one in node.registry.usable()}
        endpoint = usable['p0']
        client = node.endpoint_client
        before = broken_off()
        with anyio.fail_after(SOON_S):
            assert await client.report(endpoint) is None
            life = await client.check_liveness(endpoint)
            order = await client.stage(endpoint, 'model')
        assert life is endpoint_orders.Liveness.UNKNOWN
        assert order is endpoint_orders.OrderResult.UNKNOWN
        await check_broken_off(fleet, faulty, before)
        assert (await fleet.caller().ask('/card/1')).status == 200

    fleet_harness.run(test)
