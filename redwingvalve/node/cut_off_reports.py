"""Tells other nodes which nodes reach no endpoint."""

import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import reachability
from redwingvalve.node import cut_off_nodes, status_messages
from redwingvalve.node import peers as peers_module

# Between two reports of the same list; a list that has become empty is
# reported for as long.
REPORT_INTERVAL_S = 1.0
# Hashes in one message, which keep it within two packets.
MAX_REPORTED = 360
_MS_IN_S = 1000
_NO_REPORT = cut_off_nodes.Report(0.0, frozenset())


@attrs.define(eq=False)
class ReportSchedule:
    """Decides which reports the next message to some recipients carries."""

    _sent: dict[str, cut_off_nodes.Report] = attrs.field(factory=dict)
    _changed_s: dict[str, float] = attrs.field(factory=dict)

    def next_messages(
        self, reports: collections_abc.Mapping[str, cut_off_nodes.Report]
    ) -> list[typing.Any]:
        """Return the reports that are due; each counts as sent."""
        now_s = time.monotonic()
        due = []
        for data_centre, report in reports.items():
            size = sum(len(one.nodes) for one in due) + len(report.nodes)
            is_too_large = due and size > MAX_REPORTED
            if is_too_large or not self._is_due(data_centre, report, now_s):
                continue
            self._sent[data_centre] = cut_off_nodes.Report(now_s, report.nodes)
            age_ms = int(max(0.0, now_s - report.as_of_s) * _MS_IN_S)
            due.append(
                status_messages.CutOffReport(
                    data_centre=data_centre,
                    age_ms=age_ms,
                    nodes=sorted(report.nodes),
                )
            )
        return due

    def _is_due(
        self, data_centre: str, report: cut_off_nodes.Report, now_s: float
    ) -> bool:
        sent = self._sent.get(data_centre, _NO_REPORT)
        if report.nodes != sent.nodes:
            self._changed_s[data_centre] = now_s
            return True
        if report.nodes:
            return now_s - sent.as_of_s >= REPORT_INTERVAL_S
        changed_s = self._changed_s.get(data_centre)
        return changed_s is not None and now_s - changed_s < REPORT_INTERVAL_S


@attrs.define(eq=False)
class CutOffReports:
    """Reports that a hub sends to other hubs and to its spokes."""

    peers: peers_module.Peers
    reach: reachability.EndpointReach
    _to_hubs: ReportSchedule = attrs.field(factory=ReportSchedule)
    _to_spokes: ReportSchedule = attrs.field(factory=ReportSchedule)

    def add_to(self, message: typing.Any, *, with_hub_updates: bool) -> None:
        """Add the reports that are due to a message of this hub.

        Messages to spokes contain those of other data centres' hubs.
        """
        reports = {self.peers.local.data_centre: self._own_report()}
        schedule = self._to_hubs
        if with_hub_updates:
            reports = self.peers.cut_off.reports() | reports
            schedule = self._to_spokes
        message.cut_off_reports = schedule.next_messages(reports) or None

    def _own_report(self) -> cut_off_nodes.Report:
        local = self.peers.local
        names = [
            vm
            for vm in self.peers.cut_off.stated()
            if self._data_centre_of(vm) == local.data_centre
        ]
        if self.reach.is_cut_off:
            names.append(local.vm)
        return cut_off_nodes.Report(
            time.monotonic(), frozenset(map(cut_off_nodes.hash_of, names))
        )

    def _data_centre_of(self, vm: str) -> str | None:
        peer = self.peers.known.get(vm)
        return None if peer is None else peer.address.data_centre


@attrs.define(eq=False)
class CutOffBroadcast(reachability.ReachObserver):
    """Has this node's status sent when it is cut off, or no longer."""

    broadcast: typing.Callable[[], None]
    _was_cut_off: bool = False

    def reach_checked(self, began_s: float, *, is_cut_off: bool) -> None:
        """Send the status without delay if the result has changed."""
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            self.broadcast()
