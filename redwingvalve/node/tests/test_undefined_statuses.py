"""Endpoints whose answers have a status that HTTP doesn't define."""

import pytest

from redwingvalve.platform import names
from redwingvalve.platform.tests import fleet_harness


@pytest.mark.parametrize('status', [b'000', b'099', b'700'])
@pytest.mark.parametrize('path', ['/quote/1', '/card/1'])
def test_an_undefined_status_reaches_no_caller(path, status):
    """Callers waited until the time-out, or got the status as an answer."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.undefined_status = status
        response = await fleet.caller().ask(path)
        assert response.status == 502

    fleet_harness.run(test, engines=0)


@pytest.mark.parametrize('status', [b'000', b'700'])
def test_a_request_that_may_be_repeated_is_answered_elsewhere(status):
    """As for any damaged answer."""

    async def test(fleet):
        first, *_ = fleet.endpoints.values()
        first.faults.undefined_status = status
        caller = fleet.caller()
        statuses = {(await caller.ask('/card/1')).status for _ in range(6)}
        assert statuses == {200}

    fleet_harness.run(test, engines=0)


@pytest.mark.parametrize('status', [b'000', b'700'])
def test_an_undefined_status_reaches_no_caller_of_a_stream(status):
    """Callers waited until the time-out, or got the status as an answer."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.undefined_status = status
        response = await fleet.caller().stream()
        assert response.status == 502

    fleet_harness.run(test, plain=0)


@pytest.mark.parametrize('status', [b'000', b'700'])
def test_an_undefined_status_reaches_no_forwarding_node(status):
    """The node that forwards a request would have passed it on."""

    async def test(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.faults.undefined_status = status
        node = fleet.nodes[0].settings
        peer = fleet_harness.Caller((node.ip, node.peer_port))
        forwarded = [(names.ATTEMPTS_LEFT_HEADER, b'1')]
        response = await peer.ask('/card/1', headers=forwarded)
        assert response.status == 502

    fleet_harness.run(test, engines=0)
