"""The lease that allows one node at a time to send orders to endpoints.

Load pattern: the holder is killed, freezes, or loses the store, and endpoints
die meanwhile. The lease is short, because no replica is repaired until it has
expired. Clocks of different nodes are never compared: the holder counts the
lease from before it sent the renewal, and others wait a full lease duration
after they last read the lease or received word of a renewal.

The lease is acquired only by a conditional write on its revision, so that two
nodes can't both succeed. A holder that resumes after a pause finds by its own
clock that the lease has expired before it sends any order; that clock keeps
running while the VM is suspended.
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
# A lost replica member is replaced about a second after it is detected; the
# death of the holder should not add much to that. Three consecutive renewals
# may fail before the lease expires.
LEASE_DURATION_S = 1.6
RENEW_INTERVAL_S = 0.4
# Allows for clock drift and for the transit time of the holder's last message.
CLOCK_MARGIN_S = 0.15
# Delay per rank between the nodes that try to acquire a free lease.
ACQUIRE_STAGGER_S = 0.08


@attrs.define(eq=False)
class Lease:
    """This node's view of the lease."""

    vm: str
    client: store.StoreClient
    revision: int = 0
    term: int = 0
    held_until_s: float = 0.0
    is_releasing: bool = False
    # Released by a node that runs on, until another node acquires it.
    is_handed_over: bool = False
    # Whether this node is able to carry out a holder's work.
    may_hold: typing.Callable[[], bool] = lambda: True
    # The store's revision at which this node acquired the lease.
    acquired_revision: int = 0
    # From the latest message about another holder: the lease's revision, and
    # until when, by the boot clock, it counts as held.
    observed_revision: int = 0
    observed_until_s: float = 0.0
    # Called after each renewal, so that other nodes learn the new revision.
    on_renewed: typing.Callable[[], None] | None = None
    on_acquired: typing.Callable[[], None] | None = None

    def is_held(self) -> bool:
        """Return whether this node may send orders now."""
        return clock.boot_s() < self.held_until_s

    def has_known_holder(self) -> bool:
        """Return whether this node or a recently observed one holds it."""
        return self.is_held() or clock.boot_s() < self.observed_until_s

    def left_ms(self) -> int:
        """Return the time until this node's lease expires, 0 if not held."""
        return max(0, int((self.held_until_s - clock.boot_s()) * 1000))

    def observed_left_ms(self) -> int:
        """Return the time until the observed holder's lease expires."""
        left_s = self.observed_until_s - CLOCK_MARGIN_S - clock.boot_s()
        return max(0, int(left_s * 1000))

    def observe(self, revision: int, left_ms: int) -> None:
        """Process a holder's message about its lease.

        A message with a known revision never extends the lease. A holder that
        has released it repeats that ten times a second while it finishes its
        requests; if the margin were added anew to each message, no node could
        send orders until that holder had exited, seconds later.
        """
        if revision < self.observed_revision:
            return
        if revision > self.revision:
            self.is_handed_over = False
        until_s = clock.boot_s() + left_ms / 1000 + CLOCK_MARGIN_S
        if revision == self.observed_revision:
            until_s = min(until_s, self.observed_until_s)
        self.observed_revision = revision
        self.observed_until_s = until_s

    async def run(self, rank: typing.Callable[[], int]) -> typing.NoReturn:
        """Acquire and renew the lease until cancelled.

        rank returns how many other nodes take precedence in acquiring it.
        """
        while True:
            try:
                await self._step(rank)
            except store.ConflictError as error:
                self._handle_conflict(error.current)
            except store.StoreError as error:
                LOG.warning('no answer', extra={'error': str(error)})
                await anyio.sleep(RENEW_INTERVAL_S / 2)

    async def release(self) -> None:
        """Release the lease, so that another node can acquire it at once."""
        self.is_releasing = True
        if not self.is_held():
            return
        self.held_until_s = 0
        try:
            await self._write_release()
        except store.StoreError as error:
            LOG.warning('lease not released', extra={'error': str(error)})

    async def _write_release(self) -> None:
        """Write that nobody holds the lease; raises StoreError.

        A renewal that was under way may have been executed first.
        """
        try:
            stored = await self._write(holder='')
        except store.ConflictError as error:
            if not self._is_own(error.current):
                raise
            self.revision = store.revision_of(error.current)
            stored = await self._write(holder='')
        self.revision = store.revision_of(stored)

    def _is_own(self, stored: store.Document | None) -> bool:
        """Return whether an object was written by this holder, in its term."""
        if stored is None or not stored.get('metadata'):
            return False
        spec = stored['spec']
        return bool(spec['holder'] == self.vm and spec['term'] == self.term)

    async def _step(self, rank: typing.Callable[[], int]) -> None:
        if self.is_releasing:
            await anyio.sleep(LEASE_DURATION_S)
        elif not self.may_hold():
            await self._hand_over()
        elif self.is_held():
            await self._renew()
        elif self.has_known_holder():
            await anyio.sleep(max(0, self.observed_until_s - clock.boot_s()))
        else:
            await anyio.sleep(ACQUIRE_STAGGER_S * rank())
            await self._try_acquire()

    async def _hand_over(self) -> None:
        """Let another node acquire the lease, if this one holds it."""
        if self.is_held():
            LOG.warning('lease handed over', extra={'term': self.term})
            self.held_until_s = 0
            await self._write_release()
            self.is_handed_over = True
            self._notify_renewed()
        await anyio.sleep(RENEW_INTERVAL_S)

    async def _renew(self) -> None:
        began_s = clock.boot_s()
        stored = await self._write(self.vm)
        if self.is_releasing:
            return
        self.revision = store.revision_of(stored)
        self.held_until_s = began_s + LEASE_DURATION_S
        self._notify_renewed()
        await anyio.sleep(RENEW_INTERVAL_S)

    async def _try_acquire(self) -> None:
        if clock.boot_s() < self.observed_until_s:
            return
        stored = await self.client.read(LEASE_KIND, LEASE_NAME)
        if stored is None:
            began_s = clock.boot_s()
            self.term = 1
            created = await self.client.create(
                LEASE_KIND, LEASE_NAME, self._spec(self.vm)
            )
            self._acquired(created, began_s)
            return
        spec = stored['spec']
        revision = store.revision_of(stored)
        # The holder is empty once the lease is released. This VM's own name is
        # that of its previous process, which has exited: otherwise this one
        # could not have bound its sockets.
        is_free = spec['holder'] in {'', self.vm}
        if not is_free and revision != self.observed_revision:
            # Renewed since the last message from its holder: it may be held
            # for a full lease duration from now.
            self.observe(revision, int(LEASE_DURATION_S * 1000))
            return
        if not is_free and self.has_known_holder():
            # The holder's message arrived while the object was being read.
            # Without this check, a process that has just started acquires a
            # lease that is held, and two nodes send orders to the same
            # endpoints.
            return
        self.revision = revision
        self.term = int(spec['term']) + 1
        began_s = clock.boot_s()
        self._acquired(await self._write(self.vm), began_s)

    def _acquired(self, stored: store.Document, began_s: float) -> None:
        self.revision = store.revision_of(stored)
        self.held_until_s = began_s + LEASE_DURATION_S
        self.acquired_revision = self.revision
        self.is_handed_over = False
        LOG.info('lease taken', extra={'term': self.term})
        self._notify_renewed()
        if self.on_acquired is not None:
            self.on_acquired()

    def _notify_renewed(self) -> None:
        if self.on_renewed is not None:
            self.on_renewed()

    def _handle_conflict(self, current: store.Document | None) -> None:
        was_held = self.held_until_s > 0
        self.held_until_s = 0
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
            # This node's own write, whose response was lost: no other node
            # holds the lease, and it can be acquired at this revision.
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
        # The time makes each renewal a change, so that the store assigns a new
        # revision.
        return {
            'holder': holder,
            'term': self.term,
            'renewed_ns': time.monotonic_ns(),
        }
