"""What requests for slots say about accounts that compete for them."""

import time

import anyio
import attrs
import pytest

from redwingvalve.ingress import (
    admission_control,
    reservations,
    retry_budget,
    slot_requests,
)
from redwingvalve.ingress import state as state_module
from redwingvalve.platform import configuration
from redwingvalve.platform.tests import fleet_harness

ACCOUNTS = [
    {'name': 'workshop', 'api_keys': ['a'], 'priority': 3},
    {'name': 'archive', 'api_keys': ['b']},
]
BUDGET = retry_budget.RetryBudgetConfig(0.2, 10, 10.0)


class Reserver(reservations.Reserver):
    """Keeps what was asked for, and has no slot."""

    async def reserve(self, service, model, need, avoid, slow):
        self.need = need
        return reservations.NoSlot(1.0)


def request_slot(accounts, service, account='workshop', prompt_read_s=0.01):
    """Return the request for a slot that a caller's request leads to."""
    found = configuration.decode_configuration(
        {
            'metadata': {'revision': 1},
            'spec': fleet_harness.configuration(tenants=accounts),
        }
    )
    state = state_module.IngressState(None, BUDGET, found)
    state.reserver = Reserver()
    admission = admission_control.Admission(
        route=attrs.evolve(found.routes[0], goal_ms=300),
        service=service,
        model='',
        account=account,
        urgency=1,
        timeout_at_s=time.monotonic() + 6,
        caller_deadline_s=time.monotonic() + 6,
        prompt_read_s=prompt_read_s,
        event_interval_s=0,
    )
    anyio.run(slot_requests.find_slot, state, admission, ())
    return state.reserver.need


def test_requests_of_competing_accounts_name_account_and_kind():
    need = request_slot(ACCOUNTS, fleet_harness.ENGINE_SERVICE)
    assert (need.account, need.kind) == ('workshop', 'draft')
    assert need.is_competing
    # A caller without an account belongs to the account without a name.
    need = request_slot(ACCOUNTS, fleet_harness.ENGINE_SERVICE, None)
    assert not need.account and need.is_competing


@pytest.mark.parametrize(
    ('accounts', 'service'),
    [
        (ACCOUNTS[:1], fleet_harness.ENGINE_SERVICE),
        ([], fleet_harness.ENGINE_SERVICE),
        (ACCOUNTS, fleet_harness.PLAIN_SERVICE),
    ],
)
def test_other_deployments_ask_as_before(accounts, service):
    """With one account, or for a plain service, nothing may change."""
    need = request_slot(accounts, service)
    assert not need.is_competing and not need.account


def test_a_prompt_that_takes_the_whole_goal_is_late_from_the_start():
    """It can't be in time and would take a slot of one that can."""
    need = request_slot(
        ACCOUNTS, fleet_harness.ENGINE_SERVICE, prompt_read_s=0.4
    )
    assert need.on_time_s == 0
    need = request_slot(
        ACCOUNTS[:1], fleet_harness.ENGINE_SERVICE, prompt_read_s=0.4
    )
    assert need.on_time_s > 0
