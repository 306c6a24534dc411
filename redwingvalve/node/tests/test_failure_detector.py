"""Slow heads stay in use; heads whose replicas lost a member don't."""

import time

import anyio
import attrs
import pytest

from redwingvalve.ingress import retry_budget, stall_detection
from redwingvalve.ingress import state as state_module
from redwingvalve.node import failure_detector

MANY_NODES = 59


@attrs.define(eq=False)
class Table:
    """Records which heads are suspected, cleared or announced as healthy."""

    suspects: list = attrs.field(factory=list)
    cleared: list = attrs.field(factory=list)
    announced: list = attrs.field(factory=list)

    def announce_healthy(self, head):
        self.announced.append(head)

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
class Prober:
    is_healthy: bool
    probes: int = 0
    asked_elsewhere: int = 0

    async def are_healthy(self, members):
        self.probes += 1
        return self.is_healthy

    async def are_healthy_by_any_node(self, members):
        self.asked_elsewhere += 1
        return await self.are_healthy(members)


@attrs.frozen
class Lease:
    has_holder: bool

    def has_known_holder(self):
        return self.has_holder


def make_detector(is_healthy, *, nodes=MANY_NODES, has_holder=True):
    budget_config = retry_budget.RetryBudgetConfig(0.2, 100, 10)
    table = Table()
    state = state_module.IngressState(table, budget_config)
    state.node_count = nodes
    return failure_detector.FailureDetector(
        state, table, Prober(is_healthy), Lease(has_holder)
    )


def check_streams(detector, times=1):
    """Check the streams and wait until all probes have ended."""

    async def main():
        async with anyio.create_task_group() as group:
            for _ in range(times):
                detector.check_streams(group)

    anyio.run(main)


def check_after_stall(detector, *, has_started):
    """Check a head from which no response has arrived for a long time."""
    stream = stall_detection.MonitoredStream(
        'head', sent_s=0.0, prompt_read_s=0, event_interval_s=0.05
    )
    detector.state.stall_detector.add(stream)
    if has_started:
        detector.state.stall_detector.record_event(stream, 0.0)
    check_streams(detector)


def test_a_full_head_of_a_large_fleet_stays_in_use():
    """Heads remain available to callers during a burst.

    One request of this node waits at a head that other nodes have filled. All
    members answer: the head is only slow. If it went out of use, its load would
    fill other heads.
    """
    detector = make_detector(is_healthy=True)
    check_after_stall(detector, has_started=False)
    assert detector.prober.probes == 1
    assert not detector.table.suspects


def test_one_node_probes_a_full_head_on_behalf_of_all():
    """Endpoints and nodes are not overloaded with probes during a burst.

    Fifty-nine nodes have a request each at the same slow head. The first node
    that probes it announces the result to the others; these probe it themselves
    only when that is some seconds ago.
    """
    first = make_detector(is_healthy=True)
    check_after_stall(first, has_started=False)
    assert first.table.announced == ['head']
    other = make_detector(is_healthy=True)
    other.note_reported_healthy('head', time.monotonic())
    check_after_stall(other, has_started=False)
    assert other.prober.probes == 0
    other.note_reported_healthy(
        'head', time.monotonic() - failure_detector.REPORTED_HEALTHY_HOLD_S
    )
    check_streams(other)
    assert other.prober.probes == 1


def test_a_stalled_stream_outweighs_a_report_that_the_head_is_healthy():
    detector = make_detector(is_healthy=False)
    detector.note_reported_healthy('head', time.monotonic())
    check_after_stall(detector, has_started=True)
    assert detector.table.suspects == ['head']


def test_a_head_whose_replica_lost_a_member_goes_out_of_use():
    detector = make_detector(is_healthy=False)
    check_after_stall(detector, has_started=False)
    assert detector.table.suspects == ['head']


def test_a_stalled_stream_takes_a_head_out_of_use_without_a_probe():
    """A stalled stream is resumed elsewhere within its allowed pause."""
    detector = make_detector(is_healthy=True)
    check_after_stall(detector, has_started=True)
    assert detector.prober.probes == 0
    assert detector.table.suspects == ['head']


def test_nodes_clear_their_own_suspicions_while_no_node_holds_the_lease():
    """Callers are still served during an outage of the store.

    No node can renew the lease, so that no controller checks replicas. A node
    took a slow head out of use; if it stayed so, heads would run out one by
    one.
    """
    detector = make_detector(is_healthy=True, has_holder=False)
    detector.table.suspects.append('head')

    check_streams(detector)
    assert detector.table.cleared == ['head']


def test_only_the_lease_holder_clears_suspicions_while_there_is_one():
    detector = make_detector(is_healthy=True, has_holder=True)
    detector.table.suspects.append('head')

    check_streams(detector)
    assert detector.prober.probes == 0


def test_a_broken_stream_of_a_healthy_head_does_not_take_it_out_of_use():
    """Heads remain available while the network loses two responses in five.

    A stream breaks off and is resumed elsewhere. All members of its head's
    replica answer, so that the next request may go there.
    """
    detector = make_detector(is_healthy=True, nodes=6)
    detector.request_check('head', 'broken stream')

    check_streams(detector, times=2)
    assert detector.prober.probes == 1
    assert not detector.table.suspects


def test_a_broken_stream_of_a_lost_head_takes_it_out_of_use():
    detector = make_detector(is_healthy=False, nodes=6)
    detector.request_check('head', 'broken stream')

    check_streams(detector)
    assert detector.table.suspects == ['head']


def test_findings_about_a_head_end_with_its_process():
    """The next process would be held back for what the previous one did."""
    detector = make_detector(is_healthy=True)
    detector.note_reported_healthy('head', time.monotonic())
    detector.state.stall_detector.mark_slow('head', time.monotonic())
    detector.request_check('head', 'broken stream')
    detector.forget('head')
    assert not detector.state.stall_detector.slow_heads(time.monotonic())
    check_streams(detector)
    assert detector.prober.probes == 0
    check_after_stall(detector, has_started=False)
    assert detector.prober.probes == 1


@pytest.mark.parametrize('is_healthy', [False, True])
def test_a_check_of_the_previous_process_says_nothing_of_the_next(is_healthy):
    """The members are probed while the head restarts."""
    detector = make_detector(is_healthy=is_healthy, has_holder=False)
    detector.table.suspects.append('other')
    probing = []

    class RestartingProber(Prober):
        async def are_healthy(self, members):
            probing.append(members)
            detector.forget('head')
            detector.forget('other')
            return is_healthy

    detector.prober = RestartingProber(is_healthy)
    detector.request_check('head', failure_detector.STALLED)
    check_streams(detector)
    assert len(probing) == 2
    assert detector.table.suspects == ['other']
    assert not (detector.table.announced or detector.table.cleared)


def test_streams_of_the_previous_process_move_and_suspect_nobody():
    """They get no further event, and the next process isn't to blame."""
    detector = make_detector(is_healthy=True)
    moved = []

    class Request(state_module.InFlightRequest):
        def head_stalled(self):
            moved.append(self)

    stream = stall_detection.MonitoredStream(
        'head', sent_s=0.0, prompt_read_s=0, event_interval_s=0.05
    )
    stalls = detector.state.stall_detector
    stalls.add(stream)
    stalls.record_event(stream, 0.0)
    detector.state.in_flight_requests['head'] = {Request()}
    detector.forget('head')
    check_streams(detector)
    assert len(moved) == 1 and not detector.table.suspects
    # Its end must not end the monitoring of the next process.
    later = attrs.evolve(stream)
    stalls.add(later)
    stalls.remove(stream)
    stalls.record_event(stream, time.monotonic())
    check_streams(detector)
    assert detector.table.suspects == ['head']


def test_few_suspicions_are_asked_about_at_other_nodes_in_one_check():
    """Without a holder, all nodes may suspect the same heads of a large fleet.

    If each asked eight others about each head, every node would get eight times
    as many probes as there are suspected heads.
    """
    detector = make_detector(is_healthy=False, has_holder=False)
    detector.table.suspects = [f'head-{number}' for number in range(30)]
    check_streams(detector, times=3)
    assert detector.prober.probes == 30
    assert (
        detector.prober.asked_elsewhere == failure_detector.MAX_ASKED_ELSEWHERE
    )


def test_other_nodes_are_not_asked_while_a_node_holds_the_lease():
    """The holder asks on behalf of all; a burst of stalls adds no probes."""
    detector = make_detector(is_healthy=False)
    detector.table.suspects = [f'head-{number}' for number in range(30)]
    check_after_stall(detector, has_started=False)
    assert detector.prober.asked_elsewhere == 0
