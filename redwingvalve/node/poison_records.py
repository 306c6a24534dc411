"""Keeps what may crash endpoints in the platform's store.

Load pattern: all nodes are replaced at once, and callers of a crashing request
return within a second. The new processes know nothing that only the old ones
knew. So there is one object with the few requests and parts of prompts that
aren't served. It is written by the node that holds the lease, only when one is
added or removed, and read by each node that starts. Trials are claimed by a
conditional write to it.

Times are exchanged as wall clock times; a clock that is off by some seconds
moves a trial by as much.
"""

import time
import typing

import anyio
import attrs

from redwingvalve.ingress import (
    broken_runs,
    crash_keys,
    poison,
    poison_trials,
)
from redwingvalve.node import lease as lease_module
from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('poison-records')
RECORDS_KIND = 'redwingvalve-poison'
RECORDS_NAME = 'requests'
# Probes of sound endpoints are answered by then, so that lost answers cause no
# writes.
WRITE_DELAY_S = 0.4
# Between two looks at what changed without news: lapsed evidence, the lease.
CHECK_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.3
# Between two attempts to claim a trial of the same suspect at this node.
CLAIM_INTERVAL_S = 1.0
MAX_RECORDS = 20
_MS_IN_S = 1000


@attrs.define
class _Record:
    """The entry of a suspect in the object."""

    runs: list[broken_runs.BrokenRun]
    trials: poison_trials.TrialHistory


@attrs.define(eq=False)
class PoisonRecords(poison.EvidenceObserver, poison_trials.TrialClaimer):
    """Reads and writes the records, and claims trials."""

    tracker: poison.PoisonRequestTracker
    client: store.StoreClient
    lease: lease_module.Lease
    is_loaded: bool = False
    # As last read or written: the suspects in the object, and its revision,
    # None if there is no object.
    _stored: set[crash_keys.Key] = attrs.field(factory=set)
    _revision: int | None = None
    # The lease acquisition since which the object is known.
    _read_for: int = 0
    _changed: anyio.Event = attrs.field(factory=anyio.Event)
    _claimed_s: dict[crash_keys.Key, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Observe the tracker."""
        self.tracker.observers.append(self)

    def run_added(self, run: broken_runs.BrokenRun) -> None:
        """Have the records compared soon."""
        self._changed.set()

    def suspect_cleared(self, key: crash_keys.Key) -> None:
        """Have the records compared soon."""
        self._changed.set()

    def wake(self) -> None:
        """Compare the records soon: this node has acquired the lease."""
        self._changed.set()

    async def run(self) -> typing.NoReturn:
        """Load the records, then keep them while this node holds the lease."""
        while not self.is_loaded:
            await self._load()
        while True:
            await self._wait_for_change()
            self.tracker.forget_old()
            await anyio.sleep(WRITE_DELAY_S)
            if not self.lease.is_held():
                continue
            try:
                await self._keep()
            except store.StoreError as error:
                # The next comparison writes what is still missing.
                self._read_for = 0
                LOG.warning('not recorded', extra={'error': str(error)})

    async def claim(self, keys: crash_keys.RequestKeys) -> bool:
        """Return whether this node may try a request that is due."""
        now_s = time.monotonic()
        self._claimed_s = {
            claimed: claimed_s
            for claimed, claimed_s in self._claimed_s.items()
            if now_s - claimed_s < CLAIM_INTERVAL_S
        }
        suspect = self.tracker.blame.judge(*keys.all).key
        if suspect is None or suspect in self._claimed_s:
            return False
        self._claimed_s[suspect] = now_s
        try:
            return await self._claim(suspect, keys)
        except store.StoreError as error:
            LOG.warning('trial not claimed', extra={'error': str(error)})
            return False

    async def _load(self) -> None:
        try:
            await self._read()
        except store.StoreError as error:
            LOG.warning('records not read', extra={'error': str(error)})
            await anyio.sleep(RETRY_INTERVAL_S)
            return
        self.is_loaded = True

    async def _wait_for_change(self) -> None:
        has_evidence = bool(self.tracker.evidence.suspects())
        is_empty = not (self._stored or has_evidence)
        if is_empty and not self._must_read():
            await self._changed.wait()
        else:
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self._changed.wait()
        self._changed = anyio.Event()

    def _must_read(self) -> bool:
        """Return whether a previous holder may have written since."""
        is_held = self.lease.is_held()
        return is_held and self._read_for != self.lease.acquired_revision

    async def _keep(self) -> None:
        """Write the object if it differs from what this node knows."""
        acquired_revision = self.lease.acquired_revision
        if self._must_read():
            await self._read()
            self._read_for = acquired_revision
        wanted = set(self.tracker.not_served()[-MAX_RECORDS:])
        if wanted == self._stored:
            return
        await self._write({'suspects': [self._encode(one) for one in wanted]})
        self._stored = wanted
        LOG.info('recorded', extra={'suspects': len(wanted)})

    async def _claim(
        self, suspect: crash_keys.Key, keys: crash_keys.RequestKeys
    ) -> bool:
        document = await self._read()
        is_recorded = suspect in self._stored
        if not is_recorded or not self.tracker.is_trial_due(*keys.all):
            return False
        known = self.tracker.trials[suspect]
        history = poison_trials.TrialHistory(known.count + 1, time.monotonic())
        await self._write(_with_trial(document, suspect, history))
        self.tracker.trials[suspect] = history
        LOG.info(
            'trial claimed', extra={'suspect': crash_keys.format_key(suspect)}
        )
        return True

    async def _read(self) -> store.Document | None:
        """Apply the object and return it; raises StoreError."""
        document = await self.client.read(RECORDS_KIND, RECORDS_NAME)
        records = _decode(document) if document else {}
        self._revision = store.revision_of(document) if document else None
        self._stored = set(records)
        for suspect, record in records.items():
            self.tracker.trials[suspect] = record.trials
            for run in record.runs:
                self.tracker.add_recorded_run(run)
        return document

    async def _write(self, spec: store.Document) -> None:
        """Replace the object at the known revision; raises StoreError."""
        if self._revision is None:
            stored = await self.client.create(RECORDS_KIND, RECORDS_NAME, spec)
        else:
            stored = await self.client.replace(
                RECORDS_KIND, RECORDS_NAME, spec, self._revision
            )
        self._revision = store.revision_of(stored)

    def _encode(self, suspect: crash_keys.Key) -> store.Document:
        trials = self.tracker.trials.get(suspect, poison_trials.TrialHistory())
        return {
            'suspect': crash_keys.format_key(suspect),
            'runs': [
                [
                    crash_keys.format_key(run.fingerprint),
                    *run.incarnation,
                    _to_wall_ms(run.at_s),
                    run.is_crash,
                    [crash_keys.format_key(one) for one in run.suspects],
                    int((run.at_s - run.sent_s) * _MS_IN_S),
                ]
                for run in self.tracker.blame.decisive_runs(suspect)
            ],
            'trials': trials.count,
            'tried_ms': _to_wall_ms(trials.latest_s) if trials.count else 0,
        }


def _with_trial(
    document: store.Document | None,
    suspect: crash_keys.Key,
    history: poison_trials.TrialHistory,
) -> store.Document:
    """Return the object's content with a new trial of one suspect."""
    name = crash_keys.format_key(suspect)
    records = document['spec']['suspects'] if document else []
    trial = {
        'trials': history.count,
        'tried_ms': _to_wall_ms(history.latest_s),
    }
    return {
        'suspects': [
            {**one, **trial} if one.get('suspect') == name else one
            for one in records
        ]
    }


def _decode(document: store.Document) -> dict[crash_keys.Key, _Record]:
    """Return the records; one that can't be read is left out."""
    found = {}
    try:
        records = list(document['spec']['suspects'])
    except (KeyError, TypeError) as error:
        LOG.error('invalid records', extra={'error': str(error)})
        return {}
    for record in records:
        try:
            suspect, decoded = _decode_record(record)
        except (KeyError, TypeError, ValueError) as error:
            LOG.error('invalid record', extra={'error': str(error)})
            continue
        found[suspect] = decoded
    return found


def _decode_record(record: store.Document) -> tuple[crash_keys.Key, _Record]:
    suspect = int(record['suspect'], 16)
    count = int(record['trials'])
    latest_s = _to_monotonic_s(record['tried_ms']) if count else 0
    runs = [_decode_run(*run) for run in record['runs']]
    return suspect, _Record(runs, poison_trials.TrialHistory(count, latest_s))


def _decode_run(
    fingerprint: str,
    endpoint_id: str,
    born_ms: int,
    at_ms: int,
    is_crash: bool,
    suspects: list[str],
    lasted_ms: int,
) -> broken_runs.BrokenRun:
    at_s = _to_monotonic_s(at_ms)
    return broken_runs.BrokenRun(
        int(fingerprint, 16),
        (str(endpoint_id), int(born_ms)),
        at_s,
        bool(is_crash),
        frozenset(int(one, 16) for one in suspects),
        at_s - int(lasted_ms) / _MS_IN_S,
    )


def _to_wall_ms(monotonic_s: float) -> int:
    age_s = time.monotonic() - monotonic_s
    return int((time.time() - age_s) * _MS_IN_S)


def _to_monotonic_s(wall_ms: int) -> float:
    # A clock that was set back must not place an event in the future.
    age_s = max(time.time() - wall_ms / _MS_IN_S, 0)
    return time.monotonic() - age_s
