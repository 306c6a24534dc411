"""Refuses poison requests, which crash each endpoint that runs them.

Load pattern: a single request crashes whatever runs it, and its caller retries
it with the same path, account and body at any node. Unchecked, each attempt
takes an endpoint, and with it a replica of several VMs, out of service. Such a
request is refused after three crashes.

A broken connection alone is not a crash: answers get lost and connections are
reset. It counts only if the endpoint's incarnation ends within
CRASH_DETECTION_S, and then for all requests whose connections broke there. A
request that any endpoint answers is cleared, so that harmless ones among them
aren't refused.
"""

import hashlib
import time
import typing

import attrs

from redwingvalve.observability import logs

LOG = logs.make_logger('poison')
# The end of an incarnation shows at the next missed heartbeat, or immediately
# if the endpoint restarts.
CRASH_DETECTION_S = 6.0
MIN_CRASHES_TO_REFUSE = 3
# A request is tried once more when its last crash is this long ago.
CRASH_RETENTION_S = 120.0
MAX_RECORDS = 10_000
_DIGEST_BYTES = 7
_MS_IN_S = 1000


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
    """Crash counts by request fingerprint, from this node and others."""

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        """Start without crashes."""
        self._clock = clock
        self._records: dict[int, _Record] = {}
        self._disconnects: list[_Disconnect] = []

    def is_poison(self, fingerprint: int) -> bool:
        """Return whether to refuse a request."""
        record = self._records.get(fingerprint)
        if record is None or record.crashes < MIN_CRASHES_TO_REFUSE:
            return False
        return self._clock() - record.last_crash_s < CRASH_RETENTION_S

    def record_disconnect(
        self, fingerprint: int, incarnation: tuple[str, int]
    ) -> None:
        """Record that the connection of a request broke at an endpoint."""
        if len(self._disconnects) >= MAX_RECORDS:
            return
        now_s = self._clock()
        self._disconnects.append(_Disconnect(fingerprint, incarnation, now_s))
        self._log('connection broke', fingerprint, incarnation)

    def record_answer(self, fingerprint: int) -> None:
        """Clear a request that an endpoint has answered."""
        self._records.pop(fingerprint, None)
        self._disconnects = [
            one for one in self._disconnects if one.fingerprint != fingerprint
        ]

    @property
    def has_unresolved_disconnects(self) -> bool:
        """Return whether some disconnects are not yet classified."""
        return bool(self._disconnects)

    def resolve_disconnects(
        self, live_incarnations: typing.Container[tuple[str, int]]
    ) -> None:
        """Count the disconnects whose endpoints have crashed since."""
        now_s = self._clock()
        unresolved = []
        for one in self._disconnects:
            age_s = now_s - one.at_s
            if one.incarnation not in live_incarnations:
                self._count(one.fingerprint, 1)
                self._log('crash', one.fingerprint, one.incarnation, age_s)
            elif age_s < CRASH_DETECTION_S:
                unresolved.append(one)
            else:
                self._log('no crash', one.fingerprint, one.incarnation, age_s)
        self._disconnects = unresolved

    def recent_crashes(self) -> dict[int, int]:
        """Return recent crash counts, to be sent to other nodes."""
        now_s = self._clock()
        return {
            fingerprint: record.crashes
            for fingerprint, record in self._records.items()
            if now_s - record.last_crash_s < CRASH_DETECTION_S
        }

    def merge_crashes(self, counts: dict[int, int], sender: str) -> None:
        """Merge another node's counts, taking the higher one of each request.

        The counts of a node include those that it received from this one.
        """
        for fingerprint, crashes in counts.items():
            known = self._records.get(fingerprint)
            if known is None or known.crashes < crashes:
                self._count(fingerprint, crashes, is_total=True)
                LOG.info(
                    'crashes reported',
                    extra={
                        'fingerprint': format_fingerprint(fingerprint),
                        'crashes': crashes,
                        'sender': sender,
                    },
                )

    def _count(
        self, fingerprint: int, crashes: int, *, is_total: bool = False
    ) -> None:
        if len(self._records) >= MAX_RECORDS:
            self._records.pop(next(iter(self._records)))
        record = self._records.setdefault(fingerprint, _Record())
        record.crashes = crashes if is_total else record.crashes + crashes
        record.last_crash_s = self._clock()

    def _log(
        self,
        message: str,
        fingerprint: int,
        incarnation: tuple[str, int],
        age_s: float = 0,
    ) -> None:
        record = self._records.get(fingerprint)
        LOG.info(
            message,
            extra={
                'fingerprint': format_fingerprint(fingerprint),
                'endpoint': incarnation[0],
                'born_ms': incarnation[1],
                'age_ms': int(age_s * _MS_IN_S),
                'crashes': record.crashes if record else 0,
            },
        )


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as logs show it, in hexadecimal."""
    return f'{fingerprint:014x}'


def fingerprint(target: bytes, account: str | None, body: bytes) -> int:
    """Return a hash that is the same for all attempts of one request."""
    digest = hashlib.blake2b(target, digest_size=_DIGEST_BYTES)
    digest.update((account or '').encode())
    digest.update(body)
    return int.from_bytes(digest.digest(), 'big')
