"""What is remembered of cold endpoints and accounts when endpoints restart."""

import anyio
import pytest

from redwingvalve.allocation import (
    allocator,
    cold_endpoints,
    cold_reporter,
    cold_starts,
    endpoint_reports,
    messages,
)
from redwingvalve.allocation.tests import cold_simulation
from redwingvalve.fleet import endpoints, incarnation_tracker
from redwingvalve.ingress import load_balancing, wait_queue

POOL = messages.Pool(cold_simulation.SERVICE.name, '', '')
NODE = messages.Sender('vm-1', 1)
OLD_MS = 1000
NEW_MS = 2000
# The start of the next process is earlier if a clock was set back.
STARTS = [(OLD_MS, NEW_MS), (NEW_MS, OLD_MS), (0, 0), (0, NEW_MS)]
SLOTS = 50


def target(born_ms):
    return load_balancing.Target('e', 'h', 1, SLOTS, 'dc-0', born_ms=born_ms)


class Owner:
    """An allocator whose cold endpoint e restarts."""

    def __init__(self, born_ms=OLD_MS):
        self.now_s = 100.0
        self.born_ms = born_ms
        self.tracker = incarnation_tracker.IncarnationTracker(
            lambda: self.now_s
        )
        self.endpoints = cold_endpoints.ColdEndpoints(lambda: self.now_s)
        self.endpoints.configure([cold_simulation.SERVICE])
        self.allocator = allocator.Allocator(
            lambda pool: (target(self.born_ms),),
            lambda: self.now_s,
            cold=cold_starts.ColdStarts(self.endpoints),
            is_past=self.tracker.is_past,
        )
        self.list_entry(born_ms)

    def list_entry(self, born_ms, cold_left_ms=0):
        self.born_ms = born_ms
        if (
            self.tracker.observe('e', born_ms, 5)
            is incarnation_tracker.Observation.NEW
        ):
            self.allocator.forget('e', born_ms)
        entry = endpoints.Endpoint(
            'e',
            born_ms,
            cold_simulation.SERVICE.name,
            'h',
            1,
            'dc-0',
            SLOTS,
            False,
            cold_left_ms=cold_left_ms,
        )
        self.endpoints.update([entry])

    def restart(self, born_ms=NEW_MS, cold_left_ms=0):
        self.now_s += 1.1 * incarnation_tracker.SILENT_S
        if not born_ms:
            self.tracker.observe('e', 0, 9)
        self.list_entry(born_ms, cold_left_ms)

    def report(self, **report):
        self.allocator.record_report(
            NODE, endpoint_reports.EndpointReport(**report)
        )

    def mark(self, born_ms, left_s=20.0):
        self.report(cold=(endpoint_reports.ColdMark('e', born_ms, left_s),))

    def start(self, born_ms, count):
        starts = [
            endpoint_reports.Start('e', number, 0, endpoint_born_ms=born_ms)
            for number in range(count)
        ]
        self.report(starts=tuple(starts))


@pytest.mark.parametrize(('old_ms', 'new_ms'), STARTS)
def test_a_cold_mark_ends_with_its_process(old_ms, new_ms):
    owner = Owner(old_ms)
    owner.mark(old_ms)
    assert owner.endpoints.is_cold('e')
    owner.restart(new_ms)
    assert not owner.endpoints.is_cold('e')


@pytest.mark.parametrize(('old_ms', 'new_ms'), STARTS)
def test_the_next_process_is_cold_if_its_entry_says_the_same(old_ms, new_ms):
    """Its entry may state the time that the previous one stated."""
    owner = Owner(old_ms)
    owner.list_entry(old_ms, cold_left_ms=2000)
    owner.restart(new_ms, cold_left_ms=2000)
    assert owner.endpoints.left_s('e') == 2


@pytest.mark.parametrize(
    ('old_ms', 'new_ms'), [(OLD_MS, NEW_MS), (NEW_MS, OLD_MS)]
)
def test_a_late_cold_mark_of_the_previous_process_is_ignored(old_ms, new_ms):
    """Nodes repeat it for three seconds."""
    owner = Owner(old_ms)
    owner.restart(new_ms)
    owner.mark(old_ms)
    assert not owner.endpoints.is_cold('e')
    owner.mark(new_ms)
    assert owner.endpoints.is_cold('e')


def test_a_cold_mark_of_the_next_process_is_kept_when_its_entry_arrives():
    owner = Owner()
    owner.mark(NEW_MS)
    owner.mark(OLD_MS, left_s=1.0)
    owner.list_entry(NEW_MS)
    assert owner.endpoints.left_s('e') == 20


def test_starts_before_the_entry_of_the_next_process_still_count():
    """They may have reached it: its entry comes a second after its start."""
    owner = Owner()
    per_s = int(cold_simulation.SERVICE.cold_per_s)
    owner.start(OLD_MS, per_s)
    owner.list_entry(NEW_MS, cold_left_ms=2000)
    assert owner.allocator.cold.wait_s('e', owner.now_s) > 0


def test_a_late_report_of_starts_counts_for_cold_endpoints_only():
    owner = Owner()
    owner.list_entry(NEW_MS, cold_left_ms=2000)
    limit = endpoint_reports.StatedLimit('e', 5, 0.2, 0.1, NEW_MS)
    owner.report(limits=(limit,))
    per_s = int(cold_simulation.SERVICE.cold_per_s)
    owner.start(OLD_MS, per_s)
    assert owner.allocator.cold.wait_s('e', owner.now_s) > 0
    assert not owner.allocator.limits.wait_s('e', owner.now_s)


def test_forwarded_starts_name_the_process():
    owner = Owner()
    sent = []
    forwarder = owner.allocator.forwarder
    forwarder.others = lambda pool: ['vm-2']
    forwarder.send = lambda vm, message: sent.append(message)
    owner.mark(OLD_MS)
    ask = messages.Ask(1, POOL, False, wait_queue.SlotRequest(1, 0.2, 1.0))

    async def test():
        owner.allocator.ask(NODE, ask, lambda reply: None)

    anyio.run(test)
    (start,) = sent[0].starts
    assert start.endpoint_born_ms == OLD_MS


def test_accounts_hold_no_slots_of_the_previous_process():
    """They would wait behind others for what they no longer use."""
    owner = Owner()
    changes = []
    pool = owner.allocator.pool(POOL)
    pool.holds.on_change = lambda *change: changes.append(change)
    holdings = messages.Holdings(
        POOL, {1: 'e', 2: 'e'}, {1: 'a', 2: 'b'}, {1: OLD_MS, 2: NEW_MS}
    )
    owner.allocator.holdings(NODE, holdings)
    owner.list_entry(NEW_MS)
    assert changes == [('a', 1), ('b', 1), ('a', -1)]
    owner.allocator.holdings(NODE, holdings)
    assert len(changes) == 3


class Owners:
    def ranked_for(self, pool):
        return ['vm-2']


class Transport:
    def __init__(self):
        self.sent = []

    def send(self, vm, message):
        self.sent.append(message)


def test_a_node_tells_that_the_next_process_is_cold():
    """It tells once of each endpoint, and repeats what it told."""
    owner = Owner()
    transport = Transport()
    reporter = cold_reporter.ColdReporter(
        owner.allocator.cold, Owners(), transport, lambda: owner.now_s
    )
    for born_ms in (OLD_MS, NEW_MS):
        owner.list_entry(born_ms)
        reporter.forget('e', born_ms)
        reporter.record_cold(
            POOL, target(born_ms), 2.0, is_known_to_owner=False
        )
    reporter.forget('e', NEW_MS)
    told = [mark.born_ms for report in transport.sent for mark in report.cold]
    assert told == [OLD_MS, NEW_MS]
    reporter.report([POOL])
    assert transport.sent[-1].cold[0].born_ms == NEW_MS
