"""Tests of callers that connect while a node starts."""

import subprocess
import sys

import anyio
import pytest

from redwingvalve.node import daemon, early_sockets
from redwingvalve.platform.tests import fleet_harness

IMPORTED_LATE = ('asyncio', 'anyio', 'thriftpy2', 'redwingvalve.node.daemon')


def test_caller_that_connects_before_the_node_runs_is_served():
    """The caller must get its response, some tenths of a second later.

    All nodes were killed. The caller connects as soon as the address listens,
    before the node is created and long before it knows the configuration. If
    it were rejected with a reset or 503, it would have only one retry left.
    """

    async def test(fleet):
        settings = fleet_harness.node_settings('node-0', fleet.store_address)
        early = early_sockets.listen_early(settings)
        caller = fleet_harness.Caller(
            (settings.front.host, settings.front.port)
        )
        answers = []

        async def ask():
            answers.append(await caller.ask('/card/1', b'body'))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(0.1)
            node = daemon.make_node(settings, early)
            group.start_soon(node.run, anyio.Event())
            await fleet.wait_until(lambda: answers)
            group.cancel_scope.cancel()
        assert answers[0].status == 200

    fleet_harness.run(test, nodes=0, engines=0)


def test_callers_are_told_to_retry_when_the_store_is_unavailable():
    """A started node without a configuration must respond immediately."""

    async def test(fleet):
        fleet.store.faults.error_status = 503
        settings = fleet_harness.node_settings('node-0', fleet.store_address)
        node = daemon.make_node(settings)
        async with anyio.create_task_group() as group:
            group.start_soon(node.run, anyio.Event())
            limit_s = daemon.START_TIMEOUT_S + 0.5
            await fleet.wait_until(lambda: node.is_listening, limit_s)
            caller = fleet_harness.Caller(
                (settings.front.host, settings.front.port)
            )
            answer = await caller.ask('/card/1', b'body')
            group.cancel_scope.cancel()
        assert answer.status == 503
        assert b'retry-after' in answer.headers

    fleet_harness.run(test, nodes=0, engines=0)


@pytest.mark.parametrize('module', IMPORTED_LATE)
def test_node_listens_before_its_large_imports(module):
    """These imports take three quarters of the CPU time of a start."""
    code = (
        'import sys, redwingvalve.node.startup;'
        f'sys.exit({module!r} in sys.modules)'
    )
    completed = subprocess.run([sys.executable, '-c', code], check=False)
    assert completed.returncode == 0


def test_error_names_the_address_in_use():
    settings = fleet_harness.node_settings('node-0', '127.0.0.1:1')
    bound = early_sockets.listen_at(settings.front)
    with pytest.raises(OSError, match=str(settings.front)):
        early_sockets.listen_early(settings)
    bound.close()
