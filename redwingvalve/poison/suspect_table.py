"""Suspect requests: isolated to one endpoint, refused after a second failure.

Load pattern: a single request crashes each endpoint that runs it, and its
caller retries it every second at any entry. Without the table, one such request
takes down a replica of four VMs a second until none is left.

All requests that ran on an endpoint when it failed are suspect. A suspect is
the only suspect on its endpoint, so that a second failure identifies it;
harmless requests finish elsewhere and are cleared. After two failures a request
is refused. Failures of a rack that is lost within seconds, with at least three
that did not involve the request, count as one.
Entries run suspects on disjoint sets of endpoints (rendezvous hashing), so that
two entries don't put two suspects on the same endpoint.

Facts reach the entries of a region within a second. When a caller retries a
suspect, it therefore waits settle_s, only its home entry runs it, and never
while it is on trial at another entry. Remaining risk: runs that started before
the first failure was known elsewhere may cause further failures.
"""

import enum
import itertools
from collections import abc as collections_abc

import attrs

from redwingvalve.core import invariants
from redwingvalve.membership import rendezvous
from redwingvalve.poison import facts, recent_failures

FAILURES_TO_REFUSE = 2
# Entries notice the same failure within seconds of each other; a plain service
# needs longer than this to restart and fail again with the same request.
SAME_FAILURE_S = 10.0


class Verdict(enum.StrEnum):
    """How a request may be run."""

    FREE = 'free'
    ISOLATE = 'isolate'
    WAIT = 'wait'
    REFUSE = 'refuse'


@attrs.frozen
class PoisonSettings:
    """Settings for operators; see docs/operating/who-is-served.md."""

    settle_s: float = 2.0
    trial_max_s: float = 600.0
    forget_after_s: float = 3600.0
    max_facts: int = 20_000
    max_encoded_facts: int = facts.MAX_ENCODED_FACTS
    mass_deaths: int = 3
    mass_window_s: float = 5.0
    mass_sharing: int = 8


@attrs.frozen
class EndpointFailure:
    """An endpoint failed while it ran these requests of this entry."""

    endpoint: str
    epoch: int
    digests: frozenset[bytes]


class SuspectTable:
    """The suspects known to one entry; can be merged with other tables."""

    def __init__(
        self,
        entry: str,
        settings: PoisonSettings | None = None,
        safeguards: invariants.SafeguardSwitches | None = None,
        incarnation: int = 0,
    ) -> None:
        """Start without suspects; entry is the name of this entry."""
        self._incarnation = incarnation
        self._entry = entry
        self._settings = settings or PoisonSettings()
        self._safeguards = safeguards or invariants.SafeguardSwitches()
        self._states: dict[facts.Fact, facts.FactState] = {}
        self._by_digest: dict[bytes, set[facts.Fact]] = {}
        self._running: dict[str, set[bytes]] = {}
        self._trials: dict[bytes, facts.Fact] = {}
        self._trial_numbers = itertools.count()
        self._recent_failures = recent_failures.RecentFailures(
            self._settings.mass_deaths, self._settings.mass_window_s
        )
        self.revision = 0

    def record_failure(self, failure: EndpointFailure, now_s: float) -> None:
        """Mark the requests involved as suspect; publish encode() at once."""
        for suspect in self._running.pop(failure.endpoint, ()):
            self.abandon_trial(suspect, now_s)
        for digest in failure.digests:
            self._add_fact(
                self._make_fact(digest, failure, now_s), now_s, closed=False
            )

    def classify(self, digest: bytes, home: str, now_s: float) -> Verdict:
        """Return the verdict on a request from a caller.

        home is the entry that runs a retried suspect, by home_entry(); at any
        other entry the caller must wait or use home.
        """
        verdict = self.classify_retry(digest, now_s)
        if verdict != Verdict.ISOLATE:
            return verdict
        newest_s = max(
            self._states[fact].recorded_at_s
            for fact in self._open_failures(digest)
        )
        settled = now_s - newest_s >= self._settings.settle_s
        if home != self._entry or not settled or digest in self._trials:
            return Verdict.WAIT
        return verdict

    def classify_retry(self, digest: bytes, now_s: float) -> Verdict:
        """Return the verdict on a request that this entry may retry."""
        if digest not in self._by_digest:
            return Verdict.FREE
        failure_count = self._count_failures(digest)
        if not failure_count:
            return Verdict.FREE
        if failure_count < FAILURES_TO_REFUSE:
            elsewhere = self._on_trial_elsewhere(digest, now_s)
            return Verdict.WAIT if elsewhere else Verdict.ISOLATE
        if self._safeguards.enabled(invariants.Safeguard.POISON_REFUSED):
            return Verdict.REFUSE
        return Verdict.ISOLATE

    def free_endpoints(
        self, local_endpoints: collections_abc.Iterable[str], now_s: float
    ) -> frozenset[str]:
        """Return the endpoints on which a suspect may run now.

        local_endpoints are those of trial_endpoints(). After a mass failure, as
        of a rack, nearly all suspects are harmless and too many to run one at a
        time. They then share endpoints; a poison request among them makes the
        few others on its endpoint fail too.
        """
        capacity = 1
        if self._recent_failures.is_mass_failure(now_s):
            capacity = self._settings.mass_sharing
        return frozenset(
            name
            for name in local_endpoints
            if len(self._running.get(name, ())) < capacity
        )

    def started(self, digest: bytes, endpoint: str, now_s: float) -> None:
        """Record that a suspect runs somewhere; publish encode() at once."""
        invariants.require(
            not self.running(digest),
            'suspect-on-one-endpoint',
            f'{digest.hex()} starts on {endpoint}',
        )
        self._running.setdefault(endpoint, set()).add(digest)
        self.reserve_trial(digest, now_s)

    def reserve_trial(self, digest: bytes, now_s: float) -> None:
        """Reserve the next trial of a suspect before it has an endpoint.

        An entry that retries a request calls this right after the failure and
        publishes both; otherwise the home entry could run it at the same time.
        """
        if digest in self._trials:
            return
        trial_id = facts.make_failure_id(
            self._entry, self._incarnation, next(self._trial_numbers)
        )
        trial = facts.Fact(digest, trial_id, trial=True)
        self._trials[digest] = trial
        self._add_fact(trial, now_s, closed=False)

    def abandon_trial(self, digest: bytes, now_s: float) -> None:
        """Leave a suspect to its home entry, where the caller may retry it."""
        trial = self._trials.pop(digest, None)
        if trial is not None:
            self._add_fact(trial, now_s, closed=True)

    def ended(
        self, digest: bytes, endpoint: str, now_s: float, *, whole: bool
    ) -> None:
        """Record the end of a suspect; a complete response clears it."""
        self._running.get(endpoint, set()).discard(digest)
        self.abandon_trial(digest, now_s)
        if not whole:
            return
        for fact in self._open_failures(digest):
            self._add_fact(fact, now_s, closed=True)

    def running(self, digest: bytes) -> bool:
        """Tell whether a suspect runs at this entry."""
        return any(digest in suspects for suspects in self._running.values())

    def encode(self) -> bytes:
        """Encode the facts to publish; revision changes with them."""
        return facts.encode(self._states, self._settings.max_encoded_facts)

    def merge(self, body: bytes, now_s: float) -> None:
        """Merge the facts of another entry, in any order and repeatedly."""
        for fact, closed in facts.decode(body):
            self._add_fact(fact, now_s, closed=closed)

    def forget_old(self, now_s: float) -> None:
        """Drop expired and surplus facts; call it about once a minute."""
        oldest_s = now_s - self._settings.forget_after_s
        by_age = sorted(self._states.items(), key=_recorded_at_s)
        surplus = len(by_age) - self._settings.max_facts
        for index, (fact, state) in enumerate(by_age):
            if index < surplus or state.recorded_at_s < oldest_s:
                self._drop(fact)

    def _make_fact(
        self, digest: bytes, failure: EndpointFailure, now_s: float
    ) -> facts.Fact:
        earlier = 0
        while True:
            failure_id = facts.make_failure_id(
                failure.endpoint, failure.epoch, earlier
            )
            fact = facts.Fact(digest, failure_id)
            state = self._states.get(fact)
            if state is None or now_s - state.recorded_at_s < SAME_FAILURE_S:
                return fact
            earlier += 1

    def _add_fact(
        self, fact: facts.Fact, now_s: float, *, closed: bool
    ) -> None:
        state = self._states.get(fact)
        if state is None:
            state = facts.FactState(now_s, closed)
            self._states[fact] = state
            if not fact.trial:
                self._recent_failures.record(fact, state, now_s)
            self._by_digest.setdefault(fact.digest, set()).add(fact)
            self.revision += 1
            return
        if closed and not state.closed:
            state.closed = True
            self.revision += 1

    def _open_failures(self, digest: bytes) -> list[facts.Fact]:
        return [
            fact
            for fact in self._by_digest.get(digest, ())
            if not fact.trial and not self._states[fact].closed
        ]

    def _count_failures(self, digest: bytes) -> int:
        is_mass_failure = [
            self._states[fact].is_mass_failure
            for fact in self._open_failures(digest)
        ]
        # All failures of a lost rack count as one, since the request didn't
        # cause them.
        return is_mass_failure.count(False) + any(is_mass_failure)

    def _on_trial_elsewhere(self, digest: bytes, now_s: float) -> bool:
        if digest in self._trials:
            return False
        oldest_s = now_s - self._settings.trial_max_s
        return any(
            fact.trial
            and not self._states[fact].closed
            and self._states[fact].recorded_at_s >= oldest_s
            for fact in self._by_digest[digest]
        )

    def _drop(self, fact: facts.Fact) -> None:
        del self._states[fact]
        remaining = self._by_digest[fact.digest]
        remaining.discard(fact)
        if not remaining:
            del self._by_digest[fact.digest]


def home_entry(digest: bytes, entries: collections_abc.Iterable[str]) -> str:
    """Return the entry that runs a retried suspect (rendezvous hashing)."""
    return rendezvous.select(tuple(entries), digest.hex(), 1)[0]


def trial_endpoints(
    entry: str,
    entries: collections_abc.Collection[str],
    endpoints: collections_abc.Iterable[str],
) -> frozenset[str]:
    """Return the endpoints on which an entry may run suspects.

    The sets of all entries are disjoint while their views of the live entries
    agree. Keep the result until entries or endpoints change.
    """
    return frozenset(
        endpoint
        for endpoint in endpoints
        if home_entry(endpoint.encode(), entries) == entry
    )


def _recorded_at_s(item: tuple[facts.Fact, facts.FactState]) -> float:
    return item[1].recorded_at_s


def make_suspect_table(
    entry: str,
    settings: PoisonSettings | None = None,
    safeguards: invariants.SafeguardSwitches | None = None,
    incarnation: int = 0,
) -> SuspectTable:
    """Return the table of one entry."""
    return SuspectTable(entry, settings, safeguards, incarnation)
