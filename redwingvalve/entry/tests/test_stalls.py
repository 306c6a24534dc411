"""What callers receive when a replica hangs while its connection stands."""

import json

import anyio
import pytest

from redwingvalve.core import clock
from redwingvalve.entry import app
from redwingvalve.entry.tests import fakes
from redwingvalve.retries import stalls

WHOLE = [' t1', ' t2', ' t3', ' t4', ' t5', ' t6']
ONCE = {'headers': {'x-redwingvalve-idempotent': 'false'}}


class Hanging:
    """Gives some tokens, then nothing until released."""

    def __init__(self, after):
        self.after = after
        self.released = anyio.Event()
        self.hangs = anyio.Event()

    async def __call__(self, request):
        head = (('x-request-id', request.request_id),)
        return fakes.upstream.UpstreamAnswer(200, head, self._chunks(request))

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


class Scene:
    """An entry whose clock moves by hand; the first send meets first."""

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

    async def look(self, times):
        for _ in range(times):
            self.clock.advance(stalls.CHECK_INTERVAL_S)
            self.application.stalls.look()
            await anyio.wait_all_tasks_blocked()

    def run(self, hanging, play, **options):
        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(lambda: self.call(**options))
                await hanging.hangs.wait()
                await anyio.wait_all_tasks_blocked()
                await play()
                group.cancel_scope.cancel()

        anyio.run(main)


@pytest.mark.parametrize(('after', 'looks'), [(0, 26), (1, 12), (5, 12)])
def test_a_stalled_stream_goes_on_elsewhere(after, looks):
    """The caller sees one whole answer with each token once.

    The first replica hangs after some tokens and its connection stands. Long
    before the deadline the other is asked to go on after those delivered, and
    the first is told to cancel.
    """
    scene = Scene(hanging := Hanging(after))
    scene.run(hanging, lambda: scene.look(looks))
    assert scene.got.tokens == WHOLE and scene.got.ended
    assert len(scene.engines.sent) == 2
    assert scene.engines.cancelled == [scene.engines.sent[0].request_id]


def test_a_token_that_comes_with_the_cancellation_is_there_once():
    """The hung replica goes on at the moment when it is given up.

    Its next tokens are ready to be read when the scope is cancelled: they
    must neither be counted and lost nor come from both replicas.
    """
    scene = Scene(hanging := Hanging(2))

    async def play():
        await scene.look(7)
        for _ in range(4):
            scene.clock.advance(stalls.CHECK_INTERVAL_S)
            hanging.released.set()
            scene.application.stalls.look()
        await scene.look(1)

    scene.run(hanging, play)
    assert scene.got.tokens == WHOLE and scene.got.ended


def test_what_may_run_once_ends_at_once_and_unknown():
    """The caller sees its tokens, then an error event that says unknown.

    Whether the hung replica runs on to its end cannot be told, and running
    the rest elsewhere might bill a second time.
    """
    scene = Scene(hanging := Hanging(2))
    scene.run(hanging, lambda: scene.look(12), **ONCE)
    assert scene.done and not scene.got.ended
    assert scene.got.tokens == [' t1', ' t2']
    error = scene.got.body.decode().partition('event: error\ndata: ')[2]
    assert json.loads(error)['error']['outcome'] == 'unknown'
    assert len(scene.engines.sent) == 1


def test_a_stream_that_cannot_go_on_elsewhere_is_waited_for():
    """The only replica is paused for ten seconds; the answer comes whole."""
    scene = Scene(hanging := Hanging(2), names=('r1',))

    async def play():
        await scene.look(40)
        assert not scene.done
        hanging.released.set()
        await scene.look(1)

    scene.run(hanging, play)
    assert scene.got.tokens == WHOLE and scene.got.ended
    assert len(scene.engines.sent) == 1


def test_a_replica_that_stalls_is_eased_off():
    """Of 20 new requests after a stall at most one goes to the hung replica."""
    names = ('r1', 'r2', 'r3', 'r4')
    scene = Scene(hanging := Hanging(1), names)

    async def play():
        await scene.look(12)
        for _ in range(20):
            await fakes.call(scene.application)

    scene.run(hanging, play)
    hung, *later = scene.engines.sent
    again = [sent for sent in later[1:] if sent.address == hung.address]
    assert len(again) <= 1


def test_streams_beyond_the_retry_budget_are_waited_for():
    """A replica with 60 streams hangs for ten seconds; the budget is 20.

    Some callers get the rest of their answer elsewhere, the others when the
    replica goes on. Nobody gets an error for lack of budget.
    """

    async def main():
        scene, hanging = Scene(None), Hanging(2)
        scene.engines.scripts = {
            'r1:1': hanging,
            'r2:1': fakes.streaming(6),
        }
        answers = [fakes.Received() for _ in range(120)]
        async with anyio.create_task_group() as group:
            for got in answers:
                group.start_soon(
                    lambda one: fakes.call(scene.application, received=one),
                    got,
                )
            await hanging.hangs.wait()
            await anyio.wait_all_tasks_blocked()
            hung = sum(not got.ended for got in answers)
            await scene.look(12)
            waiting = sum(not got.ended for got in answers)
            hanging.released.set()
        assert hung > 40 and 0 < waiting < hung - 15
        assert all(got.tokens == WHOLE and got.ended for got in answers)

    anyio.run(main)
