"""Which words of a head count as the end of its service."""

import time

import anyio
import attrs
import pytest

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints, head_evidence
from redwingvalve.fleet import registry as registry_module
from redwingvalve.node import endpoint_prober, head_statements, head_stops
from redwingvalve.node.tests import members
from redwingvalve.platform import endpoint_orders

State = endpoints.MemberState
HEAD = members.make_member('e1', 5, 0, State.READY)
OrderResult = endpoint_orders.OrderResult
Evidence = head_evidence.Evidence


def in_state(state):
    membership = attrs.evolve(HEAD.membership, state=state)
    return endpoint_orders.Report(1, membership, ())


def in_replica(number):
    other = members.make_member('e1', number, 1, State.JOINING)
    return endpoint_orders.Report(1, other.membership, ())


NO_REPLICA = endpoint_orders.Report(1, None, ())
RESTARTED = endpoint_orders.Report(2, None, ())
BEFORE_OPENING = [in_state(State.READY), NO_REPLICA, in_replica(4)]


@pytest.mark.parametrize(
    ('report', 'is_claim', 'is_proof'),
    [
        (None, False, False),
        (in_state(State.OPEN), False, False),
        (in_state(State.CLOSING), False, False),
        (in_state(State.READY), True, False),
        (NO_REPLICA, True, False),
        (in_replica(4), True, False),
        (in_state(State.BROKEN), True, True),
        (in_replica(6), True, True),
        (RESTARTED, True, True),
    ],
)
def test_a_state_before_the_opening_is_no_end(report, is_claim, is_proof):
    """A report may be older than the opening that it is asked about."""
    assert head_statements.claims_stop(HEAD, report) is is_claim
    assert head_statements.proves_stop(HEAD, report) is is_proof


@attrs.define(eq=False)
class LaggingHead:
    """Has opened; its reports are of before that, for longer than a test."""

    report_before: endpoint_orders.Report
    leave_result: OrderResult = OrderResult.ACCEPTED
    has_left: bool = False

    async def report(self, endpoint):
        return self.report_before

    async def close(self, head, replica, epoch, is_graceful):
        return OrderResult.ACCEPTED

    async def leave(self, endpoint, replica, epoch):
        self.has_left = self.leave_result is OrderResult.ACCEPTED
        return self.leave_result


async def stop_missing(stops):
    return await stops.stop_missing_head(HEAD, clock.boot_s())


async def stop_unserved(stops):
    now_s = clock.boot_s()
    return await stops.stop_missing_head(HEAD, now_s, has_served=False)


async def stop_lost(stops):
    report = await stops._prober.ask(HEAD)
    return await stops.stop_head(HEAD, report)


async def drain(stops):
    return await stops.drain(HEAD, clock.boot_s())


async def make_leave(stops):
    return await stops.make_head_leave(HEAD)


STOPS = [stop_missing, stop_unserved, stop_lost, drain, make_leave]


def stop(how, client):
    stops = head_stops.HeadStops(
        client,
        endpoint_prober.EndpointProber(client),
        registry_module.Registry(),
        lambda: True,
    )
    return anyio.run(how, stops)


@pytest.mark.parametrize('report', BEFORE_OPENING)
@pytest.mark.parametrize('how', STOPS)
def test_members_of_a_head_that_just_opened_are_not_free(how, report):
    """They joined elsewhere while it was open, on its word from before."""
    client = LaggingHead(report)
    began_s = time.monotonic()
    assert stop(how, client) is Evidence.LEFT
    assert client.has_left
    # Its answer is waited for, and no time that an order may take.
    assert time.monotonic() - began_s < 0.5


@pytest.mark.parametrize(
    'result', [OrderResult.UNKNOWN, OrderResult.UNREACHED, OrderResult.CONFLICT]
)
@pytest.mark.parametrize('how', STOPS)
def test_a_head_that_is_not_known_to_have_left_proves_nothing(how, result):
    """Its members leave it instead, and wait for nothing."""
    found = stop(how, LaggingHead(in_state(State.READY), result))
    assert found is not None
    assert not head_evidence.is_proof(found)
