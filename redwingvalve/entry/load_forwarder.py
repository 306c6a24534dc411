"""Tells routing how busy replicas are with the work of other entries.

Load pattern: each of seven entries sees a seventh of the requests. One that
counts its own alone sends the next request to a replica that the others have
filled. The probes that bring evidence also bring the head's count of requests
in flight, so that the news costs two bytes a replica and no call of its own.
"""

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock
from redwingvalve.entry import replica_selection
from redwingvalve.evidence import permits
from redwingvalve.routing import messages

# Probes come each 0.7 s; looking more often would find nothing new.
POLL_INTERVAL_S = 0.5


class LoadForwarder:
    """Passes reported loads on to routing, each report once."""

    def __init__(
        self,
        source: snapshot.ConfigurationSource,
        serving_permits: permits.ServingPermits,
        selector: replica_selection.ReplicaSelector,
        time_source: clock.Clock,
    ) -> None:
        """Tell choice what serving_permits report of the replicas."""
        self._source = source
        self._permits = serving_permits
        self._selector = selector
        self._clock = time_source
        self._forwarded_s: dict[str, float] = {}

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.poll()
            await self._clock.sleep(POLL_INTERVAL_S)

    def poll(self) -> None:
        """Tell every report that is newer than the last one."""
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
    """Return the watch of one entry; run it beside the application."""
    return LoadForwarder(source, serving_permits, selector, time_source)
