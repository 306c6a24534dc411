"""Tells the other owners of a pool which starts this node has granted.

Load pattern: the next owner takes over at any moment, and it must know what was
granted in the last second. Starts at warm endpoints are frequent, so several go
into one datagram.
"""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    endpoint_reports,
    hold_table,
    messages,
    owner_knowledge,
    owners,
)

Send: typing.TypeAlias = collections_abc.Callable[[str, messages.Message], None]
Owners: typing.TypeAlias = collections_abc.Callable[
    [messages.Pool], collections_abc.Iterable[str]
]
# Starts that wait to be forwarded, for at most the interval of flushes. If
# their owner fails, only the nodes know them that they were granted to.
MAX_UNSENT = 4


def _send_nothing(vm: str, message: messages.Message) -> None:
    """Send nothing, as no other node is known."""


def _no_owners(pool: messages.Pool) -> tuple[str, ...]:
    return ()


@attrs.frozen
class _Start:
    pool: messages.Pool
    key: hold_table.Key
    endpoint_id: str
    started_s: float
    # Start of the endpoint's process, 0 if unknown.
    born_ms: int


@attrs.define(eq=False)
class StartForwarder:
    """Granted starts that were not forwarded yet."""

    send: Send = _send_nothing
    # The other nodes that may be asked for a pool's slots.
    others: Owners = _no_owners
    knowledge: owner_knowledge.OwnerKnowledge = attrs.field(
        factory=owner_knowledge.OwnerKnowledge
    )
    _unsent: list[_Start] = attrs.field(factory=list)

    def add(
        self,
        pool: messages.Pool,
        key: hold_table.Key,
        endpoint_id: str,
        now_s: float,
        born_ms: int = 0,
    ) -> None:
        """Forward a start that was granted now, or soon.

        born_ms is the start of the endpoint's process, 0 if unknown.
        """
        self._unsent.append(_Start(pool, key, endpoint_id, now_s, born_ms))
        if len(self._unsent) >= MAX_UNSENT:
            self.flush(now_s)

    def flush(self, now_s: float) -> None:
        """Forward all starts."""
        unsent = self._unsent
        self._unsent = []
        pools = {start.pool for start in unsent}
        for pool in pools:
            starts = tuple(
                endpoint_reports.Start(
                    start.endpoint_id,
                    start.key[1],
                    now_s - start.started_s,
                    start.key[0].vm,
                    start.key[0].born_ms,
                    start.born_ms,
                )
                for start in unsent
                if start.pool == pool
            )
            report = endpoint_reports.EndpointReport(starts=starts)
            for vm in self.others(pool):
                self.send(vm, report)

    def ask_confirmations(self, now_s: float) -> None:
        """Ask other owners whether they hear this node."""
        question = endpoint_reports.EndpointReport(asks_confirmation=True)
        for vm in self.knowledge.contacts_to_ask(now_s):
            self.send(vm, question)

    def confirm(self, vm: str) -> None:
        """Tell another owner that what it granted is known here."""
        self.send(vm, endpoint_reports.EndpointReport(is_confirmation=True))


def make_forwarder(
    local_vm: str,
    pool_owners: owners.PoolOwners,
    transport: messages.Transport,
    started_s: float,
) -> StartForwarder:
    """Return a forwarder for a node that started at a moment."""

    def others(pool: messages.Pool) -> list[str]:
        return [vm for vm in pool_owners.all_for(pool) if vm != local_vm]

    knowledge = owner_knowledge.OwnerKnowledge(
        local_vm,
        pool_owners.first_for,
        lambda: pool_owners.changed_s,
        started_s,
    )
    return StartForwarder(transport.send, others, knowledge)
