"""Requests whose silent endpoint goes on after nothing else could take them."""

import types

import anyio
import pytest

from redwingvalve.ingress import refusals, reservations
from redwingvalve.ingress.tests import hedged_exchange


class FewSlots(hedged_exchange.Reserver):
    """Gives two slots only."""

    async def reserve(self, *about):
        if len(self.given) > 1:
            return reservations.NoSlot(1.0)
        return await super().reserve(*about)


def evacuate_second(exchange, monkeypatch):
    exchange.state.targets.is_evacuated = lambda target: (
        target.endpoint_id == 'e1'
    )


def cut_off(exchange, monkeypatch):
    exchange.state.reach = types.SimpleNamespace(
        is_cut_off=True,
        answer_overdue=lambda sent_s: None,
        record_answer=lambda now_s: None,
    )


def suspect(exchange, monkeypatch):
    monkeypatch.setattr(
        refusals, 'for_crashing_request', lambda *about: refusals.POISON
    )


@pytest.mark.parametrize('obstacle', [evacuate_second, cut_off, suspect])
def test_a_request_that_nothing_else_takes_outlasts_its_silence(
    obstacle, monkeypatch
):
    """Its send was parked, and ended when no other could follow."""

    async def act(exchange):
        await exchange.wait_for_sends(1)
        obstacle(exchange, monkeypatch)
        first = exchange.connections[0]
        with anyio.fail_after(hedged_exchange.HANG_S):
            while not (first.was_paused or exchange.responder.is_done):
                await anyio.sleep(0.002)
            while first.is_paused:
                assert not first.is_abandoned
                await anyio.sleep(0.002)
        assert None not in exchange.released
        first.answer(b'first')

    exchange = hedged_exchange.Exchange()
    exchange.state.reserver = FewSlots()
    exchange.is_trial = True
    hedged_exchange.play(exchange, act)
    assert exchange.responder.body == b'first'
