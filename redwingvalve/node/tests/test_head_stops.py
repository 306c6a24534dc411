"""What counts as the end of a head that the lease holder doesn't reach."""

import math
import time

import anyio
import attrs
import pytest

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints, head_evidence
from redwingvalve.fleet import registry as registry_module
from redwingvalve.node import endpoint_prober, head_stops, indirect_probes
from redwingvalve.node.tests import members
from redwingvalve.platform import endpoint_orders

HEAD = members.make_member('e1', 1, 0, endpoints.MemberState.OPEN)
OPEN = endpoint_orders.Report(1, HEAD.membership, ())
ENDED = endpoint_orders.Report(2, None, ())
READY = endpoint_orders.Report(
    1, attrs.evolve(HEAD.membership, state=endpoints.MemberState.READY), ()
)
BROKEN = endpoint_orders.Report(
    1, attrs.evolve(HEAD.membership, state=endpoints.MemberState.BROKEN), ()
)
UNREACHED = head_evidence.Evidence.UNREACHED
STATED = head_evidence.Evidence.STATED
# Several probes of a lost head.
PATIENCE_S = 2.5


class CutOffClient:
    """Reaches no endpoint."""

    async def report(self, endpoint):
        await anyio.sleep(endpoint_orders.REPORT_TIMEOUT_S)

    async def await_report(self, endpoint, timeout_s):
        await anyio.sleep(timeout_s)

    async def close(self, head, replica, epoch, is_graceful):
        return endpoint_orders.OrderResult.UNREACHED

    async def leave(self, endpoint, replica, epoch):
        return endpoint_orders.OrderResult.UNREACHED


@attrs.define(eq=False)
class OtherNodes(indirect_probes.IndirectProber):
    """Get these reports in turn, and the last one from then on."""

    reports: list

    async def ask(self, endpoint, since_s=0):
        is_last = len(self.reports) == 1
        return self.reports[0] if is_last else self.reports.pop(0)

    async def run(self):
        """Nobody asks."""


async def stop_lost(stops):
    return await stops.stop_head(HEAD, None)


async def stop_missing(stops):
    return await stops.stop_missing_head(HEAD, clock.boot_s())


async def make_leave(stops):
    return await stops.make_head_leave(HEAD)


STOPS = [stop_lost, stop_missing, make_leave]


def stop(how, reports):
    """Return the evidence, and 'waits' if there is none for a while."""
    client = CutOffClient()
    others = OtherNodes(reports) if isinstance(reports, list) else reports
    stops = head_stops.HeadStops(
        client,
        endpoint_prober.EndpointProber(client, others=others),
        registry_module.Registry(),
        lambda: True,
    )

    async def main():
        with anyio.move_on_after(PATIENCE_S):
            return await how(stops)
        return 'waits'

    return anyio.run(main)


@pytest.mark.parametrize('how', STOPS)
def test_a_head_without_an_entry_that_no_node_reaches_counts_as_unreached(how):
    """A dark crash is repaired; the evidence is no proof."""
    found = stop(how, [None])
    assert found is UNREACHED
    assert not head_evidence.is_proof(found)


@pytest.mark.parametrize('how', [stop_lost, stop_missing])
def test_a_head_that_another_node_finds_open_keeps_its_members(how):
    """A replica isn't taken apart because the holder alone lost its head."""
    assert stop(how, [OPEN]) == 'waits'


def test_a_head_that_another_node_finds_open_isn_t_told_to_leave():
    """An order to open was executed that the holder has no answer of."""
    assert stop(make_leave, [OPEN]) is None


@pytest.mark.parametrize('how', STOPS)
def test_what_a_head_tells_another_node_counts_as_its_own_word(how):
    """A head that was restarted is replaced without delay."""
    assert stop(how, [ENDED]) is STATED


@pytest.mark.parametrize('how', STOPS)
def test_a_head_that_says_to_others_that_it_is_ready_may_have_opened(how):
    """Its members joined elsewhere on a word from before its opening (TWO)."""
    assert stop(how, [READY]) in {'waits', head_evidence.Evidence.CLAIMED}


@pytest.mark.parametrize('report', [BROKEN, ENDED])
def test_a_lost_head_has_stopped_once_it_says_so_to_another_node(report):
    """Members of a replica that broke don't wait for the holder's path."""
    assert stop(stop_lost, [OPEN, OPEN, report]) is STATED


def test_a_veto_ends_when_no_node_reaches_the_head_any_more():
    """A head that dies after another node reached it is repaired."""
    assert stop(stop_lost, [OPEN, OPEN, None]) is UNREACHED


@attrs.define(eq=False)
class HeldOutcome(indirect_probes.IndirectProber):
    """Was told that the head is ready; has opened since."""

    held_s: float = attrs.field(factory=time.monotonic)

    async def ask(self, endpoint, since_s=-math.inf):
        return READY if since_s <= self.held_s else OPEN

    async def run(self):
        """Nobody asks."""


@pytest.mark.parametrize('how', STOPS)
def test_a_report_from_before_the_question_stops_no_head(how):
    """Members left a head that had opened 0.16 s before (TWO)."""
    assert stop(how, HeldOutcome()) in {'waits', None}


CLOSING = endpoint_orders.Report(
    1, attrs.evolve(HEAD.membership, state=endpoints.MemberState.CLOSING), ()
)


@attrs.define(eq=False)
class OrderedHead(CutOffClient):
    """Executes orders at once."""

    orders: list = attrs.field(factory=list)

    async def report(self, endpoint):
        return READY if self.orders else CLOSING

    async def close(self, head, replica, epoch, is_graceful):
        self.orders.append('queue' if is_graceful else 'sever')
        return endpoint_orders.OrderResult.ACCEPTED

    async def leave(self, endpoint, replica, epoch):
        self.orders.append('leave')
        return endpoint_orders.OrderResult.ACCEPTED


@pytest.mark.parametrize(
    ('report', 'orders'),
    [(OPEN, ['sever', 'leave']), (CLOSING, ['leave'])],
)
def test_a_head_that_closes_is_not_closed_at_once(report, orders):
    """It was ready then, as if it had finished what it had cut off (ORDER)."""
    client = OrderedHead()
    stops = head_stops.HeadStops(
        client,
        endpoint_prober.EndpointProber(client, others=OtherNodes([READY])),
        registry_module.Registry(),
        lambda: True,
    )
    found = anyio.run(stops.stop_head, HEAD, report)
    assert found is head_evidence.Evidence.LEFT
    assert client.orders == orders


def test_a_head_that_was_told_to_finish_is_not_closed_at_once():
    """Its report is older than the order, and says that it is open."""
    client = OrderedHead()
    stops = head_stops.HeadStops(
        client,
        endpoint_prober.EndpointProber(client, others=OtherNodes([READY])),
        registry_module.Registry(),
        lambda: True,
    )

    async def main():
        await stops.drain(HEAD, clock.boot_s())
        await stops.stop_head(HEAD, OPEN)

    anyio.run(main)
    assert client.orders == ['queue', 'leave', 'leave']
