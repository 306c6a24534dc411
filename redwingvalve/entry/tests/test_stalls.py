"""Responses to callers when a replica hangs with its connection open."""

import json

import anyio
import pytest

from redwingvalve.core import clock
from redwingvalve.entry import app
from redwingvalve.entry.tests import fakes
from redwingvalve.retries import stalls

ALL_TOKENS = [' t1', ' t2', ' t3', ' t4', ' t5', ' t6']
NON_IDEMPOTENT = {'headers': {'x-redwingvalve-idempotent': 'false'}}


class HangingReplica:
    """Sends some tokens, then nothing until released."""

    def __init__(self, after):
        self.after = after
        self.released = anyio.Event()
        self.hangs = anyio.Event()

    async def __call__(self, request):
        head = (('x-request-id', request.request_id),)
        return fakes.upstream.UpstreamResponse(200, head, self._chunks(request))

    async def _chunks(self, request):
        texts = fakes.tokens_after(request, 6)
        for text in texts[: self.after]:
            await anyio.lowlevel.checkpoint()
            yield fakes.event(request.request_id, text)
        self.hangs.set()
        await self.released.wait()
        for text in texts[self.after :]:
            yield fakes.event(request.request_id, text)
        yield b'data: [DONE]\n\n'


class StallScenario:
    """An entry with a manual clock; the first attempt runs the script first."""

    def __init__(self, first, names=('r1', 'r2')):
        self.clock = clock.ManualClock()
        scripts = iter((first, *[fakes.streaming(6)] * 30))

        async def script(request):
            return await next(scripts)(request)

        self.engines = fakes.Engines({f'{name}:1': script for name in names})
        self.application = app.make_entry_app(
            fakes.make_dependencies(
                self.engines,
                clock=self.clock,
                source=fakes.Source(fakes.make_snapshot(names)),
            )
        )
        self.got = fakes.Received()
        self.done = False

    async def call(self, **options):
        await fakes.call(self.application, received=self.got, **options)
        self.done = True

    async def advance(self, times):
        for _ in range(times):
            self.clock.advance(stalls.CHECK_INTERVAL_S)
            self.application.stall_monitor.check()
            await anyio.wait_all_tasks_blocked()

    def run(self, hanging, actions, **options):
        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(lambda: self.call(**options))
                await hanging.hangs.wait()
                await anyio.wait_all_tasks_blocked()
                await actions()
                group.cancel_scope.cancel()

        anyio.run(main)


@pytest.mark.parametrize(('after', 'checks'), [(0, 26), (1, 12), (5, 12)])
def test_stalled_stream_resumes_at_another_replica(after, checks):
    """The caller gets a complete answer with each token once.

    The first replica hangs after some tokens with its connection open. Long
    before the deadline the other one resumes after the delivered tokens, and
    the first gets a cancellation.
    """
    scenario = StallScenario(hanging := HangingReplica(after))
    scenario.run(hanging, lambda: scenario.advance(checks))
    assert scenario.got.tokens == ALL_TOKENS and scenario.got.ended
    assert len(scenario.engines.sent) == 2
    assert scenario.engines.cancelled == [scenario.engines.sent[0].request_id]


def test_token_during_cancellation_is_delivered_once():
    """The hung replica continues at the moment when it is aborted.

    Its next tokens can be read when the scope is cancelled. They must neither
    be counted but lost, nor be delivered by both replicas.
    """
    scenario = StallScenario(hanging := HangingReplica(2))

    async def actions():
        await scenario.advance(7)
        for _ in range(4):
            scenario.clock.advance(stalls.CHECK_INTERVAL_S)
            hanging.released.set()
            scenario.application.stall_monitor.check()
        await scenario.advance(1)

    scenario.run(hanging, actions)
    assert scenario.got.tokens == ALL_TOKENS and scenario.got.ended


def test_stalled_non_idempotent_stream_ends_as_unknown():
    """A stalled non-idempotent request ends with an error and is not resumed.

    Whether the hung replica will complete it is unknown, and running the rest
    elsewhere could bill a second time.
    """
    scenario = StallScenario(hanging := HangingReplica(2))
    scenario.run(hanging, lambda: scenario.advance(12), **NON_IDEMPOTENT)
    assert scenario.done and not scenario.got.ended
    assert scenario.got.tokens == [' t1', ' t2']
    error = scenario.got.body.decode().partition('event: error\ndata: ')[2]
    assert json.loads(error)['error']['outcome'] == 'unknown'
    assert len(scenario.engines.sent) == 1


def test_stalled_stream_without_another_replica_waits():
    """The only replica is paused for ten seconds; the answer is complete."""
    scenario = StallScenario(hanging := HangingReplica(2), names=('r1',))

    async def actions():
        await scenario.advance(40)
        assert not scenario.done
        hanging.released.set()
        await scenario.advance(1)

    scenario.run(hanging, actions)
    assert scenario.got.tokens == ALL_TOKENS and scenario.got.ended
    assert len(scenario.engines.sent) == 1


def test_stalled_replica_gets_less_work():
    """Of 20 requests after a stall at most one goes to the hung replica."""
    names = ('r1', 'r2', 'r3', 'r4')
    scenario = StallScenario(hanging := HangingReplica(1), names)

    async def actions():
        await scenario.advance(12)
        for _ in range(20):
            await fakes.call(scenario.application)

    scenario.run(hanging, actions)
    hung_count, *later = scenario.engines.sent
    again = [sent for sent in later[1:] if sent.address == hung_count.address]
    assert len(again) <= 1


def test_stalled_streams_beyond_the_retry_budget_wait():
    """A replica with 60 streams hangs for ten seconds; the budget is 20.

    Some streams resume elsewhere, the others once the replica continues. None
    fails because the retry budget is exhausted.
    """

    async def main():
        scenario, hanging = StallScenario(None), HangingReplica(2)
        scenario.engines.scripts = {
            'r1:1': hanging,
            'r2:1': fakes.streaming(6),
        }
        answers = [fakes.Received() for _ in range(120)]
        async with anyio.create_task_group() as group:
            for got in answers:
                group.start_soon(
                    lambda one: fakes.call(scenario.application, received=one),
                    got,
                )
            await hanging.hangs.wait()
            await anyio.wait_all_tasks_blocked()
            hung_count = sum(not got.ended for got in answers)
            await scenario.advance(12)
            waiting = sum(not got.ended for got in answers)
            hanging.released.set()
        assert hung_count > 40 and 0 < waiting < hung_count - 15
        assert all(got.tokens == ALL_TOKENS and got.ended for got in answers)

    anyio.run(main)
