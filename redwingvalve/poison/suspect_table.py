"""Suspects: held to one endpoint at a time, refused after the second death.

Load pattern: a single request crashes each endpoint that runs it, and its
caller sends it again, every second, to any entry. Without the ledger one such
request takes down a replica of four VMs a second until none is left.

All that ran on an endpoint when it died is suspect after one death. A suspect
runs alone of its kind on an endpoint, so that a second death names it and no
other; the innocent finish elsewhere and are cleared. Two deaths refuse it; two
of a rack that is lost within seconds, with three more that the request had no
part in, count as one.
Entries place suspects on disjoint sets of endpoints (rendezvous hashing), so
that two of them do not put two suspects together without knowing.

Figures: news spreads within a second inside a region; a caller's resend of a
suspect therefore waits settle_s, only its home entry runs it, and never while
another entry has it on trial. What remains: runs that started before the first
death was known elsewhere may add deaths.
"""

import enum
import itertools
from collections import abc as collections_abc

import attrs

from redwingvalve.core import invariants
from redwingvalve.membership import rendezvous
from redwingvalve.poison import facts, recent_failures

DEATHS_TO_REFUSE = 2
# Entries notice one death within seconds of each other; a plain service needs
# longer than this to come back and die again under the same request.
SAME_DEATH_S = 10.0


class Verdict(enum.StrEnum):
    """What may be done with a request."""

    FREE = 'free'
    ISOLATE = 'isolate'
    WAIT = 'wait'
    REFUSE = 'refuse'


@attrs.frozen
class PoisonSettings:
    """Figures an operator may set; docs/operating/who-is-served.md."""

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
    """An endpoint died with these requests of this entry running on it."""

    endpoint: str
    epoch: int
    digests: frozenset[bytes]


class SuspectTable:
    """What one entry knows of suspects; merges with that of others."""

    def __init__(
        self,
        entry: str,
        settings: PoisonSettings | None = None,
        safeguards: invariants.SafeguardSwitches | None = None,
        incarnation: int = 0,
    ) -> None:
        """Start without suspects; entry is this entry's own name."""
        self._incarnation = incarnation
        self._entry = entry
        self._settings = settings or PoisonSettings()
        self._safeguards = safeguards or invariants.SafeguardSwitches()
        self._states: dict[facts.Fact, facts.FactState] = {}
        self._by_digest: dict[bytes, set[facts.Fact]] = {}
        self._running: dict[str, set[bytes]] = {}
        self._trials: dict[bytes, facts.Fact] = {}
        self._trial_numbers = itertools.count()
        self._recent = recent_failures.RecentFailures(
            self._settings.mass_deaths, self._settings.mass_window_s
        )
        self.revision = 0

    def record_failure(self, death: EndpointFailure, now_s: float) -> None:
        """Suspect all requests that ran there; publish encode() at once."""
        for tried in self._running.pop(death.endpoint, ()):
            self.abandon_trial(tried, now_s)
        for digest in death.digests:
            self._learn(self._fact(digest, death, now_s), now_s, closed=False)

    def classify(self, digest: bytes, home: str, now_s: float) -> Verdict:
        """Judge a request as a caller sends it.

        home is the entry that runs a resent suspect, by home_entry(); at any
        other the caller is told to wait or is sent there.
        """
        verdict = self.classify_retry(digest, now_s)
        if verdict != Verdict.ISOLATE:
            return verdict
        newest_s = max(
            self._states[fact].learned_at_s for fact in self._deaths(digest)
        )
        settled = now_s - newest_s >= self._settings.settle_s
        if home != self._entry or not settled or digest in self._trials:
            return Verdict.WAIT
        return verdict

    def classify_retry(self, digest: bytes, now_s: float) -> Verdict:
        """Judge a request that this entry itself wants to send again."""
        if digest not in self._by_digest:
            return Verdict.FREE
        deaths = self._counted_deaths(digest)
        if not deaths:
            return Verdict.FREE
        if deaths < DEATHS_TO_REFUSE:
            elsewhere = self._on_trial_elsewhere(digest, now_s)
            return Verdict.WAIT if elsewhere else Verdict.ISOLATE
        if self._safeguards.enabled(invariants.Safeguard.POISON_REFUSED):
            return Verdict.REFUSE
        return Verdict.ISOLATE

    def free_endpoints(
        self, own_endpoints: collections_abc.Iterable[str], now_s: float
    ) -> frozenset[str]:
        """Return the endpoints where a suspect may be put now.

        own_endpoints are those of own_share(). When many endpoints died at
        once, as with a rack, nearly all suspects are innocent and too many to
        run one at a time; they then share an endpoint, and the price is that
        a poison request among them takes its few neighbours along.
        """
        room = 1
        if self._recent.many(now_s):
            room = self._settings.mass_sharing
        return frozenset(
            name
            for name in own_endpoints
            if len(self._running.get(name, ())) < room
        )

    def started(self, digest: bytes, endpoint: str, now_s: float) -> None:
        """Note that a suspect runs on an endpoint; publish encode() at once."""
        invariants.require(
            not self.running(digest),
            'suspect-on-one-endpoint',
            f'{digest.hex()} starts on {endpoint}',
        )
        self._running.setdefault(endpoint, set()).add(digest)
        self.reserve_trial(digest, now_s)

    def reserve_trial(self, digest: bytes, now_s: float) -> None:
        """Claim the next trial of a suspect, before it has an endpoint.

        An entry that retries what it lost calls this right after the death
        and publishes both; otherwise the home could try it meanwhile.
        """
        if digest in self._trials:
            return
        trial_id = facts.make_failure_id(
            self._entry, self._incarnation, next(self._trial_numbers)
        )
        trial = facts.Fact(digest, trial_id, trial=True)
        self._trials[digest] = trial
        self._learn(trial, now_s, closed=False)

    def abandon_trial(self, digest: bytes, now_s: float) -> None:
        """Leave a suspect to its home; the caller may send it again."""
        trial = self._trials.pop(digest, None)
        if trial is not None:
            self._learn(trial, now_s, closed=True)

    def ended(
        self, digest: bytes, endpoint: str, now_s: float, *, whole: bool
    ) -> None:
        """Note that a suspect ended; a whole answer clears it."""
        self._running.get(endpoint, set()).discard(digest)
        self.abandon_trial(digest, now_s)
        if not whole:
            return
        for fact in self._deaths(digest):
            self._learn(fact, now_s, closed=True)

    def running(self, digest: bytes) -> bool:
        """Tell whether a suspect runs at this entry."""
        return any(digest in tried for tried in self._running.values())

    def encode(self) -> bytes:
        """Return what to publish; revision says when it has changed."""
        return facts.encode(self._states, self._settings.max_encoded_facts)

    def merge(self, body: bytes, now_s: float) -> None:
        """Take in what another entry published; any order, any number."""
        for fact, closed in facts.decode(body):
            self._learn(fact, now_s, closed=closed)

    def forget_old(self, now_s: float) -> None:
        """Drop what is too old; call it about once a minute."""
        oldest_s = now_s - self._settings.forget_after_s
        by_age = sorted(self._states.items(), key=_learned_at_s)
        surplus = len(by_age) - self._settings.max_facts
        for place, (fact, state) in enumerate(by_age):
            if place < surplus or state.learned_at_s < oldest_s:
                self._drop(fact)

    def _fact(
        self, digest: bytes, death: EndpointFailure, now_s: float
    ) -> facts.Fact:
        earlier = 0
        while True:
            death_id = facts.make_failure_id(
                death.endpoint, death.epoch, earlier
            )
            fact = facts.Fact(digest, death_id)
            state = self._states.get(fact)
            if state is None or now_s - state.learned_at_s < SAME_DEATH_S:
                return fact
            earlier += 1

    def _learn(self, fact: facts.Fact, now_s: float, *, closed: bool) -> None:
        state = self._states.get(fact)
        if state is None:
            state = facts.FactState(now_s, closed)
            self._states[fact] = state
            if not fact.trial:
                self._recent.note(fact, state, now_s)
            self._by_digest.setdefault(fact.digest, set()).add(fact)
            self.revision += 1
            return
        if closed and not state.closed:
            state.closed = True
            self.revision += 1

    def _deaths(self, digest: bytes) -> list[facts.Fact]:
        return [
            fact
            for fact in self._by_digest.get(digest, ())
            if not fact.trial and not self._states[fact].closed
        ]

    def _counted_deaths(self, digest: bytes) -> int:
        among_many = [
            self._states[fact].among_many for fact in self._deaths(digest)
        ]
        # All deaths of a lost rack are one event and not the request's doing.
        return among_many.count(False) + any(among_many)

    def _on_trial_elsewhere(self, digest: bytes, now_s: float) -> bool:
        if digest in self._trials:
            return False
        oldest_s = now_s - self._settings.trial_max_s
        return any(
            fact.trial
            and not self._states[fact].closed
            and self._states[fact].learned_at_s >= oldest_s
            for fact in self._by_digest[digest]
        )

    def _drop(self, fact: facts.Fact) -> None:
        del self._states[fact]
        known = self._by_digest[fact.digest]
        known.discard(fact)
        if not known:
            del self._by_digest[fact.digest]


def home_entry(digest: bytes, entries: collections_abc.Iterable[str]) -> str:
    """Return the entry that runs a resent suspect (rendezvous hashing)."""
    return rendezvous.select(tuple(entries), digest.hex(), 1)[0]


def trial_endpoints(
    entry: str,
    entries: collections_abc.Collection[str],
    endpoints: collections_abc.Iterable[str],
) -> frozenset[str]:
    """Return the endpoints on which an entry may put suspects.

    The shares of all entries are disjoint while they agree on who is alive.
    Keep the result until entries or endpoints change.
    """
    return frozenset(
        endpoint
        for endpoint in endpoints
        if home_entry(endpoint.encode(), entries) == entry
    )


def _learned_at_s(item: tuple[facts.Fact, facts.FactState]) -> float:
    return item[1].learned_at_s


def make_suspect_table(
    entry: str,
    settings: PoisonSettings | None = None,
    safeguards: invariants.SafeguardSwitches | None = None,
    incarnation: int = 0,
) -> SuspectTable:
    """Return the ledger of one entry."""
    return SuspectTable(entry, settings, safeguards, incarnation)
