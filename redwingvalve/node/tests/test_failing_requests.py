"""Requests whose handling fails by an error that nobody expected."""

import pytest

from redwingvalve.ingress import (
    admitted_request,
    request_handler,
    upstream_sender,
)
from redwingvalve.platform.tests import fleet_harness


def fail(*given, **more):
    raise ValueError('nobody expected this')


async def fail_later(*given, **more):
    raise ValueError('nobody expected this')


@pytest.mark.parametrize(
    ('cls', 'name', 'failure', 'status'),
    [
        (request_handler.RequestHandler, '__init__', fail, 503),
        (request_handler.RequestHandler, 'run', fail_later, 503),
        (
            admitted_request.AdmittedRequest,
            '_reserve_slot',
            fail_later,
            503,
        ),
        (upstream_sender.UpstreamSender, '_connect', fail_later, 503),
        (upstream_sender.UpstreamSender, '_await_outcome', fail_later, 502),
        # Ending the response fails as well.
        (admitted_request.AdmittedRequest, '_log_outcome', fail, 502),
    ],
)
def test_a_failed_request_is_answered_truly(
    cls, name, failure, status, monkeypatch
):
    """Its connection was closed; 503 says that nothing has run."""

    async def test(fleet):
        caller = fleet.caller()
        with monkeypatch.context() as patched:
            patched.setattr(cls, name, failure)
            for path in ('/card/1', '/quote/1'):
                response = await caller.ask(path)
                assert (response.status, response.ending) == (status, 'whole')
        runs = [run for one in fleet.endpoints.values() for run in one.runs]
        assert status == 502 or not runs
        # On the same connection.
        assert (await caller.ask('/card/1')).status == 200

    fleet_harness.run(test, engines=0)


@pytest.mark.parametrize('digits', [19, 400, 5000])
@pytest.mark.parametrize('name', [b'Last-Event-Id', b'X-Token-Counts'])
def test_a_number_too_large_is_not_stated(name, digits):
    """Its conversion failed, and the connection was closed."""

    async def test(fleet):
        stated = [(name, b'9' * digits)]
        caller = fleet.caller()
        response = await caller.ask('/card/1', headers=stated)
        assert (response.status, response.ending) == (200, 'whole')
        stated.append((b'X-Model', fleet_harness.SMALL_MODEL.encode()))
        response = await caller.ask('/draft/1', headers=stated)
        assert (response.status, response.ending) == (200, 'whole')
        assert response.events

    fleet_harness.run(test, engines=2)
