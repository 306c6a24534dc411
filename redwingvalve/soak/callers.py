"""Simulated clients, which use entry discovery and retry requests."""

import contextlib
import json
import random
import time
import typing
from collections import abc as collections_abc

import anyio
import attrs
import httpx

from redwingvalve.core import outcomes
from redwingvalve.soak import records, workload

DEADLINE_S = 12.0
GRACE_S = 4.0
MAX_ATTEMPTS = 4
MAX_WAIT_S = 2.0
MEAN_PAUSE_S = 0.3
SHORTEST_PAUSE_S = 0.1
DISCOVERY_TIMEOUT_S = 2.0
OK_STATUS = 200
EVENT_ERROR = 'event: error'
DATA = 'data: '
DONE = 'data: [DONE]'


class Directory:
    """Caches discovered entries for the time that the response allows."""

    def __init__(
        self, first: tuple[str, ...], client: httpx.AsyncClient
    ) -> None:
        """Use the first addresses until an entry has been discovered."""
        self._first = first
        self._client = client
        self._known: tuple[str, ...] = ()
        self._keep_until_s = 0.0

    async def addresses(self, rng: random.Random) -> tuple[str, ...]:
        """Return the known entries; empty if none responds."""
        if self._known and time.monotonic() < self._keep_until_s:
            return self._known
        candidates = [*self._known, *self._first]
        rng.shuffle(candidates)
        for address in candidates:
            with contextlib.suppress(httpx.HTTPError, ValueError, KeyError):
                answer = await self._client.get(
                    f'http://{address}/v1/entries', timeout=DISCOVERY_TIMEOUT_S
                )
                self._keep(answer.json())
                return self._known
        return ()

    def forget(self) -> None:
        """Expire the cache, as a client does after a broken connection."""
        self._keep_until_s = 0.0

    def _keep(self, answer: dict[str, typing.Any]) -> None:
        rows = answer['entries']
        self._known = tuple(str(row['address']) for row in rows)
        self._keep_until_s = time.monotonic() + float(answer['keep_s'])


@attrs.define
class CallerSettings:
    """Settings of a caller.

    disturbed tells whether a fault excuses an entry that does not respond. A
    caller that clings keeps its connection until the entry is gone.
    """

    credential: str
    target: workload.Target
    first_entries: tuple[str, ...]
    disturbed: collections_abc.Callable[[str, float], bool]
    clings: bool = False


class Caller:
    """Sends one request at a time and retries it as its outcome allows."""

    def __init__(
        self, name: str, settings: CallerSettings, rng: random.Random
    ) -> None:
        """Create a caller with its own connection pool."""
        self._name = name
        self._settings = settings
        self._chance = rng
        self._count = 0
        self._client = httpx.AsyncClient(
            headers={'authorization': f'Bearer {settings.credential}'},
            limits=httpx.Limits(keepalive_expiry=None),
        )
        # The entry that a caller clings to, or empty.
        self._kept = ''
        self._directory = Directory(settings.first_entries, self._client)
        self.records: list[records.Record] = []

    async def run(self, ends_at_s: float) -> None:
        """Send requests until a time of the monotonic clock."""
        async with self._client:
            while time.monotonic() < ends_at_s:
                await self.call(workload.choose_kind(self._chance))
                pause_s = self._chance.expovariate(1 / MEAN_PAUSE_S)
                await anyio.sleep(pause_s)

    async def probe(self, address: str) -> bool:
        """Tell whether an entry completes a model request."""
        self._count += 1
        name = f'{self._name}-{self._count}'
        request = workload.make_request(
            name, workload.Kind.NARRATIVE, self._settings.target
        )
        attempt = records.Attempt(address, time.time())
        await self._send(request, attempt)
        return attempt.whole

    async def call(
        self,
        kind: workload.Kind,
        marker: str = '',
        max_attempts: int = MAX_ATTEMPTS,
        pause_s: float = SHORTEST_PAUSE_S,
    ) -> records.Record:
        """Send one request with up to max_attempts attempts.

        Waits pause_s between attempts, or longer if the response asks for it.
        """
        self._count += 1
        request = workload.make_request(
            f'{self._name}-{self._count}', kind, self._settings.target, marker
        )
        record = records.Record(request)
        self.records.append(record)
        while len(record.attempts) < max_attempts and not record.answered:
            addresses = await self._addresses()
            if not addresses:
                await anyio.sleep(MAX_WAIT_S)
                record.attempts.append(_make_unreachable_attempt())
                continue
            attempt = records.Attempt(
                self._chance.choice(addresses), time.time()
            )
            record.attempts.append(attempt)
            await self._send(request, attempt)
            is_kept = self._settings.clings and not attempt.broken
            self._kept = attempt.entry if is_kept else ''
            if len(record.attempts) < max_attempts:
                await self._wait_after(attempt, pause_s)
        return record

    async def _addresses(self) -> tuple[str, ...]:
        if self._kept:
            return (self._kept,)
        return await self._directory.addresses(self._chance)

    async def _wait_after(
        self, attempt: records.Attempt, pause_s: float
    ) -> None:
        if attempt.whole:
            return
        if attempt.broken:
            self._directory.forget()
        await anyio.sleep(min(MAX_WAIT_S, max(pause_s, attempt.retry_after_s)))

    async def _send(
        self, request: workload.Request, attempt: records.Attempt
    ) -> None:
        try:
            with anyio.fail_after(DEADLINE_S + GRACE_S):
                await self._exchange(request, attempt)
        except TimeoutError:
            # Only a dead or disconnected entry may leave a request unanswered.
            disturbed = self._settings.disturbed
            attempt.overdue = not disturbed(attempt.entry, attempt.started_s)
            attempt.broken = True
            attempt.excused = True
        except httpx.ConnectError:
            attempt.broken = True
            attempt.excused = True
        except httpx.HTTPError as error:
            attempt.broken = True
            attempt.error = repr(error)
            disturbed = self._settings.disturbed
            attempt.excused = disturbed(attempt.entry, attempt.started_s)
        attempt.ended_s = time.time()
        if attempt.outcome:
            return
        # A daemon that is killed as a task of this process returns 500, where
        # a killed process would drop the connection.
        killed = self._settings.disturbed(attempt.entry, attempt.started_s)
        attempt.broken = attempt.broken or killed
        if attempt.broken:
            attempt.outcome = outcomes.Outcome.UNKNOWN.value
            attempt.excused = attempt.excused or killed

    async def _exchange(
        self, request: workload.Request, attempt: records.Attempt
    ) -> None:
        url = f'http://{attempt.entry}{request.path}'
        async with self._client.stream(
            request.method,
            url,
            content=request.body,
            headers=_headers(request, len(self.records)),
            timeout=DEADLINE_S + 2 * GRACE_S,
        ) as answer:
            attempt.status = answer.status_code
            said = answer.headers.get(outcomes.OUTCOME_HEADER, '')
            if answer.status_code != OK_STATUS:
                attempt.outcome = said
                _read_error(await answer.aread(), attempt)
                attempt.retry_after_s = float(
                    answer.headers.get('retry-after', 0)
                )
            elif request.streamed:
                await _read_stream(answer, attempt)
            else:
                _read_whole(request, await answer.aread(), attempt)


def _make_unreachable_attempt() -> records.Attempt:
    return records.Attempt(
        'nobody',
        time.time(),
        ended_s=time.time(),
        outcome=outcomes.Outcome.NOT_RUN.value,
        broken=True,
        excused=True,
    )


def _headers(request: workload.Request, number: int) -> dict[str, str]:
    headers = {
        outcomes.REQUEST_ID_HEADER: f'{request.name}-{number}',
        outcomes.DEADLINE_HEADER: str(round(DEADLINE_S * 1000)),
        outcomes.IDEMPOTENT_HEADER: str(request.idempotent).lower(),
        'content-type': 'application/json',
    }
    if not request.idempotent:
        headers[outcomes.REQUEST_KEY_HEADER] = request.request_key
    return headers


async def _read_stream(
    answer: httpx.Response, attempt: records.Attempt
) -> None:
    failed = False
    async for line in answer.aiter_lines():
        failed = failed or line == EVENT_ERROR
        if failed and line.startswith(DATA):
            _read_error(line.removeprefix(DATA).encode(), attempt)
            return
        if line.startswith(f'{DATA}{{'):
            if not attempt.text:
                attempt.first_token_s = time.time() - attempt.started_s
            attempt.text += _content(line)
    # A client treats a cleanly ended stream as complete, with or without
    # [DONE].
    attempt.whole = True
    attempt.outcome = outcomes.Outcome.RAN.value


def _content(line: str) -> str:
    choices = json.loads(line.removeprefix(DATA)).get('choices') or [{}]
    return str(choices[0].get('delta', {}).get('content') or '')


def _read_whole(
    request: workload.Request, body: bytes, attempt: records.Attempt
) -> None:
    content = json.loads(body)
    if request.prompt:
        attempt.text = content['choices'][0]['message']['content']
    else:
        attempt.text = content['digest']
    attempt.whole = True
    attempt.outcome = outcomes.Outcome.RAN.value


def _read_error(body: bytes, attempt: records.Attempt) -> None:
    with contextlib.suppress(ValueError, KeyError, TypeError):
        error = json.loads(body)['error']
        attempt.code = error['code']
        attempt.outcome = error['outcome']
        attempt.retry_after_s = float(error.get('retry_after_s') or 0.0)
