"""Probes of endpoints that may have crashed under a request."""

import asyncio
import time

import anyio
import pytest

from redwingvalve.fleet import registry
from redwingvalve.ingress import (
    crash_blame,
    poison,
)
from redwingvalve.node import crash_checks
from redwingvalve.node.tests import members
from redwingvalve.platform import endpoint_orders

# Longer than an endpoint may take to answer a probe.
PAUSE_S = 0.25
ALIVE, ENDED, NOT_LISTENING, UNKNOWN = endpoint_orders.Liveness


class Endpoints:
    """Answers each probe with the same liveness, and counts the probes."""

    def __init__(self, liveness):
        self.liveness = liveness
        self.probes = 0
        # The whole process stands still amid the next probes, which time out.
        self.pause_s = 0

    async def check_process(self, endpoint):
        self.probes += 1
        began_s = time.monotonic()
        await anyio.sleep(0.01)
        self.pause()
        lasted_s = time.monotonic() - began_s
        is_late = lasted_s > endpoint_orders.REPORT_TIMEOUT_S
        return UNKNOWN if is_late else self.liveness

    def pause(self):
        pause_s, self.pause_s = self.pause_s, 0
        time.sleep(pause_s)


def run_checks(liveness, test):
    async def main():
        tracker = poison.PoisonRequestTracker()
        known = registry.Registry()
        for number in range(3):
            member = members.make_member(f'e{number}', number, 0, None)
            known.live[member.endpoint_id] = member
        client = Endpoints(liveness)
        checker = crash_checks.CrashChecker(tracker, known, client)
        async with anyio.create_task_group() as group:
            group.start_soon(checker.run)
            await test(tracker, client)
            group.cancel_scope.cancel()

    asyncio.run(main())


def break_off(tracker, count=3):
    for number in range(count):
        tracker.record_broken_run(7, (f'e{number}', 1))


async def wait_for(tracker, verdict, timeout_s=1.0):
    deadline_s = time.monotonic() + timeout_s
    while tracker.verdict(7) is not verdict:
        assert time.monotonic() < deadline_s
        await anyio.sleep(0.005)


def test_request_is_served_once_its_endpoints_answer_a_probe():
    """Their answers were lost."""

    async def test(tracker, client):
        break_off(tracker)
        assert tracker.verdict(7) is crash_blame.Verdict.HOLD
        await wait_for(tracker, crash_blame.Verdict.SERVE, 0.3)

    run_checks(ALIVE, test)


def test_request_is_served_soon_after_seconds_of_lost_answers():
    """Probes that were answered before the last loss don't delay the next."""

    async def test(tracker, client):
        # Remains undecided, as long as the others are asked.
        tracker.record_broken_run(9, ('gone', 1))
        for _ in range(60):
            break_off(tracker)
            await anyio.sleep(0.05)
        await wait_for(tracker, crash_blame.Verdict.SERVE, 0.3)

    run_checks(ALIVE, test)


def test_request_is_refused_if_other_processes_have_the_addresses():
    async def test(tracker, client):
        break_off(tracker)
        await wait_for(tracker, crash_blame.Verdict.REFUSE, 0.3)

    run_checks(ENDED, test)


def test_unreachable_endpoints_are_asked_ever_less_often():
    async def test(tracker, client):
        break_off(tracker)
        await anyio.sleep(2.2)
        assert tracker.verdict(7) is crash_blame.Verdict.HOLD
        assert client.probes <= 3 * 3

    run_checks(UNKNOWN, test)


def test_a_pause_of_the_node_is_no_silence_of_its_endpoints():
    """They had answered: requests would be held back again by a busy node."""

    async def test(tracker, client):
        break_off(tracker)
        await wait_for(tracker, crash_blame.Verdict.SERVE, 0.3)
        for number in range(3):
            client.pause_s = PAUSE_S
            while client.pause_s:
                await anyio.sleep(0.005)
            await anyio.sleep(0.02)
            assert tracker.verdict(7) is crash_blame.Verdict.SERVE, number

    run_checks(ALIVE, test)


@pytest.mark.parametrize('pauses', [1, 3])
def test_endpoints_are_asked_again_soon_after_a_pause_of_the_node(pauses):
    """A busy node would hold a sound request back for seconds."""

    async def test(tracker, client):
        break_off(tracker)
        for _ in range(pauses):
            client.pause_s = PAUSE_S
            while client.pause_s:
                await anyio.sleep(0.005)
        await wait_for(tracker, crash_blame.Verdict.SERVE, 0.3)

    run_checks(ALIVE, test)


def test_request_is_held_back_again_once_its_endpoints_are_silent():
    """Without a pause of the node, their silence counts at once."""

    async def test(tracker, client):
        break_off(tracker)
        await wait_for(tracker, crash_blame.Verdict.SERVE, 0.3)
        client.liveness = UNKNOWN
        await wait_for(tracker, crash_blame.Verdict.HOLD)

    run_checks(ALIVE, test)


def test_a_single_lost_answer_of_a_busy_endpoint_causes_no_probe():
    """It answers other requests in the meantime."""

    async def test(tracker, client):
        for _ in range(10):
            break_off(tracker, count=1)
            await anyio.sleep(0.05)
            tracker.record_life_sign(('e0', 1), time.monotonic())
            await anyio.sleep(0.05)
        await anyio.sleep(1)
        assert not client.probes

    run_checks(UNKNOWN, test)
