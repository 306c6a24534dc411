"""The lease changes holders only once it has expired or been released."""

import anyio
import attrs
import pytest

from redwingvalve.node import lease as lease_module
from redwingvalve.platform import store

HELD_SPEC = {'holder': 'vm-1', 'term': 3}


@attrs.define(eq=False)
class Client:
    """A store with one object; on_read is called while it is being read."""

    revision: int = 40
    spec: dict = attrs.field(factory=lambda: dict(HELD_SPEC))
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


def run_briefly(client, lease):
    """Run the lease of a process that has just started for 50 ms."""

    async def main():
        with anyio.move_on_after(0.05):
            await lease.run(lambda: 0)

    anyio.run(main)


def test_a_holder_message_received_during_the_read_prevents_acquisition():
    """No VM is in two replicas when a node starts beside the lease holder.

    The new process has received no messages yet and reads the lease. While the
    read is under way, the holder's message with the same revision arrives. If
    the lease were acquired now, two nodes would send orders to the same
    endpoints until the old holder noticed.
    """
    client = Client()
    lease = lease_module.Lease('vm-2', client)
    client.on_read = lambda: lease.observe(client.revision, 1500)
    run_briefly(client, lease)
    assert not lease.is_held()
    assert client.spec == HELD_SPEC


@pytest.mark.parametrize('holder', ['', 'vm-2'])
def test_a_free_lease_is_acquired_at_once(holder):
    client = Client(spec={'holder': holder, 'term': 3})
    lease = lease_module.Lease('vm-2', client)
    run_briefly(client, lease)
    assert lease.is_held()
    assert lease.term == 4


def test_a_lease_of_unknown_age_counts_as_held_for_its_full_duration():
    client = Client()
    lease = lease_module.Lease('vm-2', client)
    run_briefly(client, lease)
    assert not lease.is_held()
    assert lease.has_known_holder()


def test_a_released_lease_is_acquired_while_its_last_holder_still_sends():
    """Replicas are repaired while a node that was told to stop finishes.

    The holder releases the lease and serves its last requests for seconds,
    reporting ten times a second that the lease has no time left. Each message
    used to delay the other nodes by the margin, so that no node sent orders
    for five seconds.
    """
    client = Client(spec={'holder': '', 'term': 3})
    lease = lease_module.Lease('vm-2', client)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(lease.run, lambda: 0)
            for _ in range(6):
                lease.observe(client.revision, 0)
                await anyio.sleep(lease_module.CLOCK_MARGIN_S / 2)
                if lease.is_held():
                    break
            group.cancel_scope.cancel()

    anyio.run(main)
    assert client.spec['holder'] == 'vm-2'


def test_a_lease_that_expires_between_two_clock_readings_is_acquired(
    monkeypatch,
):
    """The loop goes on when the lease expires before the sleep is computed.

    A negative duration made sleep raise ValueError, which stopped the repair of
    replicas on this node until it was restarted.
    """
    readings_s = iter((10.0, 10.0, 10.0, 10.2))
    monkeypatch.setattr(
        lease_module.clock, 'boot_s', lambda: next(readings_s, 10.2)
    )
    lease = lease_module.Lease('vm-2', Client(spec={'holder': '', 'term': 3}))
    lease.observed_until_s = 10.1
    run_briefly(lease.client, lease)
    assert lease.is_held()


@attrs.define(eq=False)
class SlowClient(Client):
    """A store that executes writes late, in order, and checks revisions."""

    async def replace(self, kind, name, spec, revision):
        await anyio.sleep(0.01)
        if revision != self.revision:
            raise store.ConflictError(self._stored())
        return await super().replace(kind, name, spec, revision)


def test_a_lease_released_during_its_renewal_is_free_at_once():
    """Otherwise no replica is repaired until it has run out."""
    client = SlowClient(spec={'holder': '', 'term': 3})
    lease = lease_module.Lease('vm-1', client)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(lease.run, lambda: 0)
            while not lease.is_held():
                await anyio.sleep(0.001)
            # The first renewal is under way.
            await anyio.sleep(0.003)
            await lease.release()
            assert client.spec['holder'] == ''
            await anyio.sleep(0.05)
            assert client.spec['holder'] == ''
            group.cancel_scope.cancel()

    anyio.run(main)


def test_a_lease_that_another_node_holds_is_not_released():
    """This node was cut off, and its lease ran out meanwhile."""
    client = SlowClient(revision=41, spec={'holder': 'vm-2', 'term': 4})
    lease = lease_module.Lease('vm-1', client, revision=40, term=3)
    lease.held_until_s = float('inf')
    anyio.run(lease.release)
    assert client.spec == {'holder': 'vm-2', 'term': 4}
