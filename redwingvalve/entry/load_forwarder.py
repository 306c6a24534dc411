"""Forwards the load that replicas report to the routing policies.

Load pattern: each of seven entries gets a seventh of the requests. An entry
that counts only its own requests sends the next one to a replica that the
others have filled. The probes that collect evidence also return the head's
count of requests in flight, so the load costs two bytes per replica in the news
and no extra request.
"""

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock
from redwingvalve.entry import replica_selection
from redwingvalve.evidence import permits
from redwingvalve.routing import messages

# Probes run every 0.7 s; polling more often would find nothing new.
POLL_INTERVAL_S = 0.5


class LoadForwarder:
    """Forwards load reports to routing, each report once."""

    def __init__(
        self,
        source: snapshot.ConfigurationSource,
        serving_permits: permits.ServingPermits,
        selector: replica_selection.ReplicaSelector,
        time_source: clock.Clock,
    ) -> None:
        """Forward the loads of serving_permits to the policies of selector."""
        self._source = source
        self._permits = serving_permits
        self._selector = selector
        self._clock = time_source
        self._forwarded_s: dict[str, float] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self.poll()
            await self._clock.sleep(POLL_INTERVAL_S)

    def poll(self) -> None:
        """Forward each report that is newer than the previous one."""
        now_s = self._clock.monotonic_s()
        forwarded_s: dict[str, float] = {}
        for replica in self._source.current().replicas:
            load = self._permits.reported_load(replica, now_s)
            if load is None:
                continue
            forwarded_s[replica.name] = load.seen_s
            if load.seen_s > self._forwarded_s.get(replica.name, -1.0):
                self._forward(replica, load, now_s)
        self._forwarded_s = forwarded_s

    def _forward(
        self,
        replica: snapshot.Replica,
        load: permits.ReportedLoad,
        now_s: float,
    ) -> None:
        report = messages.LoadReport(load.in_flight, 0, load.seen_s)
        routing = self._selector.routing(replica.deployment)
        routing.load_reported(replica.name, report, now_s)


def make_load_forwarder(
    source: snapshot.ConfigurationSource,
    serving_permits: permits.ServingPermits,
    selector: replica_selection.ReplicaSelector,
    time_source: clock.Clock,
) -> LoadForwarder:
    """Return the forwarder of one entry; start run as a background task."""
    return LoadForwarder(source, serving_permits, selector, time_source)
