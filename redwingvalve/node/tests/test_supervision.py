"""Loops that fail are restarted; loops that return are not."""

import anyio

from redwingvalve.node import supervision


def test_a_loop_that_returns_is_not_run_again():
    """A node registers itself once in the store, not five times a second."""
    starts = []

    async def loop():
        starts.append(1)

    async def main():
        with anyio.move_on_after(supervision.RESTART_DELAY_S * 3):
            await supervision.keep_running(loop)

    anyio.run(main)
    assert len(starts) == 1


def test_a_loop_that_fails_is_run_again():
    starts = []

    async def loop():
        starts.append(1)
        if len(starts) < 3:
            raise ValueError('malformed entry')

    anyio.run(supervision.keep_running, loop)
    assert len(starts) == 3
