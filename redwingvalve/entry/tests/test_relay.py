"""Responses to callers when endpoints disconnect, mix up answers or crash."""

import json

import anyio
import attrs
import pytest

from redwingvalve.core import invariants
from redwingvalve.entry import app
from redwingvalve.entry.tests import fakes

ALL_TOKENS = [' t1', ' t2', ' t3', ' t4', ' t5', ' t6']
NON_IDEMPOTENT = {'headers': {'x-redwingvalve-idempotent': 'false'}}
Safeguard = invariants.Safeguard
MISMATCHED_ID = (('x-request-id', 'of another'),)


def two_replicas(first, second=None):
    """Return engines r1 and r2; the one selected first runs first."""
    scripts = iter((first, second or fakes.streaming(6)))

    async def script(request):
        return await next(scripts)(request)

    return fakes.Engines({'r1:1': script, 'r2:1': script})


@pytest.mark.parametrize('cut_after', [0, 1, 5, 6])
def test_interrupted_stream_resumes_at_another_replica(cut_after):
    """The caller gets a complete answer with each token once.

    The first replica disconnects after some tokens, or ends the body cleanly
    without [DONE]. The second one resumes after the delivered tokens.
    """
    first = fakes.streaming(6, cut_after=cut_after, done=False)
    (got,) = fakes.run(
        two_replicas(first), {'headers': {'x-request-id': 'mine'}}
    )
    assert got.tokens == ALL_TOKENS and got.ended
    assert got.body.count(b'"chatcmpl-mine"') == 6
    assert got.body.count(b'[DONE]') == 1


def test_stream_is_not_resumed_by_another_version():
    """The caller gets tokens of one version only, then an error event.

    During a rolling update the replica of the old version disconnects, and only
    a replica of the new version is left. Found by soak seed 212 with processes.
    """
    versions = tuple(
        attrs.evolve(fakes.replica(name), model='m', version=version)
        for name, version in (('r1', '1'), ('r2', '2'))
    )
    engines = two_replicas(fakes.streaming(6, cut_after=2))
    source = fakes.Source(fakes.make_snapshot(replicas=versions))
    (got,) = fakes.run(engines, {}, source=source)
    assert got.tokens == [' t1', ' t2'] and not got.ended
    assert len(engines.sent) == 1


def test_non_idempotent_stream_is_not_resumed():
    """The caller gets its tokens, then an error event and no clean end.

    The request is not idempotent and its stream breaks after two tokens;
    resuming it elsewhere could bill a second time.
    """
    engines = two_replicas(fakes.streaming(6, cut_after=2))
    (got,) = fakes.run(engines, NON_IDEMPOTENT)
    assert got.tokens == [' t1', ' t2'] and not got.ended
    error = got.body.decode().partition('event: error\ndata: ')[2]
    assert json.loads(error)['error']['outcome'] == 'ran'
    assert len(engines.sent) == 1


def test_response_of_another_request_is_not_delivered():
    """A response with the id of another request is not delivered.

    The first replica mixes up responses, as happens when they cross on a
    connection. The request is sent to the second one.
    """
    engines = two_replicas(fakes.streaming(6, echo='foreign'))
    (got,) = fakes.run(engines, {})
    assert got.tokens == ALL_TOKENS
    assert b'foreign' not in got.body


@pytest.mark.parametrize(
    ('safeguard', 'first', 'breach'),
    [
        (
            Safeguard.ANSWER_IDENTITY,
            fakes.streaming(2, echo='foreign'),
            lambda got: got.tokens == [' t1', ' t2'],
        ),
        (
            Safeguard.ANSWER_COMPLETENESS,
            fakes.streaming(6, cut_after=None, done=False),
            lambda got: got.ended,
        ),
        (
            Safeguard.TRUTHFUL_NOT_RUN,
            fakes.failing(fakes.broken()),
            lambda got: got.tokens == ALL_TOKENS,
        ),
    ],
)
def test_disabled_safeguard_violates_its_invariant(safeguard, first, breach):
    (got,) = fakes.run(
        two_replicas(first),
        NON_IDEMPOTENT,
        switches=invariants.SafeguardSwitches((safeguard,)),
    )
    assert breach(got)


def test_caller_disconnect_cancels_the_upstream_request():
    """The engine gets a cancellation once the caller has disconnected."""

    async def main():
        disconnected = anyio.Event()

        async def endless(request):
            async def chunks():
                yield fakes.event(request.request_id, ' t1')
                disconnected.set()
                await anyio.sleep_forever()

            head = (('x-request-id', request.request_id),)
            return fakes.upstream.UpstreamResponse(200, head, chunks())

        engines = fakes.Engines({'r1:1': endless, 'r2:1': endless})
        application = app.make_entry_app(fakes.make_dependencies(engines))
        await fakes.call(application, hang_up=disconnected)
        assert engines.cancelled == [engines.sent[0].request_id]

    anyio.run(main)


def test_passed_deadline_is_reported_and_cancelled():
    async def silent(request):
        await anyio.sleep_forever()

    engines = fakes.Engines({'r1:1': silent, 'r2:1': silent})
    (got,) = fakes.run(
        engines, {'headers': {'x-redwingvalve-deadline-ms': '30'}}
    )
    assert (got.status, got.error['code']) == (504, 'deadline-exceeded')
    assert got.error['outcome'] == 'unknown'
    assert len(engines.cancelled) == 1


def test_poison_request_is_refused_after_two_crashes():
    """A poison request crashes at most two endpoints and is then refused.

    Each endpoint that runs it disconnects. The caller sends it five times while
    other replicas are up; a request of the same account with another prompt is
    still served.
    """

    async def crashing(request):
        if 'poison' in request.body.decode():
            raise fakes.broken()
        return await fakes.streaming()(request)

    names = ('r1', 'r2', 'r3', 'r4', 'r5')
    engines = fakes.Engines({f'{name}:1': crashing for name in names})
    poison = {'body': {'model': 'quotes', 'messages': [{'content': 'poison'}]}}
    answers = fakes.run(
        engines,
        *([poison] * 5),
        {},
        source=fakes.Source(fakes.make_snapshot(names)),
    )
    assert [got.error['code'] for got in answers[:5]] == ['poison-request'] * 5
    assert len(engines.sent) == 3
    assert answers[5].tokens == [' t1', ' t2', ' t3']


POISON = {'body': {'model': 'quotes', 'messages': [{'content': 'poison'}]}}


def test_crash_hidden_by_a_mismatched_response_is_recorded():
    """A crash is recorded even if a mismatched response hides it.

    The first endpoint sends the response of another request and then crashes,
    when the entry has stopped reading. Only the cancellation shows that it is
    gone. If that were not recorded, the poison request would crash a third
    endpoint.
    """

    async def crashing(request):
        engines.unreachable.add(request.address)
        if len(engines.sent) > 1:
            raise fakes.broken()
        return await fakes.answering(200, headers=MISMATCHED_ID)(request)

    names = ('r1', 'r2', 'r3', 'r4')
    engines = fakes.Engines({f'{name}:1': crashing for name in names})
    got = fakes.run(
        engines, POISON, source=fakes.Source(fakes.make_snapshot(names))
    )[0]
    assert got.error['code'] == 'poison-request'
    assert len(engines.sent) == 2


def test_crash_after_caller_disconnect_is_recorded():
    """A crash is recorded even if the caller has disconnected before.

    The caller resends the request, which must wait for news like any suspect
    request. If the crash were not recorded, each resend would crash another
    endpoint.
    """
    left = anyio.Event()

    async def crashing(request):
        engines.unreachable.add(request.address)
        left.set()
        await anyio.sleep_forever()

    engines = fakes.Engines({'r1:1': crashing, 'r2:1': crashing})
    again = fakes.run(engines, {**POISON, 'hang_up': left}, POISON)[1]
    assert again.error['code'] == 'suspect-request'
    assert again.error['outcome'] == 'not-run'
    assert len(engines.sent) == 1


def test_full_entry_refuses_waiting_requests_in_time():
    """Waiting requests are refused before their target time passes.

    The only replica runs one job at a time, which the first of five callers
    occupies. The other four are refused with a Retry-After, none hangs, and
    the next request after that is served.
    """

    async def main():
        held = anyio.Event()

        async def slow(request):
            await held.wait()
            return await fakes.streaming()(request)

        deployment = fakes.schema.ModelDeployment(
            'quotes',
            'm',
            '1',
            1,
            4,
            tokens_per_s_per_replica=10.0,
            first_token_target_s=0.3,
        )
        source = fakes.Source(
            fakes.make_snapshot(('r1',), deployments=(deployment,))
        )
        engines = fakes.Engines({'r1:1': slow})
        application = app.make_entry_app(
            fakes.make_dependencies(engines, source=source)
        )
        answers = []

        async def caller():
            answers.append(await fakes.call(application))

        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(caller)
            while len(answers) < 4:
                await anyio.sleep(0.01)
            held.set()
        assert [got.status for got in answers[:4]] == [429] * 4
        assert all(got.headers['retry-after'] for got in answers[:4])
        assert {got.error['outcome'] for got in answers[:4]} == {'not-run'}
        assert answers[4].tokens == [' t1', ' t2', ' t3']
        assert (await fakes.call(application)).status == 200

    anyio.run(main)
