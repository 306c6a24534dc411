"""The lease on giving orders, held by one node at a time.

Load pattern: the holder is killed, freezes, or loses the store, and endpoints
die meanwhile. The term is short, since nothing is mended until it is over.
No clocks are compared: the holder counts its term from before it sent the
renewal, and others wait the whole term after they last saw or heard of one.
A write under the lease's revision is the only way to take it, so that two
nodes can't both succeed; a holder that wakes from a pause finds its term over
by its own clock before it orders anything. That clock goes on while the VM is
suspended.
"""

import time
import typing

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('lease')
LEASE_KIND = 'redwingvalve-leases'
LEASE_NAME = 'orders'
# A loss is mended about a second after it is seen; a holder that dies should
# not cost much more. Three renewals may be lost before the term is over.
LEASE_DURATION_S = 1.6
RENEW_S = 0.4
# Clocks that run apart, and the flight of what a holder has just sent.
MARGIN_S = 0.15
# Between the nodes that would take a free lease.
STAGGER_S = 0.08


@attrs.define(eq=False)
class Lease:
    """This node's view of the lease."""

    vm: str
    client: store.StoreClient
    revision: int = 0
    term: int = 0
    until_s: float = 0.0
    is_releasing: bool = False
    # The store's revision when this node took the lease.
    acquired_revision: int = 0
    # What the holder said last: its revision, and until when it holds.
    observed_revision: int = 0
    observed_until_s: float = 0.0
    # Called after each renewal, so that others know its revision.
    on_renewed: typing.Callable[[], None] | None = None
    on_acquired: typing.Callable[[], None] | None = None

    def is_held(self) -> bool:
        """Return whether this node may give orders now."""
        return clock.boot_s() < self.until_s

    def has_known_holder(self) -> bool:
        """Return whether this node or one that was heard lately holds it."""
        return self.is_held() or clock.boot_s() < self.observed_until_s

    def left_ms(self) -> int:
        """Return for how long this node still holds the lease."""
        return max(0, int((self.until_s - clock.boot_s()) * 1000))

    def observed_left_ms(self) -> int:
        """Return for how long the holder that was heard of still holds it."""
        left_s = self.observed_until_s - MARGIN_S - clock.boot_s()
        return max(0, int(left_s * 1000))

    def observe(self, revision: int, left_ms: int) -> None:
        """Take a holder's word.

        Words of one revision never make its term longer: a holder that has
        released the lease says so ten times a second while it finishes its
        requests, and with the margin counted from each word nobody would
        order anything until it has ended, seconds later.
        """
        if revision < self.observed_revision:
            return
        until_s = clock.boot_s() + left_ms / 1000 + MARGIN_S
        if revision == self.observed_revision:
            until_s = min(until_s, self.observed_until_s)
        self.observed_revision = revision
        self.observed_until_s = until_s

    async def run(self, rank: typing.Callable[[], int]) -> typing.NoReturn:
        """Take, keep and lose the lease until cancelled.

        rank says how many other nodes would rather take it.
        """
        while True:
            try:
                await self._step(rank)
            except store.ConflictError as error:
                self._conflict(error.current)
            except store.StoreError as error:
                LOG.warning('no answer', extra={'error': str(error)})
                await anyio.sleep(RENEW_S / 2)

    async def release(self) -> None:
        """Give the lease up, so that another node needs not wait."""
        self.is_releasing = True
        if not self.is_held():
            return
        self.until_s = 0
        try:
            stored = await self._write(holder='')
            self.revision = store.revision_of(stored)
        except store.StoreError as error:
            LOG.warning('not released', extra={'error': str(error)})

    async def _step(self, rank: typing.Callable[[], int]) -> None:
        if self.is_releasing:
            await anyio.sleep(LEASE_DURATION_S)
        elif self.is_held():
            await self._renew()
        elif self.has_known_holder():
            await anyio.sleep(max(0, self.observed_until_s - clock.boot_s()))
        else:
            await anyio.sleep(STAGGER_S * rank())
            await self._try_take()

    async def _renew(self) -> None:
        began_s = clock.boot_s()
        stored = await self._write(self.vm)
        if self.is_releasing:
            return
        self.revision = store.revision_of(stored)
        self.until_s = began_s + LEASE_DURATION_S
        self._say()
        await anyio.sleep(RENEW_S)

    async def _try_take(self) -> None:
        if clock.boot_s() < self.observed_until_s:
            return
        stored = await self.client.read(LEASE_KIND, LEASE_NAME)
        if stored is None:
            began_s = clock.boot_s()
            self.term = 1
            made = await self.client.create(
                LEASE_KIND, LEASE_NAME, self._spec(self.vm)
            )
            self._taken(made, began_s)
            return
        spec = stored['spec']
        revision = store.revision_of(stored)
        # Empty when released. Our own name is that of this VM's last process,
        # which has ended, or this one could not listen.
        is_free = spec['holder'] in {'', self.vm}
        if not is_free and revision != self.observed_revision:
            # Renewed after it was last heard of: the whole term counts anew.
            self.observe(revision, int(LEASE_DURATION_S * 1000))
            return
        if not is_free and self.has_known_holder():
            # The holder's word came while the object was read. Without this
            # look, a process that has just started takes a lease that is held,
            # and two nodes order the same endpoints about.
            return
        self.revision = revision
        self.term = int(spec['term']) + 1
        began_s = clock.boot_s()
        self._taken(await self._write(self.vm), began_s)

    def _taken(self, stored: store.Document, began_s: float) -> None:
        self.revision = store.revision_of(stored)
        self.until_s = began_s + LEASE_DURATION_S
        self.acquired_revision = self.revision
        LOG.info('lease taken', extra={'term': self.term})
        self._say()
        if self.on_acquired is not None:
            self.on_acquired()

    def _say(self) -> None:
        if self.on_renewed is not None:
            self.on_renewed()

    def _conflict(self, current: store.Document | None) -> None:
        was_held = self.until_s > 0
        self.until_s = 0
        if was_held:
            LOG.warning('lease lost', extra={'term': self.term})
        if current is None:
            return
        metadata = current.get('metadata')
        if not metadata:
            return
        spec = current['spec']
        revision = store.revision_of(current)
        if spec['holder'] == self.vm and spec['term'] == self.term:
            # Our own write, whose answer was lost: it may be renewed from
            # here, and nobody else holds the lease.
            self.revision = revision
            self.observed_revision = revision
            self.observed_until_s = 0
            return
        if spec['holder']:
            self.observe(revision, int(LEASE_DURATION_S * 1000))

    async def _write(self, holder: str) -> store.Document:
        return await self.client.replace(
            LEASE_KIND, LEASE_NAME, self._spec(holder), self.revision
        )

    def _spec(self, holder: str) -> store.Document:
        # The time makes each renewal a change, which takes a new revision.
        return {
            'holder': holder,
            'term': self.term,
            'renewed_ns': time.monotonic_ns(),
        }
