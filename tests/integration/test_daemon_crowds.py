"""Crowds of callers that don't behave, at an entry process."""

import anyio
import pytest

from redwingvalve.demo import completion_client
from redwingvalve.http1 import messages
from tests.integration import crowds, processes, test_whole_path

MEMORY_MB = 120
DESCRIPTORS = 300
CONNECTIONS = 400
BODY_BYTES = 4_000_000
CALLERS = 60
PATH = '/v1/chat/completions'
GUARD_S = 150


class Fleet(test_whole_path.Fleet):
    """Entries with little memory."""

    def settings(self, name, index):
        limits = {'memory_mb': MEMORY_MB, 'max_fds': DESCRIPTORS}
        return {**super().settings(name, index), 'limits': limits}


def make_head(*headers):
    sent = [
        (b'Host', b'entry'),
        (b'Authorization', b'Bearer secret'),
        (b'Content-Type', b'application/json'),
        *headers,
    ]
    return messages.render_head(b'POST %b HTTP/1.1' % PATH.encode(), sent)


def short_bodies():
    head = make_head(crowds.length(BODY_BYTES))
    return [[head, b'x' * (BODY_BYTES - 1)] for _ in range(CALLERS)]


def chunked_bodies():
    piece = crowds.chunk(b'x' * 65_536)
    return [
        [make_head(crowds.CHUNKED), *[piece] * (BODY_BYTES // 65_536)]
        for _ in range(CALLERS)
    ]


def whole_bodies():
    return [[one[0], one[1] + b'x'] for one in short_bodies()]


def silent_connections():
    return [[] for _ in range(CONNECTIONS)]


def unfinished_bodies():
    head = make_head(crowds.length(10))
    return [[head + b'x'] for _ in range(CONNECTIONS)]


@pytest.mark.slow
@pytest.mark.parametrize(
    'make_crowd',
    [
        short_bodies,
        chunked_bodies,
        whole_bodies,
        silent_connections,
        unfinished_bodies,
    ],
)
def test_a_crowd_ends_no_entry(make_crowd):
    """The process ran out of memory or descriptors."""

    async def scenario(children):
        fleet = Fleet(children)
        fleet.start()
        await test_whole_path.confirm_plan(fleet)
        caller = completion_client.DemoClient((fleet.entries[0],), 'secret')
        await test_whole_path.wait_until_stream_complete(caller)
        entry = children.children['entry-1']
        watch = crowds.Watch(entry._process.pid)
        host, _, port = fleet.entries[0].partition(':')
        crowd = crowds.Crowd((host, int(port)))
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            with anyio.fail_after(GUARD_S):
                await crowd.send(make_crowd())
                await anyio.sleep(1)
                await test_whole_path.wait_until_stream_complete(caller)
            group.cancel_scope.cancel()
        crowd.close()
        assert entry.is_running
        assert watch.memory_mb < MEMORY_MB
        assert watch.descriptors < DESCRIPTORS

    with processes.make_processes() as children:
        anyio.run(scenario, children)
