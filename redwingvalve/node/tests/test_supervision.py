"""Loops that fail are started again; loops that return are done."""

import anyio

from redwingvalve.node import supervision


def test_a_loop_that_returns_is_not_run_again():
    """The store gets one registration of a node, not five a second."""
    runs = []

    async def loop():
        runs.append(1)

    async def main():
        with anyio.move_on_after(supervision.RESTART_S * 3):
            await supervision.keep_running(loop)

    anyio.run(main)
    assert len(runs) == 1


def test_a_loop_that_fails_is_run_again():
    runs = []

    async def loop():
        runs.append(1)
        if len(runs) < 3:
            raise ValueError('odd entry')

    anyio.run(supervision.keep_running, loop)
    assert len(runs) == 3
