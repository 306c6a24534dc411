"""Decides which request or part of prompts is to blame for crashed endpoints.

What breaks off at an endpoint is the fault of one suspect there: of that which
has broken off at most endpoints. What has been answered before yields to what
has not, if that alone explains enough crashes, or if they are equal. A suspect
is blamed if enough of its ends have no other culprit.

A part of prompts is shared by many requests, so that it breaks off whenever
endpoints end for other reasons, often together. It is blamed only if requests
that were sent after an end have ended other endpoints, and if it was answered
before, only if no answer has followed soon.
"""

import enum
import operator
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import broken_runs, crash_evidence, crash_keys

MIN_CRASHES_TO_REFUSE = 3
MIN_PART_CRASHES = 5
# Ends of which each befell a request that was sent after the one before: to be
# blamed, and to rule out that endpoints ended together, twice.
MIN_SUCCESSIVE_ENDS = 2
MIN_CERTAIN_SUCCESSIVE_ENDS = 3
# For a part that was answered before: a sound one that is in use is answered
# again by then.
ANSWERED_PART_GRACE_S = 1.5


class Verdict(enum.Enum):
    """How to handle a request."""

    SERVE = 'serve'
    # It may have crashed endpoints, which is not yet certain.
    HOLD = 'hold'
    REFUSE = 'refuse'


@attrs.frozen
class EndpointEnd:
    """An endpoint that ended, or may have ended, under a suspect."""

    incarnation: broken_runs.Incarnation
    at_s: float
    is_crash: bool
    # Those of the suspect.
    runs: tuple[broken_runs.BrokenRun, ...]

    @property
    def sent_s(self) -> float:
        """Return when the last of the runs was sent."""
        return max(run.sent_s for run in self.runs)


@attrs.frozen
class Judgement:
    """How to handle a request, and why."""

    verdict: Verdict = Verdict.SERVE
    # What is to blame, None if nothing is.
    key: crash_keys.Key | None = None
    # The ends for which it, or another part of the request, is to blame.
    ends: tuple[EndpointEnd, ...] = ()
    # All ends that it was part of.
    all_ends: tuple[EndpointEnd, ...] = ()


SERVED: typing.Final = Judgement()
_Keys: typing.TypeAlias = frozenset[crash_keys.Key]
_Rank: typing.TypeAlias = tuple[bool, int, bool, int]


class CrashBlame:
    """Judges requests by the evidence."""

    def __init__(
        self,
        evidence: crash_evidence.CrashEvidence,
        clock: collections_abc.Callable[[], float],
        answered_part_grace_s: float = ANSWERED_PART_GRACE_S,
    ) -> None:
        """Judge by the evidence as it is at each call."""
        self._grace_s = answered_part_grace_s
        self._evidence = evidence
        self._table = evidence.runs_table
        self._clock = clock
        self._culprits: dict[broken_runs.Incarnation, _Keys] = {}
        self._ranks: dict[crash_keys.Key, _Rank] = {}
        self._version = -1

    def judge(self, *keys: crash_keys.Key) -> Judgement:
        """Judge what has all these keys: a request, or any part of one."""
        company = frozenset(keys)
        found = SERVED
        for key in keys:
            judgement = self._judge_key(key, company)
            if judgement.verdict is Verdict.REFUSE:
                return judgement
            if judgement.verdict is Verdict.HOLD:
                found = judgement
        return found

    def blamed(self) -> list[crash_keys.Key]:
        """Return what isn't served whatever else a request holds."""
        return [
            key
            for key in self._evidence.suspects(MIN_CRASHES_TO_REFUSE)
            if self._judge_key(key, frozenset((key,))).key is not None
        ]

    def is_worth_a_trial(
        self, judgement: Judgement, keys: collections_abc.Iterable[int]
    ) -> bool:
        """Return whether a request that isn't served may well be sound.

        Its part was answered before, or the endpoints may have ended together
        for another reason, or no crash is known of the suspects that it has
        alone.
        """
        if judgement.key is None or not crash_keys.is_part(judgement.key):
            return False
        if self._evidence.history.knows(judgement.key):
            return True
        if len(_successive(judgement.ends)) < MIN_CERTAIN_SUCCESSIVE_ENDS:
            return True
        company = frozenset(keys)
        return not any(
            run.suspects - {run.fingerprint} <= company
            for end in judgement.ends
            for run in end.runs
        )

    def decisive_runs(self, key: crash_keys.Key) -> list[broken_runs.BrokenRun]:
        """Return runs that lead others to the same judgement of a suspect.

        Of their suspects only the culprits and this one are left.
        """
        judgement = self._judge_key(key, frozenset((key,)))
        others = [
            one for one in judgement.all_ends if one not in judgement.ends
        ]
        ends = _most_telling(judgement.ends) + _crashes_first(others)
        runs = [end.runs[0] for end in ends[:MIN_PART_CRASHES]]
        return [
            attrs.evolve(
                run,
                suspects=run.suspects & {key, *self.culprits(run.incarnation)},
            )
            for run in runs
        ]

    def is_in_doubt(self, keys: crash_keys.RequestKeys) -> bool:
        """Return whether a request may be an early one of those to blame."""
        knows = self._evidence.history.knows
        return any(map(self.end_count, keys.all)) or not all(
            map(knows, keys.parts)
        )

    def end_count(self, key: crash_keys.Key) -> int:
        """Return the number of endpoints at which something broke off."""
        return self._table.end_count(key)

    def age_s(self, run: broken_runs.BrokenRun) -> float:
        """Return how long ago a run broke off."""
        return self._clock() - run.at_s

    def culprits(self, incarnation: broken_runs.Incarnation) -> _Keys:
        """Return what is to blame for the end of an endpoint."""
        if self._version != self._table.version:
            self._version = self._table.version
            self._culprits.clear()
            self._ranks.clear()
        known = self._culprits.get(incarnation)
        if known is None:
            known = self._find_culprits(incarnation)
            self._culprits[incarnation] = known
        return known

    def _judge_key(self, key: crash_keys.Key, company: _Keys) -> Judgement:
        min_crashes = _min_crashes(key)
        if self.end_count(key) < min_crashes:
            return SERVED
        ends = self._find_ends(key)
        # The culprits cost most to find, and are rarely needed.
        if len(ends) < min_crashes or not self._is_telling(key, ends):
            return SERVED
        blamed = [
            end
            for end in ends
            if not company.isdisjoint(self.culprits(end.incarnation))
        ]
        if not self._is_telling(key, blamed):
            return SERVED
        if self._may_be_answered_soon(key, ends):
            return SERVED
        crashes = sum(end.is_crash for end in ends)
        is_certain = crashes >= min_crashes
        verdict = Verdict.REFUSE if is_certain else Verdict.HOLD
        return Judgement(verdict, key, tuple(blamed), tuple(ends))

    def _find_ends(self, key: crash_keys.Key) -> list[EndpointEnd]:
        """Return the ends that something was part of, in order of time."""
        delay_s = self._evidence.signs.telling_delay_s(
            self._table.suspected(key)
        )
        found = [
            self._find_end(key, incarnation, delay_s)
            for incarnation in self._table.endpoints(key)
        ]
        ends = [end for end in found if end is not None]
        return sorted(ends, key=operator.attrgetter('at_s'))

    def _find_end(
        self,
        key: crash_keys.Key,
        incarnation: broken_runs.Incarnation,
        telling_delay_s: float,
    ) -> EndpointEnd | None:
        runs = [
            run
            for run in self._table.suspected_at(key, incarnation)
            if run.outlived_s <= telling_delay_s
            and not self._evidence.signs.is_doubtful(run)
        ]
        if not runs:
            return None
        return EndpointEnd(
            incarnation=incarnation,
            at_s=min(run.at_s for run in runs),
            is_crash=any(run.is_crash for run in runs),
            runs=tuple(runs),
        )

    def _is_telling(self, key: crash_keys.Key, ends: list[EndpointEnd]) -> bool:
        """Return whether so many ends can't have another cause."""
        if len(ends) < MIN_CRASHES_TO_REFUSE:
            return False
        if not crash_keys.is_part(key):
            return True
        successive = len(_successive(ends))
        if not self._evidence.history.knows(key):
            return successive >= MIN_SUCCESSIVE_ENDS
        return successive >= MIN_CERTAIN_SUCCESSIVE_ENDS

    def _may_be_answered_soon(
        self, key: crash_keys.Key, ends: list[EndpointEnd]
    ) -> bool:
        """Return whether a part that was answered before needs more time."""
        if not (crash_keys.is_part(key) and self._evidence.history.knows(key)):
            return False
        enough_s = ends[MIN_PART_CRASHES - 1].at_s
        return self._clock() < enough_s + self._grace_s

    def _find_culprits(self, incarnation: broken_runs.Incarnation) -> _Keys:
        suspects = {
            key
            for run in self._table.at_endpoint(incarnation)
            for key in run.suspects
        }
        if not suspects:
            return frozenset()
        ranks = {key: self._rank(key) for key in suspects}
        highest = max(ranks.values())
        return frozenset(key for key in suspects if ranks[key] == highest)

    def _rank(self, key: crash_keys.Key) -> _Rank:
        """Return the higher, the more likely it is that something crashes."""
        known = self._ranks.get(key)
        if known is None:
            known = self._find_rank(key)
            self._ranks[key] = known
        return known

    def _find_rank(self, key: crash_keys.Key) -> _Rank:
        count = len(self._find_ends(key))
        is_new = not self._evidence.history.knows(key)
        is_likely = is_new and count >= _min_crashes(key)
        # Endpoints that live on speak for it.
        return is_likely, count, is_new, -self.end_count(key)


def _min_crashes(key: crash_keys.Key) -> int:
    if crash_keys.is_part(key):
        return MIN_PART_CRASHES
    return MIN_CRASHES_TO_REFUSE


def _most_telling(
    ends: collections_abc.Iterable[EndpointEnd],
) -> list[EndpointEnd]:
    """Return the ends in the order in which they convince other nodes."""
    ordered = _crashes_first(ends)
    found = _successive(ordered)[:MIN_SUCCESSIVE_ENDS]
    return found + [end for end in ordered if end not in found]


def _crashes_first(
    ends: collections_abc.Iterable[EndpointEnd],
) -> list[EndpointEnd]:
    return sorted(ends, key=lambda end: (not end.is_crash, end.at_s))


def _successive(
    ends: collections_abc.Iterable[EndpointEnd],
) -> list[EndpointEnd]:
    """Return ends that befell requests sent after the previous one of them."""
    found: list[EndpointEnd] = []
    for end in ends:
        if not found or end.sent_s > found[-1].at_s:
            found.append(end)
    return found
