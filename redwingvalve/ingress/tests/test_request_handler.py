"""Which requests a node tries in spite of the endpoints that they crashed."""

import types

import anyio
import pytest

from redwingvalve.http1 import messages
from redwingvalve.ingress import (
    crash_keys,
    poison,
    poison_trials,
    request_handler,
)


class Claimer(poison_trials.TrialClaimer):
    def __init__(self):
        self.claimed = []

    async def claim(self, keys):
        self.claimed.append(keys)
        return True


@pytest.mark.parametrize('is_cut_off', [False, True])
def test_a_node_without_endpoints_claims_no_trial(is_cut_off):
    """It could only forward the request to a node that refuses it."""
    clock = [0.0]
    tracker = poison.PoisonRequestTracker(lambda: clock[0])
    for number in range(3):
        tracker.record_broken_run(7, (f'e{number}', 1))
        tracker.record_end((f'e{number}', 1))
    clock[0] = poison_trials.FIRST_DELAY_S
    claimer = Claimer()
    state = types.SimpleNamespace(
        poison=tracker,
        trial_claimer=claimer,
        reach=types.SimpleNamespace(is_cut_off=is_cut_off),
    )
    handler = request_handler.RequestHandler(
        state, messages.Request(b'GET', b'/', [], b'', True), responder=None
    )
    keys = crash_keys.RequestKeys(7)
    assert anyio.run(handler._claim_trial, keys) is not is_cut_off
    assert len(claimer.claimed) == (not is_cut_off)
