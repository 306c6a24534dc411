"""Reports of entries that a controller receives through news."""

import json

from redwingvalve.configuration import snapshot
from redwingvalve.evidence import probe_reports, prober, table
from redwingvalve.membership import members as members_module
from redwingvalve.news import bus
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import entry_reports

READ_INTERVAL_S = 0.5
# Entries probe a VM every second. With this age, one step of the controller
# (0.5 s) and its probe timeout (0.5 s), a VM is declared lost 2.5 s after its
# loss.
MAX_CONFIRMED_AGE_S = 1.5


class NewsEntryReports(entry_reports.EntryReports):
    """Reads probe reports and stopped epochs; falls back to a time limit."""

    def __init__(
        self,
        members: members_module.Members,
        news: bus.NewsBus,
        configuration: snapshot.ConfigurationSource,
    ) -> None:
        """Read news on the replicas of the configuration in force."""
        self._members = members
        self._news = news
        self._configuration = configuration
        self._fallback = entry_reports.NoEntryReports()
        self._evidence = table.EvidenceTable()
        self._last_read_s: float | None = None

    def last_seen_s(self, vm: str, now_s: float) -> float | None:
        """Return when an entry last saw the VM ready, or None if too old."""
        self._refresh(now_s)
        observation = self._evidence.fresh(vm, now_s)
        return observation.seen_s if observation is not None else None

    def is_isolated(self) -> bool:
        """Return whether this process has had no contact for too long."""
        return self._members.isolated()

    def confirms_ready(
        self, vm: str, replica: domain_module.DomainReplica, now_s: float
    ) -> bool:
        """Return whether an entry has just seen the VM ready in this epoch.

        The limit is below the usual maximum age: once observations stop, this
        process has to probe by itself in time to decide within 3 s of a loss.
        """
        self._refresh(now_s)
        observation = self._evidence.fresh(vm, now_s)
        return (
            observation is not None
            and (observation.replica, observation.epoch)
            == (replica.name, replica.epoch)
            and now_s - observation.seen_s <= MAX_CONFIRMED_AGE_S
        )

    def _refresh(self, now_s: float) -> None:
        if (
            self._last_read_s is None
            or now_s - self._last_read_s >= READ_INTERVAL_S
        ):
            self._receive_reports(now_s)

    def senders_stopped(
        self,
        replica: domain_module.DomainReplica,
        draining_since_s: float,
        now_s: float,
    ) -> bool:
        """Return whether all live entries stopped, or the limit has passed.

        An isolated entry can't report this. After the limit its evidence has
        expired or it is out of discovery, and the engine's count of requests
        in flight still guards the stop.
        """
        if self._fallback.senders_stopped(replica, draining_since_s, now_s):
            return True
        entries = {
            member.name
            for member in self._members.alive(prober.ENTRY_ROLE)
            if member.region == self._members.local_member().region
        }
        return bool(entries) and entries <= self._stopped(replica)

    def _stopped(self, replica: domain_module.DomainReplica) -> set[str]:
        wanted = [replica.name, replica.epoch]
        return {
            published.owner
            for published in self._news.read(prober.STOPPED_CHANNEL)
            if wanted in _epochs(published.body)
        }

    def _receive_reports(self, now_s: float) -> None:
        self._last_read_s = now_s
        self._evidence.drop_expired(now_s)
        found = probe_reports.decode_observations(
            self._news.read(probe_reports.CHANNEL),
            self._configuration.current().replicas,
            now_s,
        )
        for observation in found:
            self._evidence.record(observation)


def _epochs(body: bytes) -> list[list[object]]:
    try:
        return list(json.loads(body))
    except (ValueError, TypeError):
        return []


def make_news_entry_reports(
    members: members_module.Members,
    news: bus.NewsBus,
    configuration: snapshot.ConfigurationSource,
) -> entry_reports.EntryReports:
    """Return the entry reports of one controller."""
    return NewsEntryReports(members, news, configuration)
