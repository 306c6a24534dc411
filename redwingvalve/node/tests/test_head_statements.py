"""Which words of a head, and how old, count as the end of its service."""

import time

import anyio
import attrs
import pytest

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints, head_evidence
from redwingvalve.fleet import registry as registry_module
from redwingvalve.ingress import routes
from redwingvalve.node import endpoint_prober, head_statements, head_stops
from redwingvalve.node.tests import members
from redwingvalve.platform import endpoint_orders

State = endpoints.MemberState
# An open head takes 0.3 s to open, and its reports are 0.2 s old.
ENGINE = routes.Engine(4, (), 4.0, 0.1, 40_000.0, 5, 5.0, 7, 300.0, 200.0)
SETTLES_S = head_statements.MAX_EXECUTION_DELAY_S + 0.5
HEAD = members.make_member('e1', 5, 0, State.READY)
ACCEPTED = endpoint_orders.OrderResult.ACCEPTED


def in_state(state):
    membership = attrs.evolve(HEAD.membership, state=state)
    return endpoint_orders.Report(1, membership, ())


def in_replica(number):
    other = members.make_member('e1', number, 1, State.JOINING)
    return endpoint_orders.Report(1, other.membership, ())


NO_REPLICA = endpoint_orders.Report(1, None, ())
RESTARTED = endpoint_orders.Report(2, None, ())


@pytest.mark.parametrize(
    ('report', 'at_once', 'later'),
    [
        (None, False, False),
        (in_state(State.OPEN), False, False),
        (in_state(State.CLOSING), False, False),
        (in_state(State.READY), False, True),
        (NO_REPLICA, False, True),
        (in_replica(4), False, True),
        (in_state(State.BROKEN), True, True),
        (in_replica(6), True, True),
        (RESTARTED, True, True),
    ],
)
def test_a_state_before_the_opening_is_no_end(report, at_once, later):
    """A report may be older than the opening that it is asked about."""
    assert head_statements.shows_stop(HEAD, report, False) is at_once
    assert head_statements.shows_stop(HEAD, report, True) is later


def test_orders_to_open_settle_once_reports_are_newer():
    orders = head_statements.OpenOrders(ENGINE)
    assert orders.settled_s(HEAD) < 0
    orders.record(HEAD.membership.key, 7)
    assert orders.settled_s(HEAD) == pytest.approx(7 + SETTLES_S)


@attrs.define(eq=False)
class LaggingHead:
    """Opened just now; its reports say so 0.3 s later, and obey orders."""

    born_s: float = attrs.field(factory=time.monotonic)
    closed_s: float | None = None
    has_left: bool = False

    async def report(self, endpoint):
        now_s = time.monotonic()
        if self.has_left:
            return NO_REPLICA
        is_old = now_s < self.born_s + 0.3
        is_closed = self.closed_s is not None and now_s > self.closed_s + 0.3
        state = State.READY if is_old or is_closed else State.OPEN
        return in_state(state)

    async def close(self, head, replica, epoch, is_graceful):
        if time.monotonic() < self.born_s + 0.1:
            # It isn't open yet.
            return endpoint_orders.OrderResult.CONFLICT
        self.closed_s = self.closed_s or time.monotonic()
        return ACCEPTED

    async def leave(self, endpoint, replica, epoch):
        self.has_left = True
        return ACCEPTED


async def stop_missing(stops):
    return await stops.stop_missing_head(HEAD, clock.boot_s())


async def stop_lost(stops):
    asked_s = time.monotonic()
    return await stops.stop_head(HEAD, in_state(State.READY), asked_s)


@pytest.mark.parametrize('how', [stop_missing, stop_lost])
def test_members_of_a_head_that_just_opened_are_not_free(how):
    """They joined elsewhere while it was open, on its word from before."""
    client = LaggingHead()
    orders = head_statements.OpenOrders(ENGINE)
    orders.record(HEAD.membership.key, time.monotonic())
    stops = head_stops.HeadStops(
        client,
        endpoint_prober.EndpointProber(client),
        registry_module.Registry(),
        lambda: True,
        orders,
    )
    began_s = time.monotonic()
    evidence = anyio.run(how, stops)
    assert evidence is head_evidence.Evidence.STATED
    assert client.closed_s or client.has_left
    assert time.monotonic() - began_s < SETTLES_S + 1
