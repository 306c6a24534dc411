"""Moves of requests away from silent endpoints, without a network."""

import math
import time

import anyio
import attrs
import pytest

from redwingvalve.ingress import (
    admission_control,
    relocation,
    reservations,
    retry_budget,
    routes,
    upstream,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.ingress.tests import test_routing_and_stalls

TIMEOUT_S = 0.6
SLOT_DELAY_S = 0.1
BUDGET = retry_budget.RetryBudgetConfig(ratio=0, extra=10, window_s=10)


class Reservation(reservations.Reservation):
    is_released = False

    def record_statement(self, statement):
        """Ignore the statement."""

    def release(self, leaving, result=reservations.EndpointResult.UNKNOWN):
        self.is_released = True


@attrs.define(eq=False)
class Reserver(reservations.Reserver):
    """Has no slot for the first refused asks."""

    refused: int = 0
    asks: int = 0
    given: list = attrs.field(factory=list)

    async def reserve(self, service, model, need, avoid, slow):
        self.asks += 1
        await anyio.sleep(SLOT_DELAY_S)
        if self.asks <= self.refused:
            return reservations.NoSlot(1.0)
        self.given.append(Reservation())
        return self.given[-1]


@attrs.define(eq=False)
class Forwarder:
    last_event: int | None = None


@attrs.define(eq=False)
class Move:
    """One send that is silent, and its move."""

    reserver: Reserver
    can_pay: bool = True
    forwarder: Forwarder = attrs.field(factory=Forwarder)
    paid: int = 0
    mover: relocation.Relocation = attrs.field(init=False)
    request: upstream.UpstreamRequest = attrs.field(init=False)

    def __attrs_post_init__(self):
        state = state_module.IngressState(None, BUDGET, started_s=-math.inf)
        state.reserver = self.reserver
        self.mover = relocation.Relocation(
            state, make_admission(), self.forwarder
        )

    async def run(self, act=None):
        """Return the outcome; act is called while a slot is asked for."""
        self.request = upstream.UpstreamRequest(b'a', lambda statement: None)
        async with anyio.create_task_group() as group:
            if act is not None:
                group.start_soon(self._act_later, act)
            return await self.mover.wait_or_move(
                self.request, {'silent'}, self._pay, self.request.park
            )

    async def _act_later(self, act):
        await anyio.sleep(SLOT_DELAY_S / 2)
        act(self)

    def _pay(self):
        self.paid += self.can_pay
        return self.can_pay


def make_admission():
    return admission_control.Admission(
        route=attrs.evolve(
            test_routing_and_stalls.make_route('/'),
            kind=routes.RouteKind.IDEMPOTENT,
        ),
        service='s',
        model='',
        account=None,
        urgency=1,
        timeout_at_s=time.monotonic() + TIMEOUT_S,
        caller_deadline_s=time.monotonic() + TIMEOUT_S,
        prompt_read_s=0,
        event_interval_s=0,
    )


def test_a_request_moves_once_it_has_a_slot():
    move = Move(Reserver(refused=1))
    assert anyio.run(move.run) is upstream.Outcome.STALLED
    assert move.paid == 1
    assert move.mover.take() is move.reserver.given[0]
    assert move.mover.take() is None


def test_a_request_without_another_slot_is_kept():
    move = Move(Reserver(refused=100))
    assert anyio.run(move.run) is upstream.Outcome.TIMEOUT
    assert not move.paid and move.reserver.asks > 1


def test_an_answer_that_comes_first_counts():
    move = Move(Reserver())
    outcome = upstream.Outcome.COMPLETE
    assert anyio.run(move.run, lambda one: one.request.finish(outcome)) is (
        outcome
    )
    assert not move.paid and move.mover.take() is None


def go_on(move):
    move.forwarder.last_event = 1


def refuse(move):
    move.can_pay = False


@pytest.mark.parametrize('act', [go_on, refuse])
def test_a_slot_that_is_not_needed_is_released(act):
    """The head goes on while the slot is asked for, or no retry is left."""
    move = Move(Reserver())
    anyio.run(move.run, act)
    assert move.reserver.given[0].is_released
