"""Tests of tasks that act on endpoints."""

import anyio
import anyio.lowlevel

from redwingvalve.fleet import endpoints
from redwingvalve.node import tasks
from redwingvalve.node.tests import members


def test_an_endpoint_is_busy_until_its_last_task_ends():
    """A member must not be ordered into two replicas at once."""
    member = members.make_member('e1', 1, 1, endpoints.MemberState.READY)

    async def main():
        async with anyio.create_task_group() as group:
            running = tasks.EndpointTasks(group)
            ends = anyio.Event()
            running.start((member,), ends.wait())
            running.start((member,), anyio.lowlevel.checkpoint())
            await anyio.wait_all_tasks_blocked()
            assert running.is_busy(member)
            ends.set()
            await anyio.wait_all_tasks_blocked()
            assert not running.is_busy(member)

    anyio.run(main)
