"""Records which slots at endpoints are held, and by which node.

Load pattern: nodes die while they hold slots, and datagrams that release slots
are lost. A slot is held for as long as its holder reports it: a slot that the
holder leaves out of its holdings is freed, and so is one that it has not
reported for HOLD_TIMEOUT_S.
"""

import types
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import messages

# Tolerates the loss of three reports in a row.
HOLD_TIMEOUT_S = 2.0
# Holdings sent before a grant arrived do not include it, so a missing hold
# that is younger than this is kept.
GRANT_FLIGHT_S = 0.3

Key = tuple[messages.Sender, int]
_NO_ACCOUNTS: typing.Final = types.MappingProxyType[int, str]({})
_NO_STARTS: typing.Final = types.MappingProxyType[int, int]({})


@attrs.define
class Hold:
    """A slot at an endpoint that a node holds."""

    endpoint_id: str
    since_s: float
    confirmed_s: float
    # The request probes an endpoint that is out of use.
    is_probe: bool = False
    # The client account, empty if none.
    account: str = ''
    # Start of the endpoint's process, 0 if unknown.
    born_ms: int = 0


def _ignore_change(account: str, by: int) -> None:
    """Ignore a change, as no client accounts are counted."""


class HoldTable:
    """The held slots of one pool."""

    def __init__(self) -> None:
        """Start with all slots free."""
        self._holds: dict[Key, Hold] = {}
        self._counts: dict[str, int] = {}
        self._numbers_by_sender: dict[messages.Sender, set[int]] = {}
        # Called with the client account and the change of its held slots.
        self.on_change: collections_abc.Callable[[str, int], None] = (
            _ignore_change
        )

    def __len__(self) -> int:
        """Return the number of held slots."""
        return len(self._holds)

    def counts(self) -> collections_abc.Mapping[str, int]:
        """Return the numbers of held slots, by endpoint with any."""
        return types.MappingProxyType(self._counts)

    def count(self, endpoint_id: str) -> int:
        """Return the number of held slots at an endpoint."""
        return self._counts.get(endpoint_id, 0)

    def find(self, key: Key) -> Hold | None:
        """Return the hold that was granted for an ask, or None."""
        return self._holds.get(key)

    def add(
        self,
        key: Key,
        endpoint_id: str,
        now_s: float,
        *,
        is_probe: bool = False,
        account: str = '',
        born_ms: int = 0,
    ) -> None:
        """Record a hold in place of an older one with the same key."""
        self.release(key)
        self._holds[key] = Hold(
            endpoint_id, now_s, now_s, is_probe, account, born_ms
        )
        self.on_change(account, 1)
        self._counts[endpoint_id] = self.count(endpoint_id) + 1
        sender, number = key
        self._numbers_by_sender.setdefault(sender, set()).add(number)

    def release(self, key: Key) -> Hold | None:
        """Free a slot and return its hold, or None if it was not held."""
        hold = self._holds.pop(key, None)
        if hold is None:
            return None
        self.on_change(hold.account, -1)
        remaining = self.count(hold.endpoint_id) - 1
        if remaining:
            self._counts[hold.endpoint_id] = remaining
        else:
            self._counts.pop(hold.endpoint_id)
        sender, number = key
        numbers = self._numbers_by_sender[sender]
        numbers.discard(number)
        if not numbers:
            self._numbers_by_sender.pop(sender)
        return hold

    def reconcile(
        self,
        sender: messages.Sender,
        endpoint_ids: dict[int, str],
        now_s: float,
        accounts: collections_abc.Mapping[int, str] = _NO_ACCOUNTS,
        born_ms: collections_abc.Mapping[int, int] = _NO_STARTS,
    ) -> None:
        """Replace the holds of a node, but for new ones, with its report.

        born_ms are the starts of the endpoints' processes, as far as known.
        """
        for number in tuple(self._numbers_by_sender.get(sender, ())):
            hold = self._holds[sender, number]
            is_reported = number in endpoint_ids
            if not is_reported and now_s - hold.since_s > GRANT_FLIGHT_S:
                self.release((sender, number))
        for number, endpoint_id in endpoint_ids.items():
            known = self._holds.get((sender, number))
            if known is not None and known.endpoint_id == endpoint_id:
                known.confirmed_s = now_s
                known.born_ms = born_ms.get(number, known.born_ms)
                continue
            self.add(
                (sender, number),
                endpoint_id,
                now_s,
                account=accounts.get(number, ''),
                born_ms=born_ms.get(number, 0),
            )

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Free the slots of an endpoint's processes but that of born_ms."""
        keys = [
            key
            for key, hold in self._holds.items()
            if hold.endpoint_id == endpoint_id
            and not (born_ms and hold.born_ms == born_ms)
        ]
        for key in keys:
            self.release(key)

    def drop_node(self, vm: str) -> bool:
        """Free all slots of a node; return whether it held any."""
        keys = [key for key in self._holds if key[0].vm == vm]
        for key in keys:
            self.release(key)
        return bool(keys)

    def drop_expired(self, now_s: float) -> bool:
        """Free slots not reported in time; return whether there were any."""
        expired = [
            key
            for key, hold in self._holds.items()
            if now_s - hold.confirmed_s > HOLD_TIMEOUT_S
        ]
        for key in expired:
            self.release(key)
        return bool(expired)
