"""Answers without a length of endpoints that leave, or are ended then."""

import time

import anyio
import pytest

from redwingvalve.platform.standins import endpoint as fake_endpoint
from redwingvalve.platform.standins import endpoint_faults
from redwingvalve.platform.tests import fleet_harness

EVENTS = list(range(1, 41))
ENGINES = {'nodes': 1, 'engines': 4, 'plain': 0}
PLAIN = {'nodes': 1, 'engines': 0, 'plain': 2}


def close_after_answers(fleet):
    for endpoint in fleet.endpoints.values():
        endpoint.faults.closes_after_answers = True
        endpoint.faults.entry_lapse_s = 5
        endpoint.events_per_response = len(EVENTS)


async def find_running(fleet, runs=1):
    """Return the endpoint that runs so many requests, once it does."""

    def running():
        return [
            one for one in fleet.endpoints.values() if len(one.runs) >= runs
        ]

    await fleet.wait_until(running)
    return running()[0]


async def leave(fleet, endpoint, announces=True):
    """Let an endpoint leave, and the node learn of it."""
    if announces:
        endpoint.drain()
    else:
        fleet.store.remove('servers', endpoint.endpoint_id)
    live = fleet.nodes[0].registry.live

    def is_known():
        listed = live.get(endpoint.endpoint_id)
        return listed is None or listed.draining

    await fleet.wait_until(is_known)


def count_runs(fleet):
    return sum(len(one.runs) for one in fleet.endpoints.values())


@pytest.mark.parametrize('announces', [False, True])
def test_a_stream_goes_on_whose_leaving_endpoint_is_ended(announces):
    """What had arrived was taken for the whole answer."""

    async def test(fleet):
        close_after_answers(fleet)
        responses = []

        async def ask():
            responses.append(await fleet.caller().stream())

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            endpoint = await find_running(fleet)
            await leave(fleet, endpoint, announces)
            await anyio.sleep(0.1)
            endpoint.crash()
        assert responses[0].ending == 'whole'
        assert responses[0].events == EVENTS

    fleet_harness.run(test, **ENGINES)


@pytest.mark.parametrize('announces', [False, True])
def test_half_an_answer_of_a_leaving_endpoint_is_no_success(
    monkeypatch, announces
):
    """A caller that must not ask again got half of an answer as a whole one."""
    # From the head of the answer to its body.
    monkeypatch.setattr(endpoint_faults, 'EVENT_INTERVAL_S', 0.5)

    async def test(fleet):
        close_after_answers(fleet)
        responses = []

        async def ask():
            responses.append(await fleet.caller().ask('/quote/1', b'body'))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            endpoint = await find_running(fleet)
            await leave(fleet, endpoint, announces)
            endpoint.crash()
        assert responses[0].status == 502
        assert count_runs(fleet) == 1

    fleet_harness.run(test, **PLAIN)


def test_a_whole_stream_of_a_leaving_endpoint_runs_once():
    """It was sent again to another endpoint for nothing."""

    async def test(fleet):
        close_after_answers(fleet)
        responses = []

        async def ask():
            responses.append(await fleet.caller().stream())

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            endpoint = await find_running(fleet)
            await leave(fleet, endpoint)
        assert responses[0].events == EVENTS
        assert responses[0].ending == 'whole'
        assert count_runs(fleet) == 1

    fleet_harness.run(test, **ENGINES)


def test_no_endpoint_is_watched_whose_entry_an_outage_has_removed():
    """All nodes connected to all endpoints at once when the store came back."""

    async def test(fleet):
        node = fleet.nodes[0]
        node.registry.on_unavailable()
        ids = list(fleet.endpoints)
        for endpoint_id in ids:
            fleet.store.remove('servers', endpoint_id)
        await fleet.wait_until(lambda: not node.registry.live)
        assert not any(map(node.registry.is_leaving, ids))
        await fleet.wait_until(lambda: not node.registry.usable())
        node.registry.drop_expired()
        assert all(map(node.registry.is_leaving, ids))

    fleet_harness.run(test, **PLAIN)


def test_a_whole_stream_is_known_by_one_that_outlasts_it():
    """The endpoint had stopped listening, so that nothing else told."""

    async def test(fleet):
        close_after_answers(fleet)
        responses = []

        async def ask():
            responses.append(await fleet.caller().stream())

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            endpoint = await find_running(fleet)
            await anyio.sleep(0.4)
            while len(endpoint.runs) < 2:
                group.start_soon(ask)
                await anyio.sleep(0.02)
            await leave(fleet, endpoint)
            endpoint.stop_listening()
        assert all(one.events == EVENTS for one in responses)
        first = endpoint.runs[0].attempt_id
        runs = [run for one in fleet.endpoints.values() for run in one.runs]
        assert [run.attempt_id for run in runs].count(first) == 1

    fleet_harness.run(test, **ENGINES)


def ask_while(change):
    """Return the answer to a stream that a change meets, and its runs."""
    found = []

    async def test(fleet):
        close_after_answers(fleet)

        async def ask():
            found.append(await fleet.caller().stream())

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            endpoint = await find_running(fleet)
            await anyio.sleep(0.2)
            await change(fleet, endpoint)
        found.append(count_runs(fleet))

    fleet_harness.run(test, **ENGINES)
    return found


async def know_closing(fleet, endpoint):
    """Let a head close its replica, and the node learn of it."""
    fake_endpoint.report_state(endpoint, 'closing')
    live = fleet.nodes[0].registry.live
    known = live[endpoint.endpoint_id]
    await fleet.wait_until(lambda: live[endpoint.endpoint_id] is not known)


def stop_replica(endpoint):
    """Let a head leave its replica, which cuts off its answers."""
    endpoint.faults.cuts_off_answers = True
    endpoint.group = None
    endpoint.write_entry()


@pytest.mark.parametrize(
    ('state', 'leaves'),
    [('broken', False), ('broken', True), ('ready', False), ('left', True)],
)
def test_a_stream_goes_on_that_its_replica_has_cut_off(state, leaves):
    """Its head answers on, so that the caller got the start as the whole."""

    async def cut_off(fleet, endpoint):
        if leaves:
            await leave(fleet, endpoint)
        if state == 'left':
            stop_replica(endpoint)
            return
        endpoint.faults.cuts_off_answers = True
        fake_endpoint.report_state(endpoint, state)

    response, runs = ask_while(cut_off)
    assert response.ending == 'whole'
    assert response.events == EVENTS
    assert runs == 2


@pytest.mark.parametrize('state', ['broken', 'ready'])
def test_a_stream_goes_on_that_was_cut_off_after_the_last_report(state):
    """Reports are some hundred milliseconds old: it still said `open`."""

    async def cut_off(fleet, endpoint):
        await delay_reports(fleet, 300)
        endpoint.faults.old_group = endpoint.group
        endpoint.faults.old_until_s = time.monotonic() + 0.25
        # The entry arrives later than the end.
        endpoint.faults.is_cut_off_from_store = True
        endpoint.faults.cuts_off_answers = True
        fake_endpoint.report_state(endpoint, state)

    response, runs = ask_while(cut_off)
    assert response.events == EVENTS
    assert runs == 2


@pytest.mark.parametrize('state', ['broken', 'ready'])
def test_a_stream_goes_on_whose_report_is_older_than_stated(state):
    """A report of before the end was taken for one of after it (ORDER)."""

    async def cut_off(fleet, endpoint):
        await delay_reports(fleet, 200)
        endpoint.faults.old_group = endpoint.group
        # Five times what is stated.
        endpoint.faults.old_until_s = time.monotonic() + 1
        endpoint.faults.is_cut_off_from_store = True
        endpoint.faults.cuts_off_answers = True
        fake_endpoint.report_state(endpoint, state)

    response, runs = ask_while(cut_off)
    assert response.events == EVENTS
    assert runs == 2


def knows_lag(node):
    services = node.state.configuration.services.values()
    return any(one.engine and one.engine.report_lag_ms for one in services)


def test_a_stream_goes_on_whose_head_has_left_its_replica():
    """It joins another one at once, and answers for that."""

    async def rejoin(fleet, endpoint):
        stop_replica(endpoint)

    response, runs = ask_while(rejoin)
    assert response.events == EVENTS
    assert runs == 2


def test_a_stream_goes_on_whose_replica_is_stopped_as_it_closes():
    """It looked like one that had finished its last answer."""

    async def stop(fleet, endpoint):
        await know_closing(fleet, endpoint)
        stop_replica(endpoint)

    response, runs = ask_while(stop)
    assert response.ending == 'whole'
    assert response.events == EVENTS
    assert runs == 2


@pytest.mark.parametrize('leaves_at_once', [False, True])
def test_a_stream_goes_on_whose_stopped_replica_is_followed_by_another(
    leaves_at_once,
):
    """Its head looked like one that had finished, and joined another one."""

    async def rejoin(fleet, endpoint):
        await know_closing(fleet, endpoint)
        group = endpoint.group
        stop_replica(endpoint)
        if not leaves_at_once:
            await anyio.sleep(0.05)
        endpoint.group = {**group, 'epoch': group['epoch'] + 1, 'state': 'open'}
        endpoint.write_entry()

    response, _ = ask_while(rejoin)
    assert response.ending == 'whole'
    assert response.events == EVENTS


async def delay_reports(fleet, lag_ms=200):
    """Let reports be some hundred milliseconds old, and the node know it."""
    configuration = fleet_harness.configuration()
    for service in configuration['services']:
        service.get('engine', {})['report_lag_ms'] = lag_ms
    fleet.store.put('config', 'main', configuration)
    await fleet.wait_until(lambda: knows_lag(fleet.nodes[0]))


def test_a_stream_goes_on_whose_closing_head_ends_after_its_connection():
    """Its last sign of life was older than its end."""

    async def stop(fleet, endpoint):
        await delay_reports(fleet)
        await know_closing(fleet, endpoint)
        endpoint.faults.old_group = endpoint.group
        endpoint.faults.old_until_s = time.monotonic() + 0.25
        endpoint.faults.is_cut_off_from_store = True
        endpoint.faults.cuts_off_answers = True
        await anyio.sleep(0.1)
        endpoint.crash()

    response, _ = ask_while(stop)
    assert response.ending == 'whole'
    assert response.events == EVENTS


@pytest.mark.parametrize('stays_s', [0.5, 0.65])
def test_a_planned_leave_breaks_no_stream_of_a_node_that_learns_of_it_late(
    stays_s,
):
    """The replica had closed by its report and was open by its older entry."""
    found = []

    async def test(fleet):
        close_after_answers(fleet)
        holders = fleet_harness.lease_holders(fleet)
        number = next(
            number
            for number, node in enumerate(fleet.nodes)
            if node not in holders
        )

        async def ask():
            found.append(await fleet.caller(number).stream())

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            endpoint = await find_running(fleet)
            await anyio.sleep(stays_s)
            endpoint.drain()

    fleet_harness.run(test, nodes=3, engines=4, plain=0)
    assert found[0].ending == 'whole'
    assert found[0].events == EVENTS


def test_a_whole_stream_of_a_replica_that_closes_runs_once():
    """Its replica had closed when it was asked, and it was sent again."""

    async def close(fleet, endpoint):
        await know_closing(fleet, endpoint)
        fake_endpoint.report_state(endpoint, 'ready')

    response, runs = ask_while(close)
    assert response.events == EVENTS
    assert response.ending == 'whole'
    assert runs == 1
