"""Parts of prompts that crash endpoints are refused, sound ones served."""

import functools
import types

import anyio
import pytest

from redwingvalve.node import peers
from redwingvalve.node.tests import (
    crashing_parts,
    endpoint_cuts,
    test_crashing_requests,
)
from redwingvalve.platform.standins import endpoint as fake_endpoint
from redwingvalve.platform.standins import endpoint_crashes, endpoint_faults
from redwingvalve.platform.tests import fleet_harness

PLAIN = {'nodes': 6, 'engines': 0, 'plain': 40}
STREAMS = {'nodes': 6, 'engines': 40, 'plain': 0}
# Of the sound requests after the crashes.
MIN_SERVED_SHARE = 0.95
AnswerStart = endpoint_crashes.AnswerStart


def check(crashing, served_share):
    late = crashing.late_arrivals()
    assert late <= crashing_parts.MAX_LATE_ARRIVALS, late
    assert served_share >= MIN_SERVED_SHARE
    assert not crashing.falsely_served()


def run(shape, load=None, **more):
    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet, **more)
        share = await crashing_parts.run_crashing(crashing, **(load or {}))
        check(crashing, share)

    fleet_harness.run(test, **shape)


@pytest.mark.parametrize('answer_start', list(AnswerStart)[:-1])
def test_crashing_part_is_refused_however_its_answers_end(answer_start):
    """No two requests with the part are alike."""
    run(PLAIN, {'answer_start': answer_start})


@pytest.mark.parametrize('answer_start', list(AnswerStart))
def test_crashing_part_of_streams_is_refused_however_they_end(answer_start):
    """The endpoints are heads of replicas, which form again after a crash."""
    run(STREAMS, {'answer_start': answer_start, 'gap_s': 0.4}, is_stream=True)


@pytest.mark.parametrize('position', list(crashing_parts.Position))
def test_crashing_part_is_refused_wherever_it_stands(position):
    """It is never the last one."""
    run(PLAIN, position=position)


@pytest.mark.parametrize('seed', [0, 1])
def test_several_crashing_parts_are_refused(seed):
    """Two of them by turns, in the same company."""
    bad_parts = (crashing_parts.BAD, crashing_parts.OTHER_BAD)
    run(PLAIN, bad_parts=bad_parts, seed=seed)


def test_crashing_part_is_refused_when_it_comes_in_bursts():
    """Five requests at once run on before anything is known."""
    run(PLAIN, {'abreast': 5, 'gap_s': 0.6})


def test_crashing_part_is_refused_in_a_large_fleet(monkeypatch):
    """Nodes learn of crashes at other nodes through hubs."""
    monkeypatch.setattr(peers, 'LARGE_FLEET_NODES', 3)
    run({**PLAIN, 'nodes': 8}, {'abreast': 2})


def test_sound_requests_go_on_whose_parts_were_never_answered():
    """They come only after the parts beside the bad one were blamed too."""

    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet)
        crashing.prepare()
        started_s = anyio.current_time()
        await crashing.send_bad_until(started_s + 2.5)
        end_s = started_s + 8
        async with anyio.create_task_group() as group:
            group.start_soon(crashing.send_bad_until, end_s)
            group.start_soon(crashing.send_sound_until, end_s)
        check(crashing, crashing.served_share(end_s - 2, end_s - 0.5))

    fleet_harness.run(test, **PLAIN)


def test_crashing_part_is_refused_that_was_answered_before():
    """It turns bad after it has been answered for a while."""

    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet)
        await crashing.send_bad_until(anyio.current_time() + 2, gap_s=0.1)
        assert len(crashing.falsely_served()) == len(crashing.asked)
        crashing.asked.clear()
        check(crashing, await crashing_parts.run_crashing(crashing))

    fleet_harness.run(test, **PLAIN)


def test_new_processes_of_all_nodes_refuse_a_known_crashing_part():
    """No process is left that saw the crashes."""

    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet)
        crashing.prepare()
        async with anyio.create_task_group() as first:
            for number in range(3):
                await test_crashing_requests.start_node(
                    fleet, first, f'node-{number}'
                )
            await crashing.send_bad_until(anyio.current_time() + 2.5)
            await anyio.sleep(1.5)
            first.cancel_scope.cancel()
        fleet.nodes.clear()
        await anyio.sleep(0.5)
        async with anyio.create_task_group() as second:
            for number in range(3):
                await test_crashing_requests.start_node(
                    fleet, second, f'node-{number}'
                )
            end_s = anyio.current_time() + 4
            async with anyio.create_task_group() as group:
                group.start_soon(crashing.send_bad_until, end_s)
                group.start_soon(crashing.send_sound_until, end_s)
            second.cancel_scope.cancel()
        check(crashing, crashing.served_share(end_s - 2, end_s - 0.5))

    fleet_harness.run(test, nodes=0, engines=0, plain=40)


def test_no_part_is_blamed_for_endpoints_that_end_together():
    """Three times eight of them end, each with a sound request."""

    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet)
        crashing.bad_parts = ()
        crashing.prepare()
        started_s = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(crashing.send_sound_until, started_s + 4.5, 60.0)
            endpoints = list(fleet.endpoints.values())
            for number in range(3):
                await anyio.sleep_until(started_s + 1 + number)
                for _ in range(16):
                    group.start_soon(crashing.send_sound)
                await anyio.sleep(0.01)
                for endpoint in endpoints[8 * number : 8 * number + 8]:
                    endpoint.crash()
        assert crashing.served_share(started_s + 1.2) >= 0.95

    fleet_harness.run(test, **PLAIN)


def test_lost_answers_blame_no_part():
    """A seventh of the answers is lost at endpoints that live on."""

    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet)
        crashing.bad_parts = ()
        for endpoint in fleet.endpoints.values():
            endpoint.faults.spoiled_share = 0.15
        started_s = anyio.current_time()
        await crashing.send_sound_until(started_s + 4, 60.0)
        assert not [one for one in crashing.asked if one.status == 503]

    fleet_harness.run(test, **PLAIN)


@pytest.mark.parametrize('is_stream', [False, True])
def test_whole_answers_that_end_with_connections_reach_callers(is_stream):
    """Half an answer of an endpoint that has crashed looks the same."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.closes_after_answers = True
        crashing = crashing_parts.CrashingPart(fleet, is_stream)
        started_s = anyio.current_time()
        await crashing.send_sound_until(started_s + 1.5)
        assert crashing.served_share(started_s) == 1
        crashing.prepare(answer_start=AnswerStart.NEITHER)
        await crashing.send_bad()
        assert not crashing.falsely_served()

    fleet_harness.run(test, **(STREAMS if is_stream else PLAIN))


@pytest.mark.parametrize('outlives_answer_s', [0.05, 0.3])
@pytest.mark.parametrize('closes', [False, True])
def test_crashing_part_is_refused_whose_endpoints_outlive_its_answers(
    outlives_answer_s, closes
):
    """The endpoint answers a probe after half an answer, and ends then."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.closes_after_answers = closes
        crashing = crashing_parts.CrashingPart(fleet)
        share = await crashing_parts.run_crashing(
            crashing,
            answer_start=AnswerStart.NEITHER,
            outlives_answer_s=outlives_answer_s,
        )
        assert crashing.late_arrivals() <= crashing_parts.MAX_LATE_ARRIVALS
        assert share >= MIN_SERVED_SHARE

    fleet_harness.run(test, **PLAIN)


@pytest.mark.parametrize('outlives_answer_s', [0.01, 0.1, 0.5, 2.0])
def test_crashing_part_is_refused_whose_endpoints_outlive_half_an_event(
    outlives_answer_s,
):
    """The stream is closed inside an event, and its endpoint ends later."""
    run(
        {**STREAMS, 'nodes': 4},
        {
            'answer_start': AnswerStart.HALF_EVENT,
            'gap_s': 0.4,
            'entry_lapse_s': 0,
            'outlives_answer_s': outlives_answer_s,
        },
        is_stream=True,
    )


def delay_closing_answers(fleet):
    """Make endpoints answer late, and close the connection then."""
    for endpoint in fleet.endpoints.values():
        endpoint.faults.closes_after_answers = True
        endpoint.faults.spoiled_share = 1
        endpoint.faults.rng = types.SimpleNamespace(
            random=lambda: 0, choice=lambda _: endpoint_faults.Spoiling.DELAY
        )


@pytest.mark.parametrize('announces', [False, True])
def test_an_endpoint_that_leaves_cuts_no_answer_that_ends_with_it(announces):
    """It stops listening while its last answers are under way."""

    async def leave(fleet, endpoint):
        await anyio.sleep(0.05)
        if announces:
            endpoint.drain()
        else:
            fleet.store.remove('servers', endpoint.endpoint_id)
        await anyio.sleep(0.3)
        endpoint.stop_listening()

    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet)
        started_s = anyio.current_time()
        delay_closing_answers(fleet)
        async with anyio.create_task_group() as group:
            for _ in range(6):
                group.start_soon(crashing.send_sound)
            for endpoint in fleet.endpoints.values():
                group.start_soon(leave, fleet, endpoint)
        assert crashing.served_share(started_s) == 1

    fleet_harness.run(test, nodes=1, engines=0, plain=2)


@pytest.mark.parametrize('mode', list(endpoint_cuts.CutMode)[2:])
def test_a_cut_off_node_cuts_no_answer_that_ends_with_its_connection(
    monkeypatch, mode
):
    """Open connections live on, and new ones are refused or hang."""
    # In time, so that no answer is overdue.
    monkeypatch.setattr(fake_endpoint, 'ANSWER_DELAY_S', 0.3)

    async def test(fleet):
        crashing = crashing_parts.CrashingPart(fleet)
        cuts = endpoint_cuts.CutLoad(fleet, '/card/1')
        started_s = anyio.current_time()
        delay_closing_answers(fleet)
        parts = (crashing_parts.FIRST, *crashing_parts.OTHERS)
        async with anyio.create_task_group() as group:
            for _ in range(6):
                send = functools.partial(
                    crashing.send, parts, is_bad=False, node=fleet.nodes[0]
                )
                group.start_soon(send)
            await anyio.sleep(0.2)
            cuts.links[0].cut(mode)
        assert crashing.served_share(started_s) == 1
        await anyio.sleep(1)
        for node in fleet.nodes:
            assert not node.state.poison.evidence.suspects()

    fleet_harness.run(test, nodes=2, engines=0, plain=3)
