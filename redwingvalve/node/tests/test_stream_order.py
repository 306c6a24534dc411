"""Streams that go on as they are moved, while no other head takes them."""

import time

import anyio
import attrs

from redwingvalve.ingress import upstream
from redwingvalve.platform.standins import endpoint_answers, endpoint_faults
from redwingvalve.platform.tests import fleet_harness

EVENTS = 60
STREAMS = 4
SILENT_AFTER_S = 0.4
MAX_SILENCE_S = 3.0


@attrs.define(eq=False)
class Silence:
    """The silence of one head, which ends as its first stream is moved."""

    head: object | None = None
    ended: anyio.Event = attrs.field(factory=anyio.Event)

    def begin(self, fleet):
        self.head = next(one for one in fleet.endpoints.values() if one.runs)
        for one in fleet.endpoints.values():
            one.faults.rejects_requests = one is not self.head
        self.head.faults.silent_until_s = time.monotonic() + MAX_SILENCE_S

    def end(self):
        self.head.faults.silent_until_s = 0
        self.ended.set()

    async def wait_for_turn(self, endpoint):
        await anyio.sleep(endpoint_faults.EVENT_INTERVAL_S)
        if endpoint is self.head:
            await self.ended.wait()


def test_streams_that_go_on_as_they_are_moved_lack_no_piece(monkeypatch):
    """Event 20 of 60 was missing from a stream that ended as whole."""
    finish = upstream.UpstreamRequest.finish

    async def test(fleet):
        silence = Silence()
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
        async with anyio.create_task_group() as group:
            for _ in range(STREAMS):
                group.start_soon(ask)
            await anyio.sleep(SILENT_AFTER_S)
            silence.begin(fleet)
        assert silence.ended.is_set()
        assert [one.ending for one in responses] == ['whole'] * STREAMS
        for response in responses:
            assert response.events == list(range(1, EVENTS + 1))

    fleet_harness.run(test, nodes=1, engines=8, plain=0)
