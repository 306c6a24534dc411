"""Tests of a platform whose heads say later than it states what they do."""

import asyncio
import itertools
import random
import time

import anyio
import pytest

from redwingvalve.platform.standins import slow_endpoint
from redwingvalve.platform.tests import fleet_harness

STATED = slow_endpoint.Delays(open_s=0.3, report_s=0.2)
# How many times longer a delay lasts than stated.
MAX_FACTOR = 5
ENGINES = 8
SERVES_ON_S = 2.5
SERVING = frozenset(('open', 'closing'))


def configuration(version=1):
    """State the delays, as the platform does."""
    document = fleet_harness.configuration(version)
    engine = document['services'][1]['engine']
    engine['form_ms'] = 1000 * STATED.open_s
    engine['report_lag_ms'] = 1000 * STATED.report_s
    return document


class WatchedEndpoint(slow_endpoint.SlowEndpoint):
    """Records the replicas that it is taken from while they serve."""

    def __init__(self, fleet, number, delays):
        super().__init__(
            fleet.store,
            f'i{number}',
            fleet_harness.ENGINE_SERVICE,
            'domain-1',
            delays=delays,
        )
        self.endpoints = fleet.endpoints
        self.early = []

    def _join(self, order):
        group, members = self.group, self.members
        status = super()._join(order)
        if status == 202 and group and group['epoch'] < order['epoch']:
            head = self.endpoints[members[0]]
            if is_serving(head, group):
                self.early.append((self.endpoint_id, group['name']))
        return status


def is_serving(head, group):
    """Return whether a head serves a replica."""
    if head.has_ended or not head.group or head.group['state'] not in SERVING:
        return False
    return head.group['name'] == group['name']


def heads(fleet, state, operation):
    """Return the heads in a state whose latest order was for this."""
    return [
        one
        for one in fleet.endpoints.values()
        if one.group
        and not one.has_left
        and one.group['rank'] == 0
        and len(one.members) > 1
        and one.group['state'] == state
        and one.orders[-1]['operation'] == operation
    ]


class Replacements:
    """Lets heads leave as they open, and adds empty endpoints."""

    def __init__(self, fleet, rng, factor):
        self.fleet = fleet
        self.early = []
        self._rng = rng
        self._factor = factor
        self._numbers = itertools.count()

    async def add(self):
        factors = [self._rng.uniform(1, self._factor) for _ in range(2)]
        delays = slow_endpoint.Delays(
            open_s=STATED.open_s * factors[0],
            report_s=STATED.report_s * factors[1],
            entry_s=self._rng.uniform(0, 0.02 * self._factor),
        )
        added = WatchedEndpoint(self.fleet, next(self._numbers), delays)
        added.early = self.early
        self.fleet.endpoints[added.endpoint_id] = added
        await added.start()

    async def replace_one(self):
        """Let one leave within the time that it takes to open, and a bit."""
        opening = ('ready', 'open')
        await self.fleet.wait_until(lambda: heads(self.fleet, *opening), 20)
        head = heads(self.fleet, *opening)[0]
        await anyio.sleep(self._rng.uniform(0, 1.2) * head.delays.open_s)
        head.leave_without_notice(SERVES_ON_S)
        await self.add()


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('factor', [1, MAX_FACTOR])
def test_no_member_leaves_a_head_for_what_it_said_before_it_opened(
    factor, seed
):
    """Reports were older than the time after which they were trusted (TWO)."""

    async def test(fleet):
        replacements = Replacements(fleet, random.Random(seed), factor)
        for _ in range(ENGINES):
            await replacements.add()
        until_s = time.monotonic() + 9
        while time.monotonic() < until_s:
            await replacements.replace_one()
        await asyncio.sleep(SERVES_ON_S)
        assert not replacements.early

    fleet_harness.run(
        test, engines=0, plain=0, version=configuration, lease_term=1
    )


@pytest.mark.parametrize(
    ('state', 'operation'), [('joining', 'join'), ('ready', 'open')]
)
def test_members_of_a_head_that_leaves_early_are_not_held(state, operation):
    """They waited for two seconds for a head that was gone."""

    async def test(fleet):
        replacements = Replacements(fleet, random.Random(0), 1)
        for _ in range(5):
            await replacements.add()
        await fleet.wait_until(lambda: len(fleet.targets()) == 2)
        await fleet.caller().stream()
        fleet.head().leave_without_notice(SERVES_ON_S)
        # Its member joins the spare.
        await fleet.wait_until(lambda: heads(fleet, state, operation))
        (head,) = heads(fleet, state, operation)
        member = fleet.endpoints[head.members[1]]
        head.leave_without_notice(SERVES_ON_S)
        await replacements.add()
        await fleet.wait_until(
            lambda: (
                head.endpoint_id not in member.members
                and len(member.members) == 2
            ),
            1.5,
        )
        assert not replacements.early

    fleet_harness.run(
        test, engines=0, plain=0, version=configuration, lease_term=1
    )
