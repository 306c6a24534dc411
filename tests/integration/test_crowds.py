"""Crowds of callers that don't behave, at a node process.

The process stays within the memory and the descriptors that the platform
grants it, and answers an ordinary request afterwards.
"""

import contextlib
import signal

import anyio
import pytest

from redwingvalve.platform import names
from redwingvalve.platform.standins import endpoint_answers
from redwingvalve.platform.tests import fleet_harness
from tests.integration import crowds, node_world

MEMORY_MB = 120
MAX_DESCRIPTORS = 600
# Of these the platform keeps some for files.
FILES = 200
BODY_BYTES = 1_048_576
GUARD_S = 150
LIMITS = {'memory_mb': MEMORY_MB, 'max_fds': MAX_DESCRIPTORS}
PLAIN, MODEL = '/card/1', '/draft/1'
MODEL_HEADERS = [
    (b'X-Model', fleet_harness.SMALL_MODEL.encode()),
    (b'X-Token-Counts', b'100,20'),
]
UNKNOWN_KEY = 'a-key-that-nobody-has'


def configuration():
    made = fleet_harness.configuration()
    made['limits']['max_body_bytes'] = BODY_BYTES
    return made


def bodies(count, path=PLAIN, key=fleet_harness.API_KEY, missing=0):
    """Return requests with the longest body; missing bytes aren't sent."""
    body = b'x' * (BODY_BYTES - missing)
    headers = MODEL_HEADERS if path == MODEL else []
    return [
        [
            crowds.make_head(
                path, crowds.length(BODY_BYTES), *headers, key=key
            ),
            body,
        ]
        for _ in range(count)
    ]


def chunked_bodies(count, size, path=PLAIN, end=b''):
    """Return requests whose bodies come in chunks of size bytes."""
    pieces = crowds.chunk(b'x' * size) * max(1, 65_536 // size)
    repeats = BODY_BYTES // (size * max(1, 65_536 // size))
    return [
        [crowds.make_head(path, crowds.CHUNKED), *[pieces] * repeats, end]
        for _ in range(count)
    ]


def slow_bodies(count):
    """Return bodies one byte short of their end, in pieces of 8 KB."""
    piece = b'x' * 8192
    body = [piece] * (BODY_BYTES // len(piece) - 1) + [piece[:-1]]
    return [
        [crowds.make_head(PLAIN, crowds.length(BODY_BYTES)), *body]
        for _ in range(count)
    ]


def pipelined_bodies(connections, requests):
    """Return whole requests, several on each connection."""
    return [
        [part for one in bodies(requests) for part in one]
        for _ in range(connections)
    ]


def announced_bodies(count):
    """Return bodies announced far over the limit, of which a part comes."""
    head = crowds.length(10_000_000_000)
    return [
        [crowds.make_head(PLAIN, head), b'x' * (BODY_BYTES - 1)]
        for _ in range(count)
    ]


def endless_bodies(count):
    """Return bodies in chunks that go on far over the limit."""
    piece = crowds.chunk(b'x' * 65_536)
    return [
        [crowds.make_head(PLAIN, crowds.CHUNKED), *[piece] * 200]
        for _ in range(count)
    ]


def large_answers(connections, requests=1, size=2_000_000):
    """Return requests for large answers, which nobody reads."""
    header = (endpoint_answers.ANSWER_BYTES, b'%d' % size)
    return [
        [
            b''.join(
                crowds.make_head(PLAIN, crowds.length(0), header)
                for _ in range(requests)
            )
        ]
        for _ in range(connections)
    ]


def large_streams(connections):
    """Return requests for streams of large events, which nobody reads."""
    headers = [
        *MODEL_HEADERS,
        (endpoint_answers.EVENTS, b'400'),
        (endpoint_answers.EVENT_BYTES, b'60000'),
    ]
    return [
        [crowds.make_head(MODEL, crowds.length(0), *headers)]
        for _ in range(connections)
    ]


def endless_heads(count):
    """Return heads of many short lines that never end."""
    lines = b'a:b\r\n' * 7000
    return [[crowds.make_head(PLAIN)[:-2], lines] for _ in range(count)]


CROWDS = {
    'one-byte-short': lambda: bodies(100, missing=1),
    'one-byte-short-model': lambda: bodies(100, MODEL, missing=1),
    'one-byte-short-unknown-key': lambda: bodies(
        100, key=UNKNOWN_KEY, missing=1
    ),
    'one-byte-short-chunked': lambda: chunked_bodies(100, 65_536),
    'one-byte-short-slowly': lambda: slow_bodies(100),
    'tiny-chunks': lambda: chunked_bodies(6, 2),
    'whole': lambda: bodies(100),
    'whole-model': lambda: bodies(100, MODEL),
    'pipelined': lambda: pipelined_bodies(12, 10),
    'announced': lambda: announced_bodies(100),
    'endless': lambda: endless_bodies(100),
    'answers-unread': lambda: large_answers(60),
    'answers-unread-pipelined': lambda: large_answers(20, 8),
    'streams-unread': lambda: large_streams(16),
    'heads': lambda: endless_heads(300),
    'silent-connections': lambda: [[] for _ in range(900)],
    'several-ways': lambda: [
        *bodies(30, missing=1),
        *bodies(30),
        *large_answers(30),
        *endless_heads(60),
        *endless_bodies(20),
    ],
}


@contextlib.asynccontextmanager
async def running(tmp_path, nodes=1, limits=None):
    """Yield a cluster whose nodes serve."""
    cluster = node_world.NodeCluster(
        1, nodes, tmp_path, limits=limits or LIMITS
    )
    with anyio.fail_after(GUARD_S):
        async with anyio.create_task_group() as group:
            try:
                await cluster.start(group)
                cluster.store.put('config', 'main', configuration())
                for node in cluster.nodes:
                    await wait_until_served(node)
                yield cluster
            finally:
                cluster.kill_all()
                group.cancel_scope.cancel()


async def wait_until_served(node):
    """Ask until an ordinary request is answered."""
    while True:
        caller = fleet_harness.Caller((node.ip, node_world.FRONT_PORT))
        with contextlib.suppress(OSError, TimeoutError):
            response = await caller.ask(PLAIN, b'an ordinary body')
            if response.status == 200:
                return
            caller.disconnect()
        await anyio.sleep(0.1)


async def assert_withstands(node, crowd, parts_of_each):
    """Send a crowd at a node, and an ordinary request while it stays."""
    pid = node.process.pid
    watch = crowds.Watch(pid)
    async with anyio.create_task_group() as group:
        group.start_soon(watch.run)
        await crowd.send(parts_of_each)
        await anyio.sleep(1)
        if node.is_running:
            await wait_until_served(node)
            crowd.close()
            await wait_until_served(node)
        group.cancel_scope.cancel()
    assert node.is_running and node.process.pid == pid
    assert watch.memory_mb < MEMORY_MB
    assert watch.descriptors < MAX_DESCRIPTORS - FILES


def play(tmp_path, make_crowd, port=node_world.FRONT_PORT):
    async def main():
        async with running(tmp_path) as cluster:
            node = cluster.nodes[0]
            crowd = crowds.Crowd((node.ip, port))
            await assert_withstands(node, crowd, make_crowd())

    anyio.run(main)


@pytest.mark.slow
@pytest.mark.parametrize('way', CROWDS)
def test_a_crowd_ends_no_process(tmp_path, way):
    """The process ran out of memory, or of descriptors."""
    play(tmp_path, CROWDS[way])


@pytest.mark.slow
@pytest.mark.parametrize(
    'way', ['answers-unread', 'answers-unread-pipelined', 'streams-unread']
)
def test_a_crowd_that_reads_slowly_ends_no_process(tmp_path, way):
    """Guards against answers that are kept for callers that do read."""

    async def main():
        async with running(tmp_path) as cluster:
            node = cluster.nodes[0]
            crowd = crowds.Crowd((node.ip, node_world.FRONT_PORT))
            async with anyio.create_task_group() as group:
                group.start_soon(crowd.read_slowly)
                await assert_withstands(node, crowd, CROWDS[way]())
                group.cancel_scope.cancel()

    anyio.run(main)


# As another node forwards them.
FORWARDED = [(names.ATTEMPTS_LEFT_HEADER, b'1')]
LISTENERS = {
    'ready-heads': (node_world.READY_PORT, 'heads'),
    'directory-bodies': (node_world.DIRECTORY_PORT, 'one-byte-short'),
    'directory-heads': (node_world.DIRECTORY_PORT, 'heads'),
    'directory-silent': (node_world.DIRECTORY_PORT, 'silent-connections'),
    'peers-bodies': (node_world.PEER_PORT, 'one-byte-short'),
    'peers-silent': (node_world.PEER_PORT, 'silent-connections'),
}


@pytest.mark.slow
@pytest.mark.parametrize('case', LISTENERS)
def test_a_crowd_at_another_listener_ends_no_process(tmp_path, case):
    """The process ran out of memory, or of descriptors for callers."""
    port, way = LISTENERS[case]
    play(tmp_path, CROWDS[way], port)


@pytest.mark.slow
def test_forwarded_bodies_end_no_process(tmp_path):
    """Guards against bodies that several nodes forward to one."""

    def make_crowd():
        head = crowds.length(BODY_BYTES), *FORWARDED
        body = b'x' * BODY_BYTES
        return [[crowds.make_head(PLAIN, *head), body] for _ in range(100)]

    play(tmp_path, make_crowd, node_world.PEER_PORT)


@pytest.mark.slow
def test_requests_that_wait_for_silent_endpoints_end_no_process(tmp_path):
    """Guards against bodies that are kept for waits, resends and hedges."""

    async def main():
        async with running(tmp_path) as cluster:
            node = cluster.nodes[0]
            for endpoint in cluster.endpoints.values():
                endpoint.faults.is_unresponsive = True
            crowd = crowds.Crowd((node.ip, node_world.FRONT_PORT))
            watch = crowds.Watch(node.process.pid)
            await crowd.send([*bodies(100), *bodies(40, MODEL)])
            await anyio.sleep(1)
            for endpoint in cluster.endpoints.values():
                endpoint.faults.is_unresponsive = False
            await wait_until_served(node)
            crowd.close()
            assert node.process.pid == watch.pid
            assert watch.memory_mb < MEMORY_MB

    anyio.run(main)


@pytest.mark.slow
def test_crowds_that_come_back_end_no_process(tmp_path):
    """Guards against memory that grows with each crowd."""

    async def main():
        async with running(tmp_path) as cluster:
            node = cluster.nodes[0]
            for _ in range(4):
                crowd = crowds.Crowd((node.ip, node_world.FRONT_PORT))
                await assert_withstands(node, crowd, CROWDS['several-ways']())

    anyio.run(main)


@pytest.mark.slow
def test_a_node_stops_and_starts_under_a_crowd(tmp_path):
    """Guards against a stop that waits for callers that don't behave."""

    async def main():
        async with running(tmp_path) as cluster:
            node = cluster.nodes[0]
            crowd = crowds.Crowd((node.ip, node_world.FRONT_PORT))
            await crowd.send(CROWDS['several-ways']())
            node.send_signal(signal.SIGTERM)
            await node.wait_stopped()
            assert node.process.returncode == 0
            node.start()
            await assert_withstands(node, crowd, CROWDS['several-ways']())

    anyio.run(main)
