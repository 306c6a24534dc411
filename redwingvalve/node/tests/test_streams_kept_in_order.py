"""Streams that go on as they are moved beside evacuations and cuts."""

import anyio
import pytest

from redwingvalve.ingress import upstream
from redwingvalve.node.tests import (
    endpoint_cuts,
    evacuation_harness,
    test_stream_order,
)
from redwingvalve.platform.standins import endpoint_answers

EVENTS = test_stream_order.EVENTS
STREAMS = test_stream_order.STREAMS


async def silence_ends_with_a_move(fleet, monkeypatch, disturb, *, is_framed):
    """Check streams whose silent head goes on as the first one is moved."""
    silence = test_stream_order.Silence()
    finish = upstream.UpstreamRequest.finish
    responses = []

    def end_silence(request, outcome):
        if outcome is upstream.Outcome.STALLED:
            silence.end()
        finish(request, outcome)

    async def ask():
        responses.append(await fleet.caller().stream())

    monkeypatch.setattr(upstream.UpstreamRequest, 'finish', end_silence)
    monkeypatch.setattr(
        endpoint_answers, '_wait_for_turn', silence.wait_for_turn
    )
    for endpoint in fleet.endpoints.values():
        endpoint.events_per_response = EVENTS
        endpoint.faults.closes_after_answers = not is_framed
    async with anyio.create_task_group() as group:
        for _ in range(STREAMS):
            group.start_soon(ask)
        await anyio.sleep(test_stream_order.SILENT_AFTER_S)
        silence.begin(fleet)
        await disturb()
    assert silence.ended.is_set()
    assert [one.ending for one in responses] == ['whole'] * STREAMS
    for response in responses:
        assert response.events == list(range(1, EVENTS + 1))


@pytest.mark.parametrize('is_framed', [True, False])
def test_streams_of_an_evacuated_data_centre_lack_no_piece(
    is_framed, monkeypatch
):
    """They move to another data centre, whose heads take none of them."""

    async def test(fleet):
        async def disturb():
            evacuation_harness.evacuate(fleet, 'zone-1')
            await evacuation_harness.wait_until_in_force(fleet, 'zone-1')

        await silence_ends_with_a_move(
            fleet, monkeypatch, disturb, is_framed=is_framed
        )

    evacuation_harness.run(
        test, plain=0, plain_away=0, engines=4, engines_away=4
    )


@pytest.mark.parametrize('is_framed', [True, False])
def test_streams_of_a_node_that_is_cut_off_lack_no_piece(
    is_framed, monkeypatch
):
    """The other node finds no head either, and the open ones go on."""

    async def test(fleet):
        links = endpoint_cuts.NodeLinks(fleet.nodes[0], fleet.endpoints)

        async def disturb():
            links.cut(endpoint_cuts.CutMode.KEEP)
            fleet.nodes[0].reach.request_check()
            await fleet.wait_until(lambda: fleet.nodes[0].reach.is_cut_off)

        await silence_ends_with_a_move(
            fleet, monkeypatch, disturb, is_framed=is_framed
        )

    evacuation_harness.run(
        test, nodes=2, plain=0, plain_away=0, engines=8, engines_away=0
    )
