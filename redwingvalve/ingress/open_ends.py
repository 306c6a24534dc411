"""Answers whose ends don't tell whether their endpoints are alive.

A body without a length or chunks ends with its connection. If the endpoint has
crashed, the end is not that of the answer; if it lives on, the answer is whole.

A process may end seconds later, under a request that comes again. So an answer
speaks for its request only once its endpoint has lived on for longer. Parts of
prompts are in use all the time, and sound ones are needed sooner.
"""

import collections

import attrs

from redwingvalve.ingress import broken_runs, crash_keys

# An endpoint that has lived on for this time speaks for the parts, or for the
# request as a whole.
PART_SURVIVAL_S = 0.5
REQUEST_SURVIVAL_S = 4.5
# Without any sign, an answer counts as whole after this time. Entries lapse
# sooner.
PART_MAX_WAIT_S = 5.0
REQUEST_MAX_WAIT_S = 10.0
# Those that have ended least recently are forgotten first.
MAX_OPEN_ENDS = 5_000
MAX_OPEN_ENDS_PER_ENDPOINT = 32


@attrs.define(eq=False)
class OpenEnd:
    """An answer that ended with its connection."""

    # As if it had broken off.
    run: broken_runs.BrokenRun
    # When the latest was sent that the endpoint has answered since.
    alive_s: float = attrs.field(
        default=attrs.Factory(lambda end: end.run.at_s, takes_self=True)
    )

    @property
    def lived_s(self) -> float:
        """Return how long after the answer its endpoint was alive."""
        return self.alive_s - self.run.at_s

    def as_broken_off(self, now_s: float) -> broken_runs.BrokenRun:
        """Return its run if its endpoint has ended, or fallen silent, now."""
        if not self.lived_s:
            return self.run
        return attrs.evolve(self.run, outlived_s=now_s - self.run.at_s)


class OpenEnds:
    """Answers of which is not known yet whether they are whole."""

    def __init__(self, survival_s: float, max_wait_s: float) -> None:
        """Start without answers, given when they count as whole."""
        self._survival_s = survival_s
        self._max_wait_s = max_wait_s
        # In the order in which they were added.
        self._ends: dict[broken_runs.RunId, OpenEnd] = {}
        self._by_endpoint: dict[
            broken_runs.Incarnation, dict[broken_runs.RunId, OpenEnd]
        ] = {}
        self._copies: collections.Counter[crash_keys.Key] = (
            collections.Counter()
        )

    def add(self, end: OpenEnd) -> None:
        """Add an answer, in place of one to the same request there."""
        run_id = end.run.run_id
        if run_id in self._ends:
            self._remove(run_id)
        here = self._by_endpoint.get(end.run.incarnation, {})
        if len(here) >= MAX_OPEN_ENDS_PER_ENDPOINT:
            self._remove(next(iter(here)))
        if len(self._ends) >= MAX_OPEN_ENDS:
            self._remove(next(iter(self._ends)))
        self._ends[run_id] = end
        here = self._by_endpoint.setdefault(end.run.incarnation, {})
        here[run_id] = end
        self._copies[end.run.fingerprint] += 1

    def endpoints(self) -> list[broken_runs.Incarnation]:
        """Return the endpoints of the answers."""
        return list(self._by_endpoint)

    def copies(self, fingerprint: crash_keys.Key) -> int:
        """Return the number of answers to a request."""
        return self._copies[fingerprint]

    def at_endpoint(
        self, incarnation: broken_runs.Incarnation
    ) -> list[OpenEnd]:
        """Return the answers of an endpoint."""
        return list(self._by_endpoint.get(incarnation, {}).values())

    def take_survived(
        self, incarnation: broken_runs.Incarnation, alive_s: float
    ) -> list[OpenEnd]:
        """Remove and return the answers that an endpoint has survived.

        alive_s is when something was sent that the endpoint has answered.
        """
        survived = []
        for end in self.at_endpoint(incarnation):
            end.alive_s = max(end.alive_s, alive_s)
            if end.lived_s > self._survival_s:
                survived.append(self._remove(end.run.run_id))
        return survived

    def take_at(self, incarnation: broken_runs.Incarnation) -> list[OpenEnd]:
        """Remove and return the answers of an endpoint that is gone."""
        return [
            self._remove(end.run.run_id)
            for end in self.at_endpoint(incarnation)
        ]

    def take_expired(self, now_s: float) -> list[OpenEnd]:
        """Remove and return the answers whose endpoints gave no sign."""
        expired = []
        for end in tuple(self._ends.values()):
            if end.run.at_s >= now_s - self._max_wait_s:
                break
            expired.append(self._remove(end.run.run_id))
        return expired

    def _remove(self, run_id: broken_runs.RunId) -> OpenEnd:
        end = self._ends.pop(run_id)
        here = self._by_endpoint[end.run.incarnation]
        here.pop(run_id)
        if not here:
            self._by_endpoint.pop(end.run.incarnation)
        self._copies[end.run.fingerprint] -= 1
        if not self._copies[end.run.fingerprint]:
            self._copies.pop(end.run.fingerprint)
        return end
