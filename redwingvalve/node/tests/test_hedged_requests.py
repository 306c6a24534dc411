"""Hedged requests over real connections."""

import time

import anyio
import attrs

from redwingvalve.ingress import hedge_limit, hedge_policy
from redwingvalve.observability import node_metrics
from redwingvalve.platform.tests import fleet_harness

SLOW_S = 0.35
CARD = ('card', fleet_harness.PLAIN_SERVICE, '')
DRAFT = ('draft', fleet_harness.ENGINE_SERVICE, fleet_harness.SMALL_MODEL)


def hedges(outcome):
    return node_metrics.METRICS.value('redwingvalve_hedges', outcome=outcome)


def set_share(fleet, kind, share=1.0, usual_s=0.06):
    """Let nodes hedge, as if they had observed answers and requests."""
    now_s = time.monotonic()
    for node in fleet.nodes:
        state = node.state
        state.hedge_shares = hedge_limit.HedgeShares(share)
        state._hedge_limits.clear()
        # Retries are not limited here.
        state._retry_budgets.clear()
        state.retry_budget_config = attrs.evolve(
            state.retry_budget_config, ratio=1.0
        )
        latencies = state.hedge_latencies.latencies(kind)
        for _ in range(hedge_policy.MIN_SAMPLES):
            latencies.observe(usual_s, now_s, is_overdue=False)
            state.hedge_limit(kind[1]).record_request(now_s)
            state.retry_budget(kind[1]).record_request(now_s)


def slots_in_use(fleet):
    return sum(
        sum(node.allocation.allocator.usage().values()) for node in fleet.nodes
    )


def silence(fleet, name, silence_s=SLOW_S):
    fleet.endpoints[name].faults.silent_until_s = time.monotonic() + silence_s


def test_an_overdue_request_is_answered_by_a_second_endpoint():
    """One endpoint is slow for a moment, within the goal of the route."""

    async def test(fleet):
        await fleet.caller().ask('/card/0')
        set_share(fleet, CARD)
        sent, won = hedges('sent'), hedges('won')
        silence(fleet, 'p0')
        callers = [fleet.caller() for _ in range(4)]
        took_s = []

        async def send(caller):
            started_s = time.monotonic()
            response = await caller.ask('/card/1')
            assert response.status == 200
            took_s.append(time.monotonic() - started_s)

        async with anyio.create_task_group() as group:
            for caller in callers:
                group.start_soon(send, caller)
        assert max(took_s) < SLOW_S - 0.1
        assert hedges('sent') > sent
        assert hedges('won') - won == hedges('sent') - sent
        # Slots of cancelled sends are released, and tell nothing of p0.
        await fleet.wait_until(lambda: not slots_in_use(fleet))
        (pool,) = [
            pool
            for node in fleet.nodes
            for key, pool in node.allocation.allocator._pools.items()
            if key.service == fleet_harness.PLAIN_SERVICE
        ]
        assert pool._outliers.penalty('p0') == 0

    fleet_harness.run(test, engines=0, plain=2)


def test_nothing_is_hedged_by_default():
    async def test(fleet):
        sent = hedges('sent')
        silence(fleet, 'p0')
        silence(fleet, 'p1')
        response = await fleet.caller().ask('/card/1')
        assert response.status == 200
        assert hedges('sent') == sent

    fleet_harness.run(test, engines=0, plain=2)


def test_requests_that_must_not_repeat_are_never_hedged():
    async def test(fleet):
        set_share(fleet, ('quote', fleet_harness.PLAIN_SERVICE, ''))
        sent = hedges('sent')
        for name in ('p0', 'p1'):
            silence(fleet, name)
        response = await fleet.caller().ask('/quote/1')
        assert response.status == 200
        assert hedges('sent') == sent
        runs = [len(one.runs) for one in fleet.endpoints.values()]
        assert sum(runs) == 1

    fleet_harness.run(test, engines=0, plain=2)


def test_a_stream_follows_the_send_with_the_first_event():
    """Its other send is cancelled at once, and delivers nothing."""

    async def test(fleet):
        set_share(fleet, DRAFT)
        won = hedges('won')
        heads = {target.endpoint_id for target in fleet.targets()}
        for name in heads:
            fleet.endpoints[name].events_per_response = 20
        (slow, *_) = sorted(heads)
        silence(fleet, slow)
        responses = []

        async def send():
            responses.append(await fleet.caller().stream())

        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(send)
        for response in responses:
            assert response.ending == 'whole'
            assert response.events == list(range(1, 21))
        assert hedges('won') > won
        await fleet.wait_until(lambda: not slots_in_use(fleet))
        assert not any(node.table.is_suspect(slow) for node in fleet.nodes)

    fleet_harness.run(test, engines=8, plain=0)


def test_a_hedge_that_loses_is_cancelled_at_once():
    """The second endpoint turns silent for longer than the first one."""

    async def test(fleet):
        await fleet.caller().ask('/card/0')
        set_share(fleet, CARD)
        lost = hedges('lost')
        for name in fleet.endpoints:
            silence(fleet, name, 0.15)

        async def silence_other():
            await anyio.sleep(0.03)
            in_flight = fleet.nodes[0].state.in_flight_requests
            (other,) = [
                name for name in fleet.endpoints if not in_flight.get(name)
            ]
            silence(fleet, other, 1.0)

        async with anyio.create_task_group() as group:
            group.start_soon(silence_other)
            started_s = time.monotonic()
            response = await fleet.caller().ask('/card/1')
        assert response.status == 200
        assert time.monotonic() - started_s < SLOW_S
        assert hedges('lost') == lost + 1
        await fleet.wait_until(lambda: not slots_in_use(fleet), 0.5)

    fleet_harness.run(test, engines=0, plain=2)
