"""The lease changes hands only when its term is over."""

import anyio
import attrs
import pytest

from redwingvalve.node import lease as lease_module

HELD = {'holder': 'vm-1', 'term': 3}


@attrs.define(eq=False)
class Client:
    """A store with one object; something happens while it is read."""

    revision: int = 40
    spec: dict = attrs.field(factory=lambda: dict(HELD))
    on_read: object = None

    async def read(self, kind, name):
        if self.on_read is not None:
            self.on_read()
        return self._stored()

    async def replace(self, kind, name, spec, revision):
        assert revision == self.revision
        self.spec = spec
        self.revision += 1
        return self._stored()

    def _stored(self):
        return {'metadata': {'revision': self.revision}, 'spec': self.spec}


def try_once(client, found):
    """Let a process that has just started look at the lease once."""

    async def main():
        with anyio.move_on_after(0.05):
            await found.run(lambda: 0)

    anyio.run(main)


def test_a_word_that_comes_during_the_read_is_heeded():
    """No VM is in two replicas when a node starts beside a living holder.

    The new process has heard nothing and reads the lease. The holder's word
    with the same revision comes meanwhile. Taken now, two nodes would order
    the same endpoints about until the old holder notices.
    """
    client = Client()
    found = lease_module.Lease('vm-2', client)
    client.on_read = lambda: found.observe(client.revision, 1500)
    try_once(client, found)
    assert not found.is_held()
    assert client.spec == HELD


@pytest.mark.parametrize('holder', ['', 'vm-2'])
def test_a_free_lease_is_taken_at_once(holder):
    client = Client(spec={'holder': holder, 'term': 3})
    found = lease_module.Lease('vm-2', client)
    try_once(client, found)
    assert found.is_held()
    assert found.term == 4


def test_a_lease_of_unknown_age_is_left_for_a_whole_term():
    client = Client()
    found = lease_module.Lease('vm-2', client)
    try_once(client, found)
    assert not found.is_held()
    assert found.has_known_holder()


def test_a_released_lease_is_free_while_its_last_holder_still_speaks():
    """Replicas are mended while a node that was told to stop finishes.

    The holder gives the lease up and serves its last requests for seconds; it
    says ten times a second that the lease has no time left. Each word used to
    put off the others by the margin: for five seconds nobody gave orders.
    """
    client = Client(spec={'holder': '', 'term': 3})
    found = lease_module.Lease('vm-2', client)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(found.run, lambda: 0)
            for _ in range(6):
                found.observe(client.revision, 0)
                await anyio.sleep(lease_module.MARGIN_S / 2)
                if found.is_held():
                    break
            group.cancel_scope.cancel()

    anyio.run(main)
    assert client.spec['holder'] == 'vm-2'


def test_a_lease_that_lapses_between_two_looks_at_the_clock_is_taken(
    monkeypatch,
):
    """The loop goes on when the term ends just before its sleep is counted.

    A negative sleep raised ValueError, which stopped all that mends replicas
    on this node until it was started anew.
    """
    readings_s = iter((10.0, 10.0, 10.0, 10.2))
    monkeypatch.setattr(
        lease_module.clock, 'boot_s', lambda: next(readings_s, 10.2)
    )
    found = lease_module.Lease('vm-2', Client(spec={'holder': '', 'term': 3}))
    found.observed_until_s = 10.1
    try_once(found.client, found)
    assert found.is_held()
