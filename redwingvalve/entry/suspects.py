"""Keeps poison requests from crashing one endpoint after another."""

import json
from collections import abc as collections_abc

import attrs

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.entry import model_request
from redwingvalve.membership import members, rendezvous
from redwingvalve.news import bus
from redwingvalve.poison import channel, facts, suspect_table

WAIT_RETRY_AFTER_S = 2.0


@attrs.frozen
class ServiceAddress:
    """An instance of a plain service; its epoch stays 0 over restarts."""

    name: str
    epoch: int = 0


Endpoint = snapshot.Replica | ServiceAddress


class SuspectTracker:
    """Tracks requests per endpoint, and the suspect requests of all entries."""

    def __init__(
        self,
        membership: members.Members,
        news: bus.NewsBus,
        time_source: clock.Clock,
        switches: invariants.SafeguardSwitches,
        key: str = channel.KEY,
    ) -> None:
        """Exchange suspect requests with other entries through news."""
        self._key = key
        self._members = membership
        self._news = news
        self._clock = time_source
        self._local_name = membership.local_member().name
        self._suspect_table = suspect_table.make_suspect_table(
            self._local_name,
            safeguards=switches,
            incarnation=membership.local_member().incarnation,
        )
        self._merged_versions: dict[str, tuple[int, int]] = {}
        self._published_revision = 0
        self._running: dict[str, list[bytes]] = {}

    def digest(self, request: model_request.ModelRequest) -> bytes:
        """Return a digest that is the same if a caller resends."""
        return facts.make_digest(
            request.account.name.encode(),
            request.deployment.name.encode(),
            json.dumps(request.prompt, sort_keys=True).encode(),
        )

    def refusal(
        self, digest: bytes, addresses: collections_abc.Collection[str] = ()
    ) -> outcomes.ErrorResponse | None:
        """Return the error if a new request must not be run here.

        Pass addresses if there are only a few endpoints: most entries then own
        none that they could send a suspect to, so the home entry must be one
        that does.
        """
        self._merge_news()
        now_s = self._clock.monotonic_s()
        if (
            self._suspect_table.classify_retry(digest, now_s)
            == suspect_table.Verdict.FREE
        ):
            return None
        home = self._home_entry(digest, addresses)
        verdict = self._suspect_table.classify(digest, home, now_s)
        if verdict == suspect_table.Verdict.REFUSE:
            return _poison_refusal(outcomes.Outcome.NOT_RUN)
        if verdict == suspect_table.Verdict.WAIT:
            return _suspect_refusal(home, outcomes.Outcome.NOT_RUN)
        return None

    def refusal_after_failure(
        self, digest: bytes
    ) -> outcomes.ErrorResponse | None:
        """Return the error if a failed request must not be retried here."""
        self._merge_news()
        now_s = self._clock.monotonic_s()
        verdict = self._suspect_table.classify_retry(digest, now_s)
        if verdict == suspect_table.Verdict.ISOLATE:
            # Claimed before another entry tries it; see
            # SuspectTable.reserve_trial.
            self._suspect_table.reserve_trial(digest, now_s)
            self._publish()
        if verdict == suspect_table.Verdict.REFUSE:
            return _poison_refusal(outcomes.Outcome.UNKNOWN)
        if verdict == suspect_table.Verdict.WAIT:
            return _suspect_refusal('another entry', outcomes.Outcome.UNKNOWN)
        return None

    def abandon(self, digest: bytes) -> None:
        """Leave a suspect that isn't retried here to its home entry."""
        self._suspect_table.abandon_trial(digest, self._clock.monotonic_s())
        self._publish()

    def allowed(
        self, digest: bytes, serving: collections_abc.Iterable[str]
    ) -> frozenset[str] | None:
        """Return the endpoints allowed for a request; None means all."""
        now_s = self._clock.monotonic_s()
        verdict = self._suspect_table.classify_retry(digest, now_s)
        if verdict == suspect_table.Verdict.FREE:
            return None
        if verdict == suspect_table.Verdict.WAIT:
            return frozenset()
        own = suspect_table.trial_endpoints(
            self._local_name, self._entries(), serving
        )
        busy = {name for name, running in self._running.items() if running}
        free = self._suspect_table.free_endpoints(own, now_s)
        return (free - busy) or free

    def attempt_started(self, digest: bytes, replica: Endpoint) -> bool:
        """Record the start of an attempt; return whether it is suspect."""
        self._running.setdefault(replica.name, []).append(digest)
        now_s = self._clock.monotonic_s()
        suspect = (
            self._suspect_table.classify_retry(digest, now_s)
            != suspect_table.Verdict.FREE
        )
        if suspect and not self._suspect_table.running(digest):
            self._suspect_table.started(digest, replica.name, now_s)
            self._publish()
        return suspect

    def attempt_ended(
        self, digest: bytes, replica: Endpoint, *, whole: bool
    ) -> None:
        """Record the end of an attempt; a suspect is cleared if whole."""
        running = self._running.get(replica.name, [])
        if digest in running:
            running.remove(digest)
        if not running:
            self._running.pop(replica.name, None)
        now_s = self._clock.monotonic_s()
        self._suspect_table.ended(digest, replica.name, now_s, whole=whole)
        self._publish()

    def record_endpoint_failure(self, replica: Endpoint) -> None:
        """Suspect all requests that ran there, and publish them at once."""
        now_s = self._clock.monotonic_s()
        running = frozenset(self._running.get(replica.name, ()))
        if running:
            self._suspect_table.record_failure(
                suspect_table.EndpointFailure(
                    replica.name, replica.epoch, running
                ),
                now_s,
            )
            self._publish()

    def _home_entry(
        self, digest: bytes, addresses: collections_abc.Collection[str]
    ) -> str:
        entries = self._entries()
        if not addresses:
            return suspect_table.home_entry(digest, entries)
        nearest = rendezvous.select(addresses, digest.hex(), 1)[0]
        return suspect_table.home_entry(nearest.encode(), entries)

    def _entries(self) -> tuple[str, ...]:
        return tuple(member.name for member in self._members.alive())

    def _merge_news(self) -> None:
        now_s = self._clock.monotonic_s()
        for item in self._news.read(channel.SUSPECTS):
            if item.key != self._key:
                continue
            version = (item.owner_incarnation, item.number)
            if self._merged_versions.get(item.owner) != version:
                self._merged_versions[item.owner] = version
                self._suspect_table.merge(item.body, now_s)

    def _publish(self) -> None:
        if self._suspect_table.revision != self._published_revision:
            self._published_revision = self._suspect_table.revision
            self._news.publish(
                channel.SUSPECTS, self._key, self._suspect_table.encode()
            )


def _poison_refusal(outcome: outcomes.Outcome) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=422,
        code='poison-request',
        message='endpoints crashed twice while running this request',
        outcome=outcome,
    )


def _suspect_refusal(
    where: str, outcome: outcomes.Outcome
) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=503,
        code='suspect-request',
        message='a request with the same content may have crashed an '
        f'endpoint; {where} runs it in isolation',
        outcome=outcome,
        retry_after_s=WAIT_RETRY_AFTER_S,
    )
