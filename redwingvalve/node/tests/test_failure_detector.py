"""Heads that are slow stay in use; heads that lost a member don't."""

import time

import anyio
import attrs

from redwingvalve.ingress import retry_budget, stall_detection
from redwingvalve.ingress import state as state_module
from redwingvalve.node import failure_detector

MANY_NODES = 59


@attrs.define(eq=False)
class Table:
    """Knows one head; notes what is taken out of use or cleared."""

    suspects: list = attrs.field(factory=list)
    cleared: list = attrs.field(factory=list)
    told: list = attrs.field(factory=list)

    def announce_healthy(self, head):
        self.told.append(head)

    def replica_of(self, head):
        return Replica()

    def suspect(self, head, reason):
        self.suspects.append(head)

    def local_suspicions(self):
        return [Suspicion(head) for head in self.suspects]

    def mark_healthy(self, head):
        self.cleared.append(head)


@attrs.frozen
class Replica:
    members: tuple = ('head', 'member')


@attrs.frozen
class Suspicion:
    endpoint_id: str


@attrs.define(eq=False)
class EndpointProber:
    is_whole: bool
    asked: int = 0

    async def are_healthy(self, members):
        self.asked += 1
        return self.is_whole


@attrs.frozen
class Lease:
    has_holder: bool

    def has_known_holder(self):
        return self.has_holder


def watch(is_whole, *, nodes=MANY_NODES, has_holder=True):
    allowance = retry_budget.RetryBudgetConfig(0.2, 100, 10)
    table = Table()
    state = state_module.IngressState(table, allowance)
    state.node_count = nodes
    return failure_detector.FailureDetector(
        state, table, EndpointProber(is_whole), Lease(has_holder)
    )


def look(made, times=1):
    """Look, and let all questions be answered."""

    async def main():
        async with anyio.create_task_group() as group:
            for _ in range(times):
                made.look(group)

    anyio.run(main)


def look_after_silence(made, *, has_started):
    """Look at a head from which nothing has come for a long time."""
    pulse = stall_detection.MonitoredStream(
        'head', sent_s=0.0, prompt_read_s=0, event_interval_s=0.05
    )
    made.state.stall_detector.add(pulse)
    if has_started:
        made.state.stall_detector.record_event(pulse, 0.0)
    look(made)


def test_a_full_head_of_a_large_fleet_stays_in_use():
    """Callers find heads during a burst.

    One request of this node waits at a head that other nodes have filled. All
    members answer: the head is slow. Taken out of use, it would fill others.
    """
    made = watch(is_whole=True)
    look_after_silence(made, has_started=False)
    assert made.prober.asked == 1
    assert not made.table.suspects


def test_a_full_head_is_asked_about_by_one_node_for_all():
    """Endpoints and nodes are not busy with questions during a burst.

    Fifty-nine nodes have a request each at the same slow head. The first that
    asks tells the others; they ask themselves once that is some seconds ago.
    """
    first = watch(is_whole=True)
    look_after_silence(first, has_started=False)
    assert first.table.told == ['head']
    other = watch(is_whole=True)
    other.told_sound('head', time.monotonic())
    look_after_silence(other, has_started=False)
    assert other.prober.asked == 0
    other.told_sound('head', time.monotonic() - failure_detector.TOLD_SOUND_S)
    look(other)
    assert other.prober.asked == 1


def test_streams_that_stop_count_whatever_was_told():
    made = watch(is_whole=False)
    made.told_sound('head', time.monotonic())
    look_after_silence(made, has_started=True)
    assert made.table.suspects == ['head']


def test_a_head_without_a_member_goes_out_of_use():
    made = watch(is_whole=False)
    look_after_silence(made, has_started=False)
    assert made.table.suspects == ['head']


def test_streams_that_stop_need_no_question():
    """A broken stream goes on elsewhere within its allowed pause."""
    made = watch(is_whole=True)
    look_after_silence(made, has_started=True)
    assert made.prober.asked == 0
    assert made.table.suspects == ['head']


def test_without_a_holder_of_the_lease_nodes_clear_their_own_suspicions():
    """Callers are served on through an outage of the store.

    Nobody can renew the lease, so that no controller inspects anything. A
    node took a slow head out of use; left so, heads run out one by one.
    """
    made = watch(is_whole=True, has_holder=False)
    made.table.suspects.append('head')

    look(made)
    assert made.table.cleared == ['head']


def test_a_holder_clears_suspicions_alone():
    made = watch(is_whole=True, has_holder=True)
    made.table.suspects.append('head')

    look(made)
    assert made.prober.asked == 0


def test_a_lost_answer_takes_no_head_out_of_use():
    """Callers find heads while the network loses two answers in five.

    A stream breaks off and goes on elsewhere. The members of its head all
    answer, so that the next request may go there.
    """
    made = watch(is_whole=True, nodes=6)
    made.doubt('head', 'broken stream')

    look(made, times=2)
    assert made.prober.asked == 1
    assert not made.table.suspects


def test_a_head_that_broke_a_stream_and_is_lost_goes_out_of_use():
    made = watch(is_whole=False, nodes=6)
    made.doubt('head', 'broken stream')

    look(made)
    assert made.table.suspects == ['head']
