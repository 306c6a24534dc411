"""Keeps poison requests from killing one endpoint after the other."""

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
    """An instance of a plain service; it restarts without a new epoch."""

    name: str
    epoch: int = 0


Endpoint = snapshot.Replica | ServiceAddress


class SuspectGate:
    """What this entry runs where, and the suspects of all entries."""

    def __init__(
        self,
        known: members.Members,
        news: bus.NewsBus,
        gate_clock: clock.Clock,
        switches: invariants.SafeguardSwitches,
        key: str = channel.KEY,
    ) -> None:
        """Tell and hear of suspects through news under a key."""
        self._key = key
        self._members = known
        self._news = news
        self._clock = gate_clock
        self._myself = known.local_member().name
        self._ledger = suspect_table.make_suspect_table(
            self._myself,
            safeguards=switches,
            incarnation=known.local_member().incarnation,
        )
        self._merged: dict[str, tuple[int, int]] = {}
        self._told_revision = 0
        self._on_endpoint: dict[str, list[bytes]] = {}

    def digest(self, request: model_request.ModelRequest) -> bytes:
        """Return what stays the same when a caller sends again."""
        return facts.make_digest(
            request.account.name.encode(),
            request.deployment.name.encode(),
            json.dumps(request.prompt, sort_keys=True).encode(),
        )

    def refusal(
        self, digest: bytes, addresses: collections_abc.Collection[str] = ()
    ) -> outcomes.ErrorResponse | None:
        """Return why a request that has just arrived is not run, if so.

        Give the addresses where endpoints are few: most entries may then put
        suspects nowhere, so that the home must be one that may.
        """
        self._hear()
        now_s = self._clock.monotonic_s()
        if (
            self._ledger.classify_retry(digest, now_s)
            == suspect_table.Verdict.FREE
        ):
            return None
        home = self._home(digest, addresses)
        verdict = self._ledger.classify(digest, home, now_s)
        if verdict == suspect_table.Verdict.REFUSE:
            return _poison(outcomes.Outcome.NOT_RUN)
        if verdict == suspect_table.Verdict.WAIT:
            return _wait(home, outcomes.Outcome.NOT_RUN)
        return None

    def refusal_after_death(
        self, digest: bytes
    ) -> outcomes.ErrorResponse | None:
        """Return why a request that failed here is not sent again, if so."""
        self._hear()
        now_s = self._clock.monotonic_s()
        verdict = self._ledger.classify_retry(digest, now_s)
        if verdict == suspect_table.Verdict.ISOLATE:
            # Claimed before another entry may try it; see
            # SuspectTable.reserve_trial.
            self._ledger.reserve_trial(digest, now_s)
            self._tell()
        if verdict == suspect_table.Verdict.REFUSE:
            return _poison(outcomes.Outcome.UNKNOWN)
        if verdict == suspect_table.Verdict.WAIT:
            return _wait('another entry', outcomes.Outcome.UNKNOWN)
        return None

    def gave_up(self, digest: bytes) -> None:
        """Leave a suspect that is not sent again to its home."""
        self._ledger.abandon_trial(digest, self._clock.monotonic_s())
        self._tell()

    def allowed(
        self, digest: bytes, serving: collections_abc.Iterable[str]
    ) -> frozenset[str] | None:
        """Return where a suspect may go; None when anywhere."""
        now_s = self._clock.monotonic_s()
        verdict = self._ledger.classify_retry(digest, now_s)
        if verdict == suspect_table.Verdict.FREE:
            return None
        if verdict == suspect_table.Verdict.WAIT:
            return frozenset()
        own = suspect_table.trial_endpoints(
            self._myself, self._entries(), serving
        )
        busy = {name for name, running in self._on_endpoint.items() if running}
        free = self._ledger.free_endpoints(own, now_s)
        return (free - busy) or free

    def began(self, digest: bytes, replica: Endpoint) -> bool:
        """Count a send; True when it is one of a suspect."""
        self._on_endpoint.setdefault(replica.name, []).append(digest)
        now_s = self._clock.monotonic_s()
        suspect = (
            self._ledger.classify_retry(digest, now_s)
            != suspect_table.Verdict.FREE
        )
        if suspect and not self._ledger.running(digest):
            self._ledger.started(digest, replica.name, now_s)
            self._tell()
        return suspect

    def ended(self, digest: bytes, replica: Endpoint, *, whole: bool) -> None:
        """Count the end of a send; a whole answer clears a suspect."""
        running = self._on_endpoint.get(replica.name, [])
        if digest in running:
            running.remove(digest)
        if not running:
            self._on_endpoint.pop(replica.name, None)
        now_s = self._clock.monotonic_s()
        self._ledger.ended(digest, replica.name, now_s, whole=whole)
        self._tell()

    def endpoint_died(self, replica: Endpoint) -> None:
        """Suspect all that ran there, and tell the others at once."""
        now_s = self._clock.monotonic_s()
        running = frozenset(self._on_endpoint.get(replica.name, ()))
        if running:
            self._ledger.record_failure(
                suspect_table.EndpointFailure(
                    replica.name, replica.epoch, running
                ),
                now_s,
            )
            self._tell()

    def _home(
        self, digest: bytes, addresses: collections_abc.Collection[str]
    ) -> str:
        entries = self._entries()
        if not addresses:
            return suspect_table.home_entry(digest, entries)
        nearest = rendezvous.select(addresses, digest.hex(), 1)[0]
        return suspect_table.home_entry(nearest.encode(), entries)

    def _entries(self) -> tuple[str, ...]:
        return tuple(member.name for member in self._members.alive())

    def _hear(self) -> None:
        now_s = self._clock.monotonic_s()
        for item in self._news.read(channel.SUSPECTS):
            if item.key != self._key:
                continue
            seen = (item.owner_incarnation, item.number)
            if self._merged.get(item.owner) != seen:
                self._merged[item.owner] = seen
                self._ledger.merge(item.body, now_s)

    def _tell(self) -> None:
        if self._ledger.revision != self._told_revision:
            self._told_revision = self._ledger.revision
            self._news.publish(
                channel.SUSPECTS, self._key, self._ledger.encode()
            )


def _poison(outcome: outcomes.Outcome) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=422,
        code='poison-request',
        message='endpoints died twice while they ran this request',
        outcome=outcome,
    )


def _wait(where: str, outcome: outcomes.Outcome) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=503,
        code='suspect-request',
        message=f'a like request may have crashed a replica; {where} runs it '
        'alone',
        outcome=outcome,
        retry_after_s=WAIT_RETRY_AFTER_S,
    )
