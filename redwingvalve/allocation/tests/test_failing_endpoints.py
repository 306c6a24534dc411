"""Plays load on a pool of which some endpoints fail, in virtual time."""

import random

import anyio
import attrs
import hypothesis
import looptime
import pytest
from hypothesis import strategies as st

from redwingvalve.allocation import allocator, messages
from redwingvalve.ingress import (
    load_balancing,
    reservations,
    retry_budget,
    wait_queue,
)
from redwingvalve.ingress.tests import budget_fleets

POOL = messages.Pool('engine', 'small', 'zone-1')
NEED = wait_queue.SlotRequest(1, 0.3, 2.0, may_probe=True)
RESUMED = attrs.evolve(NEED, is_resumed=True, may_probe=False)
NODES = 20
SLOTS = 10
SERVICE_S = 0.8
REQUESTS_PER_S = 60
# Nine tenths of what 13 endpoints serve.
HIGH_REQUESTS_PER_S = 146
FAULT_S = 2.0
END_S = 10.0
FAILURE = reservations.EndpointResult.FAILURE
SUCCESS = reservations.EndpointResult.SUCCESS
FREE = reservations.ReleaseState.FREE


@attrs.frozen
class Fault:
    """What failing endpoints do with their requests."""

    share: float
    after_s: float
    leaves: reservations.ReleaseState = FREE


FAULTS = {
    'errors': Fault(1.0, 0.003),
    'resets': Fault(1.0, 0.003, reservations.ReleaseState.UNCERTAIN),
    'busy': Fault(1.0, 0.003, reservations.ReleaseState.REFUSED),
    'hangs': Fault(1.0, 0.5, reservations.ReleaseState.UNCERTAIN),
    'answers lost at times': Fault(
        0.4, 0.8, reservations.ReleaseState.UNCERTAIN
    ),
    'errors at times': Fault(0.45, 0.003),
    'hangs at times': Fault(0.45, 0.5, reservations.ReleaseState.UNCERTAIN),
}


class Play:
    """Callers of one pool; each request is sent twice at most."""

    def __init__(
        self, fault, endpoints, failing, seed, requests_per_s=REQUESTS_PER_S
    ):
        self.fault = fault
        self.rng = random.Random(seed)
        names = [f'e{number}' for number in range(endpoints)]
        self.failing = set(names[:failing])
        targets = tuple(
            load_balancing.Target(name, 'h', 1, SLOTS, 'zone-1')
            for name in names
        )
        self.owner = allocator.Allocator(
            lambda pool: targets, anyio.current_time, self.rng
        )
        config = retry_budget.RetryBudgetConfig(0.2, 60, 10)
        self.budgets = [
            retry_budget.RetryBudget(config, budget_fleets.FixedFleet(NODES))
            for _ in range(NODES)
        ]
        self.requests_per_s = requests_per_s
        self.arrived_s = []
        self.failed_s = []
        self.sent_again_s = []
        self.number = 0

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self._tick)
            while anyio.current_time() < END_S:
                await anyio.sleep(self.rng.expovariate(self.requests_per_s))
                group.start_soon(self._request)
            await anyio.sleep(3)
            group.cancel_scope.cancel()
        return self

    def failures(self, from_s, to_s):
        """Return the failed share of the requests that arrived then."""
        arrived = sum(from_s <= at_s < to_s for at_s in self.arrived_s)
        return sum(from_s <= at_s < to_s for at_s in self.failed_s) / arrived

    async def _tick(self):
        while True:
            await anyio.sleep(0.1)
            self.owner.tick()

    async def _request(self):
        arrived_s = anyio.current_time()
        self.arrived_s.append(arrived_s)
        node = self.rng.randrange(NODES)
        self.budgets[node].record_request(arrived_s)
        tried = []
        while len(tried) < 2:
            if tried and not self.budgets[node].try_spend(anyio.current_time()):
                break
            if tried:
                self.sent_again_s.append(anyio.current_time())
            if await self._send(node, tried):
                return
        self.failed_s.append(arrived_s)

    async def _send(self, node, tried):
        sender = messages.Sender(f'vm-{node}', 1)
        self.number += 1
        number = self.number
        replies = []
        changed = anyio.Event()

        def receive(reply):
            replies.append(reply)
            if reply.outcome is not messages.Outcome.QUEUED:
                changed.set()

        need = RESUMED if tried else NEED
        self.owner.ask(
            sender,
            messages.Ask(number, POOL, True, need, tuple(tried)),
            receive,
        )
        await changed.wait()
        endpoint_id = replies[-1].endpoint_id
        if not endpoint_id:
            tried.extend(('', ''))
            return False
        tried.append(endpoint_id)
        return await self._serve(endpoint_id, sender, number)

    async def _serve(self, endpoint_id, sender, number):
        fault = self.fault
        fails = (
            anyio.current_time() >= FAULT_S
            and endpoint_id in self.failing
            and self.rng.random() < fault.share
        )
        await anyio.sleep(
            fault.after_s if fails else self.rng.gammavariate(4, SERVICE_S / 4)
        )
        leaving, result = (fault.leaves, FAILURE) if fails else (FREE, SUCCESS)
        self.owner.release(sender, messages.Release(number, leaving, result))
        return not fails


def play(form, endpoints, failing, seed, **more):
    return anyio.run(
        Play(FAULTS[form], endpoints, failing, seed, **more).run,
        backend_options={'loop_factory': looptime.new_event_loop},
    )


@hypothesis.settings(
    max_examples=20,
    # Shrinking a play takes minutes and explains nothing.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
@hypothesis.given(
    form=st.sampled_from(sorted(FAULTS)),
    failing=st.integers(1, 4),
    seed=st.integers(0, 1000),
)
def test_some_failing_endpoints_fail_hardly_any_request(form, failing, seed):
    """Endpoints that fail at once must not attract the load of the others."""
    endpoints = 13
    played = play(form, endpoints, failing, seed)
    assert played.failures(FAULT_S, FAULT_S + 1.0) <= failing / endpoints
    assert played.failures(FAULT_S + 1.5, END_S) < 0.01


@pytest.mark.parametrize('form', sorted(FAULTS))
def test_a_fault_of_all_endpoints_stays_within_the_retry_budget(form):
    """Ejections and probes add no requests to a service that is down."""
    played = play(form, 13, 13, seed=1)
    sent_again = sum(at_s >= FAULT_S for at_s in played.sent_again_s)
    arrived = len(played.arrived_s)
    assert sent_again <= 0.2 * arrived + 60


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_slots_of_endpoints_that_lose_some_answers_are_still_used(seed):
    """Eight of 13 endpoints lose 40% of their answers under a high load.

    Without their slots, most requests would wait too long and be refused. An
    attempt fails with a quarter, both with a sixteenth; retries are limited.
    """
    played = play(
        'answers lost at times',
        13,
        8,
        seed,
        requests_per_s=HIGH_REQUESTS_PER_S,
    )
    assert played.failures(FAULT_S, END_S) < 0.25
