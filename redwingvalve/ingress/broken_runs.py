"""Runs that broke off at endpoints, indexed by what may have caused them."""

import collections
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import crash_keys

# Endpoint id and the start time of its process.
Incarnation: typing.TypeAlias = tuple[str, int]
RunId: typing.TypeAlias = tuple[crash_keys.Key, Incarnation]
_RunsByEndpoint: typing.TypeAlias = dict[Incarnation, set[RunId]]
# Requests of which something is remembered.
MAX_REQUESTS = 1_000


@attrs.frozen
class BrokenRun:
    """A connection that broke while an endpoint ran a request."""

    fingerprint: crash_keys.Key
    incarnation: Incarnation
    # By the local monotonic clock.
    at_s: float
    # Whether the endpoint's process is known to have ended then. Otherwise the
    # answer may just have got lost.
    is_crash: bool = False
    # What may have crashed the endpoint: the request as a whole, and the parts
    # of its prompt. What has been answered since is left out.
    suspects: frozenset[crash_keys.Key] = attrs.field(
        default=attrs.Factory(
            lambda run: frozenset((run.fingerprint,)), takes_self=True
        )
    )
    # When the request was sent to the endpoint.
    sent_s: float = attrs.field(
        default=attrs.Factory(lambda run: run.at_s, takes_self=True)
    )
    # Drawn by the node whose connection broke, the same in all reports of the
    # run; 0 if unknown.
    number: int = 0
    # From the break until an endpoint that had answered since was found silent
    # or ended; 0 if it gave no sign of life.
    outlived_s: float = 0

    @property
    def run_id(self) -> RunId:
        """Return what distinguishes this run from others."""
        return self.fingerprint, self.incarnation


class BrokenRunTable:
    """Broken runs by request, endpoint and suspect."""

    def __init__(self) -> None:
        """Create an empty table."""
        # Raised by each change.
        self.version = 0
        self._runs: dict[RunId, BrokenRun] = {}
        self._by_request: dict[crash_keys.Key, set[RunId]] = {}
        self._by_endpoint: _RunsByEndpoint = {}
        # Runs by suspect and endpoint.
        self._ends: dict[crash_keys.Key, _RunsByEndpoint] = {}
        # Suspects by the number of their endpoints.
        self._by_ends: dict[int, set[crash_keys.Key]] = {}
        # Number of crashes by suspect.
        self._crashes: collections.Counter[crash_keys.Key] = (
            collections.Counter()
        )

    def get(self, run_id: RunId) -> BrokenRun | None:
        """Return a run, None if unknown."""
        return self._runs.get(run_id)

    def put(self, run: BrokenRun) -> None:
        """Insert a run, or replace the one with its id."""
        known = self._runs.get(run.run_id)
        if known is None:
            self._make_room(run.fingerprint)
        else:
            self._remove_suspects(known)
        self.version += 1
        self._runs[run.run_id] = run
        # Moved to the end, as the latest.
        of_request = self._by_request.pop(run.fingerprint, set())
        of_request.add(run.run_id)
        self._by_request[run.fingerprint] = of_request
        self._by_endpoint.setdefault(run.incarnation, set()).add(run.run_id)
        for key in run.suspects:
            ends = self._ends.setdefault(key, {})
            ends.setdefault(run.incarnation, set()).add(run.run_id)
            self._index_count(key, len(ends))
            self._crashes[key] += run.is_crash

    def remove(self, runs: collections_abc.Iterable[BrokenRun]) -> None:
        """Remove runs."""
        for run in tuple(runs):
            self.version += 1
            self._remove_suspects(run)
            self._runs.pop(run.run_id)
            _discard(self._by_request, run.fingerprint, run.run_id)
            _discard(self._by_endpoint, run.incarnation, run.run_id)

    def all(self) -> list[BrokenRun]:
        """Return all runs."""
        return list(self._runs.values())

    def suspected(self, key: crash_keys.Key) -> list[BrokenRun]:
        """Return the runs of which something is a suspect."""
        return [
            self._runs[run_id]
            for run_ids in self._ends.get(key, {}).values()
            for run_id in run_ids
        ]

    def suspected_at(
        self, key: crash_keys.Key, incarnation: Incarnation
    ) -> list[BrokenRun]:
        """Return those of these runs that broke off at an endpoint."""
        run_ids = self._ends.get(key, {}).get(incarnation, ())
        return [self._runs[run_id] for run_id in run_ids]

    def at_endpoint(self, incarnation: Incarnation) -> list[BrokenRun]:
        """Return the runs that broke off at an endpoint."""
        run_ids = self._by_endpoint.get(incarnation, ())
        return [self._runs[run_id] for run_id in run_ids]

    def endpoints(self, key: crash_keys.Key) -> list[Incarnation]:
        """Return the endpoints at which something is a suspect."""
        return list(self._ends.get(key, ()))

    def end_count(self, key: crash_keys.Key) -> int:
        """Return the number of these endpoints."""
        return len(self._ends.get(key, ()))

    def has_crash(self, key: crash_keys.Key) -> bool:
        """Return whether an endpoint is known to have ended under it."""
        return bool(self._crashes.get(key))

    def suspects(self, min_ends: int = 1) -> list[crash_keys.Key]:
        """Return the suspects at so many endpoints or more."""
        return [
            key
            for count, keys in self._by_ends.items()
            if count >= min_ends
            for key in keys
        ]

    def _make_room(self, fingerprint: crash_keys.Key) -> None:
        if fingerprint in self._by_request:
            return
        while len(self._by_request) >= MAX_REQUESTS:
            run_ids = self._by_request[self._least_telling()]
            self.remove([self._runs[run_id] for run_id in run_ids])

    def _least_telling(self) -> crash_keys.Key:
        """Return the oldest request without a crash, or just the oldest."""
        for fingerprint, run_ids in self._by_request.items():
            if not any(self._runs[run_id].is_crash for run_id in run_ids):
                return fingerprint
        return next(iter(self._by_request))

    def _remove_suspects(self, run: BrokenRun) -> None:
        for key in run.suspects:
            ends = self._ends[key]
            _discard(ends, run.incarnation, run.run_id)
            self._index_count(key, len(ends))
            self._crashes[key] -= run.is_crash
            if not ends:
                self._ends.pop(key)
                self._crashes.pop(key)

    def _index_count(self, key: crash_keys.Key, count: int) -> None:
        """Move a suspect whose number of endpoints is now count."""
        # A run adds or removes one endpoint at most.
        for before in (count - 1, count + 1):
            _discard(self._by_ends, before, key)
        if count:
            self._by_ends.setdefault(count, set()).add(key)


_Key = typing.TypeVar('_Key')
_Member = typing.TypeVar('_Member')


def _discard(
    members: dict[_Key, set[_Member]], key: _Key, member: _Member
) -> None:
    """Remove a member from a set, and the set if it is empty."""
    found = members.get(key)
    if found is None:
        return
    found.discard(member)
    if not found:
        members.pop(key)
