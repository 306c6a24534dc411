"""Replicas that send bytes without end to callers of a real entry process."""

import contextlib

import anyio
import anyio.lowlevel
import attrs
import httpx
import pytest

from redwingvalve.soak import fleet_run, operators
from tests.integration import (
    crowds,
    endless_replicas,
    process_daemons,
    processes,
)

pytestmark = pytest.mark.slow
Fault = endless_replicas.Fault
# limits.memory_mb of the settings; docs/operating/entry.md.
MEMORY_MB = 120
GUARD_S = 90
SENDING_S = 4
# A play that has failed goes no further.
STOP_MB = 4 * MEMORY_MB
# The faults, and from how many replicas' answers at once.
CASES = (
    (Fault.HEAD, 40),
    (Fault.INTERIM, 40),
    (Fault.BODY, 40),
    (Fault.EVENT, 40),
    (Fault.HELD_EVENT, 40),
    (Fault.EVENTS, 1),
    (Fault.EVENTS, 40),
    (Fault.EXTENSION, 40),
)


class SmallDaemons(process_daemons.ProcessDaemons):
    """Daemons that may use little memory."""

    async def start(self, daemon):
        limits = attrs.evolve(daemon.settings.limits, memory_mb=MEMORY_MB)
        daemon.settings = attrs.evolve(daemon.settings, limits=limits)
        await super().start(daemon)


async def ask(address, fault):
    """Ask for an answer without end, and read what is passed on of it."""
    body = {
        'model': operators.DEPLOYMENT,
        'messages': [{'role': 'user', 'content': fault.value}],
        'stream': fault is not Fault.BODY,
    }
    headers = {'authorization': f'Bearer {operators.CREDENTIAL}'}
    url = f'http://{address}/v1/chat/completions'
    async with httpx.AsyncClient(timeout=None, headers=headers) as client:
        with contextlib.suppress(httpx.HTTPError):
            async with client.stream('POST', url, json=body) as answer:
                async for _ in answer.aiter_raw():
                    await anyio.lowlevel.checkpoint()


async def play(fault, streams):
    """Return what is left of the entry, its peak and the answers sent."""
    replicas = endless_replicas.EndlessReplicas()
    options = fleet_run.Options(1, 0, start_proxy=replicas.start_proxy)
    with processes.make_processes() as children:
        async with fleet_run.open_run(
            options, lambda group: SmallDaemons(children)
        ) as run:
            entry = run.daemons.by_name['entry-1'].address
            child = children.children['entry-1']
            watch = crowds.Watch(child._process.pid)
            ordinary = run.make_caller('ordinary', 0)
            served = 0
            with anyio.move_on_after(SENDING_S):
                async with anyio.create_task_group() as group:
                    for _ in range(streams):
                        group.start_soon(ask, entry, fault)
                    while watch.memory_mb < STOP_MB:
                        served += await ordinary.probe(entry)
                        await anyio.sleep(0.1)
                    group.cancel_scope.cancel()
            found = child.is_running, watch.memory_mb, served
        replicas.close()
    print(fault.value, streams, found, replicas.answers, replicas.sent_bytes)
    return found


@pytest.mark.parametrize(('fault', 'streams'), CASES)
def test_replicas_without_end_fill_no_entry(fault, streams):
    """The process kept all that faulty replicas sent, and ran out of memory."""

    async def scenario():
        with anyio.fail_after(GUARD_S):
            return await play(fault, streams)

    is_running, peak_mb, served = anyio.run(scenario)
    assert is_running
    assert peak_mb < MEMORY_MB
    assert served
