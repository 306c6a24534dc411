"""What owners and nodes remember of endpoints that restart."""

import math
import random

import anyio
import pytest

from redwingvalve.allocation import (
    allocator,
    cold_starts,
    endpoint_reports,
    held_slots,
    messages,
)
from redwingvalve.fleet import incarnation_tracker
from redwingvalve.ingress import load_balancing, reservations, wait_queue
from redwingvalve.platform import endpoint_statements

POOL = messages.Pool('plain', '', '')
NEED = wait_queue.SlotRequest(1, 0.2, 1.0, may_probe=True)
NODE = messages.Sender('vm-1', 1)
OLD_MS = 1000
NEW_MS = 2000
SLOTS = 2
FAILURE = reservations.EndpointResult.FAILURE
FREE = reservations.ReleaseState.FREE
STARTS = [(OLD_MS, NEW_MS), (0, 0), (0, NEW_MS)]


def target(name, born_ms):
    return load_balancing.Target(name, 'h', 1, SLOTS, 'zone-1', born_ms=born_ms)


class Owner:
    """An allocator whose endpoint e0 restarts."""

    def __init__(self, born_ms=OLD_MS):
        self.now_s = 1.0
        self.tracker = incarnation_tracker.IncarnationTracker(
            lambda: self.now_s
        )
        self.tracker.observe('e0', born_ms, 5)
        self.targets = [target(f'e{number}', born_ms) for number in range(4)]
        self.marked = []
        self.allocator = allocator.Allocator(
            lambda pool: tuple(self.targets),
            lambda: self.now_s,
            random.Random(1),
            mark_leaving=lambda *mark: self.marked.append(mark),
            is_past=self.tracker.is_past,
        )
        self.pool = self.allocator.pool(POOL)

    def restart(self, born_ms=NEW_MS):
        self.tracker.observe('e0', born_ms, 0)
        self.allocator.forget('e0', born_ms)
        self.targets[0] = target('e0', born_ms)
        self.allocator.tick()

    def ask(self, number, avoid=('e1', 'e2', 'e3')):
        replies = []
        request = messages.Ask(number, POOL, False, NEED, avoid)
        self.allocator.ask(NODE, request, replies.append)
        return replies[-1]

    def free(self):
        return self.pool.endpoint_slots.free_at(self.targets[0])

    def report(self, **report):
        self.allocator.record_report(
            NODE, endpoint_reports.EndpointReport(**report)
        )

    def limit(self, born_ms, per_s=0.1):
        stated = endpoint_reports.StatedLimit('e0', per_s, 0.2, 0.1, born_ms)
        start = endpoint_reports.Start('e0', 99, 0.1, endpoint_born_ms=born_ms)
        self.report(limits=(stated,), starts=(start,))


@pytest.mark.parametrize(('old_ms', 'new_ms'), STARTS)
def test_slots_of_the_previous_process_are_free(old_ms, new_ms):
    """Its requests ended with it; their slots would stay unused for 2 s."""

    async def test():
        owner = Owner(old_ms)
        for number in range(SLOTS):
            assert owner.ask(number).outcome is messages.Outcome.GRANTED
        owner.pool.endpoint_slots.mark_refused('e0')
        owner.pool.endpoint_slots.mark_slow(['e0'])
        owner.pool.endpoint_slots.mark_uncertain('e0')
        assert not owner.free()
        owner.restart(new_ms)
        assert owner.free() == SLOTS
        assert not owner.pool.endpoint_slots.is_slow('e0')

    anyio.run(test)


def test_a_late_report_of_slots_of_the_previous_process_is_ignored():
    """A node that doesn't know yet repeats it every half second."""
    owner = Owner()
    owner.restart()
    holdings = messages.Holdings(
        POOL, {1: 'e0', 2: 'e0', 3: 'e0'}, born_ms={1: OLD_MS, 2: NEW_MS}
    )
    owner.allocator.holdings(NODE, holdings)
    # The third might be of either process.
    assert owner.free() == SLOTS - 2


def test_slots_of_the_next_process_stay_held_when_its_entry_arrives():
    owner = Owner()
    owner.allocator.holdings(
        NODE, messages.Holdings(POOL, {1: 'e0', 2: 'e0'}, born_ms={1: NEW_MS})
    )
    owner.restart()
    assert owner.free() == SLOTS - 1


@pytest.mark.parametrize(('old_ms', 'new_ms'), STARTS)
def test_a_limit_ends_with_its_process(old_ms, new_ms):
    owner = Owner(old_ms)
    owner.limit(old_ms)
    assert not owner.free()
    owner.restart(new_ms)
    assert owner.free() == SLOTS
    assert math.isinf(owner.allocator.limits.requests_per_s('e0'))


def test_a_late_limit_of_the_previous_process_is_ignored():
    """Nodes repeat what it stated for ten seconds."""
    owner = Owner()
    owner.restart()
    owner.limit(OLD_MS)
    assert owner.free() == SLOTS
    owner.limit(NEW_MS)
    assert not owner.free()


def test_a_limit_of_the_next_process_is_kept_when_its_entry_arrives():
    """Also if a statement of the previous one arrives in between."""
    owner = Owner()
    owner.limit(NEW_MS)
    owner.now_s += 1
    owner.limit(OLD_MS, per_s=50)
    owner.restart()
    assert not owner.free()


def test_an_ejection_ends_with_its_process():
    async def test():
        owner = Owner()
        owner.allocator.tick()
        for number in range(2):
            owner.ask(number)
            release = messages.Release(number, FREE, FAILURE)
            owner.allocator.release(NODE, release)
        owner.ask(7)
        assert owner.pool._outliers.is_ejected('e0')
        owner.restart()
        assert not owner.pool._outliers.is_ejected('e0')
        # The request of the previous process fails now.
        owner.allocator.release(NODE, messages.Release(7, FREE, FAILURE))
        assert not owner.pool._outliers.penalty('e0')

    anyio.run(test)


def test_leaving_marks_carry_the_start_of_the_process():
    owner = Owner()
    owner.report(leaving=('e0', 'e1'), leaving_born_ms=(OLD_MS,))
    assert owner.marked == [('e0', OLD_MS), ('e1', 0)]


class Targets:
    def __init__(self):
        self.marked = []

    def find_targets(self, service, model):
        return (target('e0', OLD_MS),)

    def mark_leaving(self, *mark):
        self.marked.append(mark)


class Owners:
    def ranked_for(self, pool):
        return ['vm-2']


class Transport:
    def __init__(self):
        self.sent = []

    def send(self, vm, message):
        self.sent.append(message)


@pytest.fixture
def held():
    return held_slots.make_held_slots(
        Owners(),
        Transport(),
        load_balancing.EndpointLoads(),
        Targets(),
        lambda: 1.0,
        cold_starts.make_unlimited(),
    )


def hold(slots, number, born_ms):
    grant = held_slots.Grant(number, POOL, 'vm-2', 'e0', is_rate_limited=True)
    return slots.hold(grant, target('e0', born_ms))


STATEMENT = endpoint_statements.Statement(
    requests_per_s=1.0, rest_s=5.0, is_leaving=True
)


@pytest.mark.parametrize(('old_ms', 'new_ms'), STARTS)
def test_a_node_forgets_what_the_previous_process_stated(held, old_ms, new_ms):
    reservation = hold(held, 1, old_ms)
    reservation.record_statement(STATEMENT)
    assert held.rests.left_s('e0') and held.endpoint_reporter.limited()
    held.forget('e0', new_ms)
    # Another answer of the previous process arrives late.
    reservation.record_statement(STATEMENT)
    held.transport.sent.clear()
    held.report_before_ask(POOL, 'vm-3')
    assert not held.rests.left_s('e0')
    assert not held.endpoint_reporter.limited()
    assert not held.transport.sent


def test_a_node_releases_the_slots_of_the_previous_process(held):
    """Its connection may stay silent for seconds after a loss of power."""
    past = hold(held, 1, OLD_MS)
    hold(held, 2, NEW_MS)
    held.forget('e0', NEW_MS)
    assert held.transport.sent == [messages.Release(1)]
    assert held.loads.by_endpoint == {'e0': 1}
    past.release(FREE, FAILURE)
    assert held.loads.by_endpoint == {'e0': 1}
    held.report()
    assert held.transport.sent[-1] == messages.Holdings(
        POOL, {2: 'e0'}, born_ms={2: NEW_MS}
    )


def test_a_node_states_which_process_leaves_or_is_limited(held):
    hold(held, 1, OLD_MS).record_statement(STATEMENT)
    limit, leaving = held.transport.sent[:2]
    assert [one.born_ms for one in limit.limits] == [OLD_MS]
    assert [one.endpoint_born_ms for one in limit.starts] == [OLD_MS]
    assert leaving.leaving_born_ms == (OLD_MS,)
    assert held.endpoint_reporter.targets.marked == [('e0', OLD_MS)]
