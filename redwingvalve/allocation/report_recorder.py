"""Applies what nodes report of endpoints to what an owner of pools knows.

Load pattern: an endpoint restarts under its id, and nodes that don't know yet
repeat what its previous process stated for seconds.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import (
    cold_starts,
    endpoint_reports,
    messages,
    rate_limits,
    start_forwarder,
)
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('allocation')


@attrs.frozen(eq=False)
class ReportRecorder:
    """What an owner knows of endpoints from reports."""

    limits: rate_limits.RateLimits
    cold: cold_starts.ColdStarts
    forwarder: start_forwarder.StartForwarder
    # Takes an endpoint that leaves out of the targets.
    mark_leaving: collections_abc.Callable[[str, int], None]
    # Whether an endpoint's process that started then is a previous one.
    is_past: collections_abc.Callable[[str, int], bool]

    def record(
        self,
        sender: messages.Sender,
        report: endpoint_reports.EndpointReport,
        now_s: float,
    ) -> None:
        """Apply a report, except for what is about previous processes."""
        if report.is_confirmation:
            self.forwarder.knowledge.record_confirmation(sender.vm, now_s)
        if report.asks_confirmation:
            self.forwarder.confirm(sender.vm)
        for endpoint_id, born_ms in report.leaving_processes():
            self.mark_leaving(endpoint_id, born_ms)
        for limit in report.limits:
            self._record_limit(sender, limit, now_s)
        for start in report.starts:
            self._record_start(sender, start, now_s)
        for mark in report.cold:
            if not self.is_past(mark.endpoint_id, mark.born_ms):
                self.cold.endpoints.record(
                    mark.endpoint_id, mark.born_ms, mark.left_s
                )

    def _record_limit(
        self,
        sender: messages.Sender,
        limit: endpoint_reports.StatedLimit,
        now_s: float,
    ) -> None:
        if self.is_past(limit.endpoint_id, limit.born_ms):
            return
        if self.limits.record(limit.to_statement(now_s)):
            node_metrics.METRICS.count('redwingvalve_rate_limit_changes')
            LOG.info(
                'rate limit changed',
                extra={
                    'endpoint': limit.endpoint_id,
                    'limit_per_s': limit.requests_per_s,
                    'told_by': sender.vm,
                },
            )

    def _record_start(
        self,
        sender: messages.Sender,
        start: endpoint_reports.Start,
        now_s: float,
    ) -> None:
        holder = sender
        if start.vm:
            holder = messages.Sender(start.vm, start.born_ms)
        key = (holder, start.number)
        started_s = now_s - start.ago_s
        # It may have been sent to the next process, which may be cold.
        self.cold.record(start.endpoint_id, key, started_s)
        if not self.is_past(start.endpoint_id, start.endpoint_born_ms):
            self.limits.record_start(start.endpoint_id, key, started_s)
