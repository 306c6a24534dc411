"""Forms, inspects and closes replicas, one task for each.

Safeguards that hold whatever is lost on the way: a member joins another
replica only once the head of its last one is known not to serve, and a head
is opened only when every member has said that it is ready under this name and
epoch. Epochs rise with each forming and each holder of the lease, so that an
order that is carried out late is refused by whoever has joined since.
"""

import typing

import anyio
import attrs

from redwingvalve.core import clock
from redwingvalve.fleet import endpoints
from redwingvalve.fleet import registry as registry_module
from redwingvalve.node import endpoint_prober
from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import endpoint_orders

LOG = logs.make_logger('replicas')
# Entries come by the watch, some milliseconds after a change.
LOOK_S = 0.02
# What a join takes beyond the load: entries, and endpoints that are busy.
JOIN_SLACK_S = 2.0
OPEN_TIMEOUT_S = 2.0
OPEN_RETRY_S = 0.05
# An endpoint that leaves finishes its requests for ten seconds at most, after
# the two in which it is known to leave.
LEAVING_S = 13.0
# Between two questions to a head that has no entry; each has a price.
ASK_S = 0.3
# A head that leaves without a word serves on for two seconds after its entry
# is gone: if it doesn't answer within the first, it has died.
GONE_KNOWN_S = 1.0
# Epochs of one holder; the next holder's begin above them.
EPOCHS_PER_TERM = 100_000

Key: typing.TypeAlias = tuple[str, int]
Result = endpoint_orders.OrderResult
_SETTLED = frozenset(
    (endpoints.MemberState.READY, endpoints.MemberState.BROKEN)
)


@attrs.frozen
class Forming:
    """A replica to be formed."""

    name: str
    epoch: int
    members: tuple[endpoints.Endpoint, ...]
    # What the slowest join takes.
    join_s: float

    @property
    def key(self) -> Key:
        """Return name and epoch."""
        return self.name, self.epoch

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Return the ids in order, the head first."""
        return tuple(member.endpoint_id for member in self.members)


class ReplicaOrders:
    """Gives the orders for one replica at a time."""

    def __init__(
        self,
        client: endpoint_orders.EndpointClient,
        prober: endpoint_prober.EndpointProber,
        registry: registry_module.Registry,
        may_order: typing.Callable[[], bool],
    ) -> None:
        """Give orders only while may_order holds."""
        self.lost: dict[tuple[str, int], float] = {}
        # Replicas whose head was told to open, whatever it answered.
        self.told_to_open: set[Key] = set()
        # The last epoch that each endpoint was told to join, obeyed or not.
        self._told_epochs: dict[tuple[str, int], int] = {}
        self._client = client
        self._prober = prober
        self._registry = registry
        self._may_order = may_order

    async def form(self, forming: Forming, opens: bool = True) -> bool:
        """Join all members and open the head; return whether it serves."""
        began_s = clock.boot_s()
        results: dict[str, Result] = {}
        async with anyio.create_task_group() as group:
            for member in forming.members:
                group.start_soon(self._join, forming, member, results)
        if not all(map(_may_hold, results.values())):
            self._log_forming(forming, 'join refused', began_s)
            return False
        until_s = clock.boot_s() + forming.join_s + JOIN_SLACK_S
        if not await self._wait(lambda: self._is_ready(forming), until_s):
            self._log_forming(forming, 'not ready in time', began_s)
            return False
        if not opens:
            return True
        is_open = await self._open(forming)
        outcome = 'replica open' if is_open else 'not opened'
        self._log_forming(forming, outcome, began_s)
        return is_open

    async def open_ready(self, replica: endpoints.Replica) -> bool:
        """Open a replica that this holder formed; return if it serves."""
        if replica.is_leaving or _may_join_elsewhere(
            replica, self._told_epochs
        ):
            return False
        if not await self._prober.are_healthy(replica.members):
            return False
        forming = Forming(replica.name, replica.epoch, replica.members, 0)
        return await self._open(forming)

    async def abandon(self, head: endpoints.Endpoint) -> bool:
        """Let a head leave its replica, so that no late order can open it.

        Returns whether it has left, or is gone.
        """
        membership = head.membership
        assert membership is not None
        until_s = clock.boot_s() + LEAVING_S
        while clock.boot_s() < until_s and self._may_order():
            result = await self._client.leave(
                head, membership.replica, membership.epoch
            )
            if result in {Result.ACCEPTED, Result.OTHER_ENDPOINT}:
                return True
            if self._is_gone(head):
                return True
            await anyio.sleep(ASK_S)
        # Orders are carried out twelve seconds late at most.
        return self._may_order()

    async def inspect(self, members: tuple[endpoints.Endpoint, ...]) -> bool:
        """Find out whether a replica is whole; close it if it isn't.

        Returns True if all members answer and belong to it. Otherwise its
        head no longer serves when this returns, or is known to be gone.
        """
        reports = await self._prober.ask_all(members)
        head = members[0]
        sound = [
            one for one in members if endpoint_prober.is_healthy(one, reports)
        ]
        if len(sound) == len(members):
            return True
        for member in members:
            if reports[member.endpoint_id] is None:
                self.lost[member.incarnation] = clock.boot_s()
        node_metrics.METRICS.count('redwingvalve_broken_replicas')
        LOG.warning(
            'replica broken',
            extra={
                'replica': _name_of(head),
                'lost': [
                    one.endpoint_id for one in members if one not in sound
                ],
            },
        )
        await self.end_serving(head, reports[head.endpoint_id])
        return False

    async def end_serving(
        self,
        head: endpoints.Endpoint,
        report: endpoint_orders.Report | None,
    ) -> None:
        """Return when a head no longer serves its replica."""
        membership = head.membership
        assert membership is not None
        until_s = clock.boot_s() + LEAVING_S
        while clock.boot_s() < until_s and self._may_order():
            if report is not None and not _serves_as(head, report.membership):
                return
            if report is None and self._is_dead(head):
                return
            if report is not None:
                await self._client.close(
                    head, membership.replica, membership.epoch, False
                )
            await anyio.sleep(LOOK_S)
            report = await self._prober.ask(head)

    async def retire(self, head: endpoints.Endpoint, began_s: float) -> None:
        """Let a replica finish its requests; return when it serves no more.

        A head that leaves stops to listen before its last requests end, so
        that only its own word, or time, shows that it has finished.
        """
        membership = head.membership
        assert membership is not None
        LOG.info('replica closes', extra={'replica': membership.replica})
        await self._client.close(
            head, membership.replica, membership.epoch, True
        )
        until_s = began_s + LEAVING_S
        while clock.boot_s() < until_s and self._may_order():
            seen = self._registry.live.get(head.endpoint_id)
            if seen is not None:
                if not _serves_as(head, seen.membership):
                    return
                await anyio.sleep(LOOK_S)
                continue
            report = await self._prober.ask(head)
            if report is not None and not _serves_as(head, report.membership):
                return
            await anyio.sleep(ASK_S)

    async def end_missing(
        self, head: endpoints.Endpoint, gone_s: float
    ) -> bool:
        """End a replica whose head's entry is gone; return if it has ended.

        A head that is asked just after its entry went and doesn't answer has
        died. One that answers leaves, or is cut off from the store.
        """
        asked_s = clock.boot_s()
        report = await self._prober.ask_surely(head, gone_s + LEAVING_S)
        if report is None and asked_s - gone_s < GONE_KNOWN_S:
            return True
        await self.retire(head, gone_s)
        return self._may_order()

    async def _join(
        self,
        forming: Forming,
        member: endpoints.Endpoint,
        results: dict[str, Result],
    ) -> None:
        result = Result.UNREACHED
        self._told_epochs[member.incarnation] = forming.epoch
        if self._may_order():
            result = await self._client.join(
                member, forming.name, forming.epoch, forming.member_ids
            )
        results[member.endpoint_id] = result
        if result in {Result.UNREACHED, Result.UNKNOWN}:
            await self._note_if_lost(member)

    async def _note_if_lost(self, member: endpoints.Endpoint) -> None:
        """Leave an endpoint alone for a while if it doesn't answer now.

        A pause of this process lets timeouts pass before answers are read.
        Taken for lost, all endpoints that were ordered just then would be left
        out of replicas for seconds after a pause of 0.3 s.
        """
        if await self._prober.ask(member) is None:
            self.lost[member.incarnation] = clock.boot_s()

    async def _open(self, forming: Forming) -> bool:
        head = forming.members[0]
        until_s = clock.boot_s() + OPEN_TIMEOUT_S
        while clock.boot_s() < until_s and self._may_order():
            if not self._is_ready(forming):
                return False
            result = await self._client.open(head, forming.name, forming.epoch)
            if result in {Result.ACCEPTED, Result.UNKNOWN}:
                # The head needs some time; until then it says it is ready.
                return await self._wait_open(forming, until_s)
            if result is not Result.CONFLICT:
                return False
            await anyio.sleep(OPEN_RETRY_S)
        return False

    async def _wait_open(self, forming: Forming, until_s: float) -> bool:
        head = forming.members[0]
        return await self._wait(
            lambda: self._is_serving(head, forming.key), until_s
        )

    async def _wait(
        self, is_done: typing.Callable[[], bool], until_s: float
    ) -> bool:
        while clock.boot_s() < until_s and self._may_order():
            if is_done():
                return True
            await anyio.sleep(LOOK_S)
        return is_done()

    def _is_ready(self, forming: Forming) -> bool:
        for member in forming.members:
            seen = self._registry.live.get(member.endpoint_id)
            if seen is None or seen.born_ms != member.born_ms:
                return False
            if seen.draining or not _is_member(seen, forming.key):
                return False
            if seen.membership.state is not endpoints.MemberState.READY:
                return False
        return True

    def _is_serving(self, head: endpoints.Endpoint, key: Key) -> bool:
        seen = self._registry.live.get(head.endpoint_id)
        if seen is None or not _is_member(seen, key):
            return False
        return seen.membership.state not in _SETTLED

    def _is_dead(self, head: endpoints.Endpoint) -> bool:
        # A dark head's entry lapses after three heartbeats; so does that of one
        # that is cut off from the store, whose answers may be lost here.
        if self._registry.may_be_leaving(head, LEAVING_S):
            return False
        if self._prober.is_doubtful():
            return False
        return self._is_gone(head)

    def _is_gone(self, head: endpoints.Endpoint) -> bool:
        seen = self._registry.live.get(head.endpoint_id)
        return seen is None or seen.born_ms != head.born_ms

    def _log_forming(
        self, forming: Forming, outcome: str, began_s: float
    ) -> None:
        took_s = clock.boot_s() - began_s
        node_metrics.METRICS.count('redwingvalve_formings', outcome=outcome)
        node_metrics.METRICS.observe(
            'redwingvalve_forming_seconds', took_s, outcome=outcome
        )
        LOG.info(
            outcome,
            extra={
                'replica': forming.name,
                'epoch': forming.epoch,
                'members': forming.member_ids,
                'took_ms': int(took_s * 1000),
            },
        )


def _may_hold(result: Result) -> bool:
    return result in {Result.ACCEPTED, Result.UNKNOWN}


def _name_of(endpoint: endpoints.Endpoint) -> str:
    return endpoint.membership.replica if endpoint.membership else ''


def _is_member(endpoint: endpoints.Endpoint, key: Key) -> bool:
    membership = endpoint.membership
    if membership is None:
        return False
    return membership.key == key


def _serves_as(
    head: endpoints.Endpoint, now: endpoints.Membership | None
) -> bool:
    was = head.membership
    if was is None or now is None:
        return False
    if was.key != now.key:
        return False
    return now.state not in _SETTLED


def _may_join_elsewhere(
    replica: endpoints.Replica, told_epochs: dict[tuple[str, int], int]
) -> bool:
    """Return whether a later order to join may still reach a member.

    Orders are carried out up to twelve seconds late, and those of an earlier
    holder aren't known here: a member would leave a replica that was opened
    meanwhile. Only the newest epoch refuses all of them.
    """
    return any(
        told_epochs.get(member.incarnation) != replica.epoch
        for member in replica.members
    )
