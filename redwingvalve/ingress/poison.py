"""Requests that crash each endpoint that runs them, refused after the third.

Load pattern: a single request crashes whatever runs it, and its caller sends
it again with the same path, account and body, at any node. Without this each
of its tries takes an endpoint, and a replica of several VMs, out of service.

A broken connection alone is no crash: answers get lost and connections reset.
Only if the endpoint's life is seen to end within CRASH_SEEN_S does it count,
for all requests that it broke; one that is ever answered is cleared, so that
the innocent among them are not refused.
"""

import hashlib
import time
import typing

import attrs

# A life that ends is seen at the next heartbeat that fails to come, or at
# once where the endpoint starts again.
CRASH_DETECTION_S = 6.0
MIN_CRASHES_TO_REFUSE = 3
# A request that crashed something this long ago is tried once more.
CRASH_RETENTION_S = 120.0
MAX_RECORDS = 10_000
_DIGEST_BYTES = 7


@attrs.define(eq=False)
class _Record:
    crashes: int = 0
    last_crash_s: float = 0.0


@attrs.frozen
class _Disconnect:
    fingerprint: int
    incarnation: tuple[str, int]
    at_s: float


class PoisonRequestTracker:
    """Crashes by request, here and at other nodes."""

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        """Start without crashes."""
        self._clock = clock
        self._records: dict[int, _Record] = {}
        self._disconnects: list[_Disconnect] = []

    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request is to be refused."""
        record = self._records.get(fingerprint)
        if record is None or record.crashes < MIN_CRASHES_TO_REFUSE:
            return False
        return self._clock() - record.last_crash_s < CRASH_RETENTION_S

    def record_disconnect(
        self, fingerprint: int, incarnation: tuple[str, int]
    ) -> None:
        """Note that a request's connection broke at an endpoint."""
        if len(self._disconnects) < MAX_RECORDS:
            self._disconnects.append(
                _Disconnect(fingerprint, incarnation, self._clock())
            )

    def record_answer(self, fingerprint: int) -> None:
        """Clear a request that an endpoint has answered."""
        self._records.pop(fingerprint, None)
        self._disconnects = [
            one for one in self._disconnects if one.fingerprint != fingerprint
        ]

    @property
    def has_unresolved_disconnects(self) -> bool:
        """Return whether broken connections are still to be judged."""
        return bool(self._disconnects)

    def resolve_disconnects(
        self, live_incarnations: typing.Container[tuple[str, int]]
    ) -> None:
        """Count the breaks whose endpoints have died since."""
        now_s = self._clock()
        unresolved = []
        for one in self._disconnects:
            if one.incarnation not in live_incarnations:
                self._count(one.fingerprint, 1)
            elif now_s - one.at_s < CRASH_DETECTION_S:
                unresolved.append(one)
        self._disconnects = unresolved

    def recent_crashes(self) -> dict[int, int]:
        """Return crashes that other nodes should know of."""
        now_s = self._clock()
        return {
            fingerprint: record.crashes
            for fingerprint, record in self._records.items()
            if now_s - record.last_crash_s < CRASH_DETECTION_S
        }

    def merge_crashes(self, counts: dict[int, int]) -> None:
        """Take another node's crashes; it has heard of ours."""
        for fingerprint, crashes in counts.items():
            known = self._records.get(fingerprint)
            if known is None or known.crashes < crashes:
                self._count(fingerprint, crashes, is_total=True)

    def _count(
        self, fingerprint: int, crashes: int, *, is_total: bool = False
    ) -> None:
        if len(self._records) >= MAX_RECORDS:
            self._records.pop(next(iter(self._records)))
        record = self._records.setdefault(fingerprint, _Record())
        record.crashes = crashes if is_total else record.crashes + crashes
        record.last_crash_s = self._clock()


def fingerprint(target: bytes, account: str | None, body: bytes) -> int:
    """Return what is the same in all tries of one request."""
    digest = hashlib.blake2b(target, digest_size=_DIGEST_BYTES)
    digest.update((account or '').encode())
    digest.update(body)
    return int.from_bytes(digest.digest(), 'big')
