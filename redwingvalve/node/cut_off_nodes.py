"""The nodes that say that they reach no endpoint.

Load pattern: a data centre loses its links to all endpoints. Each of its nodes
finds that out about itself, by a request that fails. Without word of the others
it asks them to take over its requests, one by one, and the nodes that get few
requests don't know of their own cut.

A node states in its status messages that it is cut off. In a large fleet hubs
report the nodes of their data centre to other hubs and to their spokes, as one
list of hashes that replaces the one before: a lost message leaves nothing
outdated for longer than a report interval. What is known is a hint: the asked
node decides.

Cost: nothing while no node is cut off. A report takes 4 bytes a node, in one
message a second for each recipient of a hub while the list doesn't change, and
in regular messages only.
"""

import functools
import time
import typing

import attrs
import xxhash

# A statement or a report is ignored after this time: several were lost.
HOLD_S = 3.0
# Names whose hashes are kept.
MAX_HASHED = 2048
_MS_IN_S = 1000


@attrs.frozen
class Report:
    """The nodes of a data centre that are cut off, by hash."""

    as_of_s: float
    nodes: frozenset[int]


@attrs.frozen
class _Statement:
    heard_s: float
    is_cut_off: bool


@attrs.define(eq=False)
class CutOffNodes:
    """Statements of nodes, and reports of hubs; times are monotonic."""

    # Called when nodes are cut off that weren't before.
    on_news: typing.Callable[[], None] | None = None
    _statements: dict[str, _Statement] = attrs.field(factory=dict)
    _reports: dict[str, Report] = attrs.field(factory=dict)

    def is_cut_off(self, vm: str, data_centre: str) -> bool:
        """Return whether a node reaches no endpoint, as far as is known."""
        since_s = time.monotonic() - HOLD_S
        statement = self._statements.get(vm)
        report = self._reports.get(data_centre)
        stated_s = statement.heard_s if statement else since_s
        reported_s = report.as_of_s if report else since_s
        if report is not None and reported_s > max(stated_s, since_s):
            return hash_of(vm) in report.nodes
        if statement is None or stated_s <= since_s:
            return False
        return statement.is_cut_off

    def record(self, vm: str, *, is_cut_off: bool) -> None:
        """Record what a node has stated."""
        known = self._statements.get(vm)
        if known is None and not is_cut_off:
            return
        self._statements[vm] = _Statement(time.monotonic(), is_cut_off)
        was_cut_off = known is not None and known.is_cut_off
        if is_cut_off and not was_cut_off:
            self._notify()

    def record_taken(self, vm: str) -> None:
        """Record that a node took a request, whatever it is reported to be."""
        self._statements[vm] = _Statement(time.monotonic(), is_cut_off=False)

    def forget(self, vm: str) -> None:
        """Forget a node that is gone."""
        self._statements.pop(vm, None)

    def stated(self) -> set[str]:
        """Return the nodes that have stated that they are cut off."""
        since_s = time.monotonic() - HOLD_S
        return {
            vm
            for vm, statement in self._statements.items()
            if statement.is_cut_off and statement.heard_s > since_s
        }

    def apply(self, message: typing.Any, local_vm: str) -> None:
        """Apply the reports in a hub's status message."""
        now_s = time.monotonic()
        news: set[int] = set()
        for entry in message.cut_off_reports or ():
            as_of_s = now_s - (entry.age_ms or 0) / _MS_IN_S
            data_centre = entry.data_centre or ''
            known = self._reports.get(data_centre)
            if known is not None and known.as_of_s >= as_of_s:
                continue
            nodes = frozenset(entry.nodes or ())
            news |= nodes if known is None else nodes - known.nodes
            self._reports[data_centre] = Report(as_of_s, nodes)
        if news - {hash_of(local_vm)}:
            self._notify()

    def reports(self) -> dict[str, Report]:
        """Return the reports of hubs that still hold, by data centre."""
        since_s = time.monotonic() - HOLD_S
        return {
            data_centre: report
            for data_centre, report in self._reports.items()
            if report.as_of_s > since_s
        }

    def _notify(self) -> None:
        if self.on_news is not None:
            self.on_news()


@functools.lru_cache(maxsize=MAX_HASHED)
def hash_of(vm: str) -> int:
    """Return the hash of a node's name, a signed number of 32 bits."""
    unsigned = xxhash.xxh32_intdigest(vm.encode())
    return unsigned - (1 << 32) if unsigned >> 31 else unsigned
