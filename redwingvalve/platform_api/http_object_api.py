"""The object API over HTTP, after the REST conventions of Kubernetes.

Source: the published API conventions (resource versions, Status errors, list
and watch). Answers that cannot be understood count as no answer, since a
proxy between may have written them.
"""

import json
import typing
import urllib.parse
from collections import abc as collections_abc

import httpx
from expression import Error, Ok, Result

from redwingvalve.platform_api import http_responses, object_api

GROUP_PATH = '/apis/redwingvalve.io/v1'
API_VERSION = 'redwingvalve.io/v1'
WATCH_TIMEOUT_S = 30

Stored = object_api.StoredObject
ObjectError = object_api.ObjectError


class HttpObjectApi(object_api.ObjectApi):
    """Calls one object API; each call has timeout_s in all."""

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        """Use client, which carries the timeout, for all calls."""
        self._base_url = base_url.rstrip('/')
        self._client = client

    async def get(self, kind: str, name: str) -> Result[Stored, ObjectError]:
        """Return one object."""
        answer = await self._call('GET', self._url(kind, name))
        return answer.bind(lambda raw: _read(raw, kind))

    async def list(
        self, kind: str
    ) -> Result[object_api.ObjectList, ObjectError]:
        """Return all objects of a kind at one version."""
        answer = await self._call('GET', self._url(kind))
        if answer.is_error():
            return Error(answer.error)
        try:
            return Ok(_decode_list(kind, answer.ok))
        except (KeyError, TypeError, AttributeError) as error:
            return Error(_unreadable(error, maybe_applied=False))

    async def create(
        self, kind: str, name: str, body: object_api.Body
    ) -> Result[Stored, ObjectError]:
        """Create an object; Conflict when the name exists."""
        raw = _encode(kind, name, '', body)
        answer = await self._call('POST', self._url(kind), raw, (kind, name))
        return answer.bind(lambda made: _read(made, kind, written=True))

    async def update(self, stored: Stored) -> Result[Stored, ObjectError]:
        """Replace an object if it still has stored.version."""
        raw = _encode(stored.kind, stored.name, stored.version, stored.body)
        answer = await self._call(
            'PUT',
            self._url(stored.kind, stored.name),
            raw,
            (stored.kind, stored.name),
        )
        return answer.bind(lambda made: _read(made, stored.kind, written=True))

    async def delete(
        self, kind: str, name: str, version: str
    ) -> Result[None, ObjectError]:
        """Delete an object if it still has this version."""
        query = urllib.parse.urlencode({'resourceVersion': version})
        answer = await self._call(
            'DELETE', f'{self._url(kind, name)}?{query}', None, (kind, name)
        )
        return answer.map(lambda _: None)

    async def watch(
        self, kind: str, version: str
    ) -> collections_abc.AsyncIterator[
        Result[object_api.WatchEvent, ObjectError]
    ]:
        """Yield changes after version until an error or the watch's end."""
        query = urllib.parse.urlencode(
            {
                'watch': 1,
                'resourceVersion': version,
                'timeoutSeconds': WATCH_TIMEOUT_S,
            }
        )
        url = f'{self._url(kind)}?{query}'
        timeout = httpx.Timeout(WATCH_TIMEOUT_S * 2)
        try:
            async with self._client.stream(
                'GET', url, timeout=timeout
            ) as answer:
                async for event in _events(answer, kind):
                    yield event
        except httpx.HTTPError as error:
            yield Error(
                object_api.Unavailable(
                    f'the watch broke: {error!r}', maybe_applied=False
                )
            )

    async def aclose(self) -> None:
        """Close connections."""
        await self._client.aclose()

    def _url(self, kind: str, name: str = '') -> str:
        path = f'{self._base_url}{GROUP_PATH}/{urllib.parse.quote(kind)}'
        return f'{path}/{urllib.parse.quote(name)}' if name else path

    async def _call(
        self,
        method: str,
        url: str,
        body: object_api.Body | None = None,
        written: tuple[str, str] | None = None,
    ) -> Result[typing.Any, ObjectError]:
        try:
            answer = await self._client.request(method, url, json=body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Error(_no_answer(error, maybe_applied=False))
        except httpx.HTTPError as error:
            # The write may have reached the store before the connection
            # broke; only a read afterwards can tell.
            return Error(_no_answer(error, maybe_applied=written is not None))
        if answer.status_code >= http_responses.STATUS_BAD_REQUEST:
            kind, name = written or ('', '')
            return Error(
                _problem(answer, kind, name, written=written is not None)
            )
        try:
            return Ok(answer.json())
        except ValueError as error:
            return Error(_unreadable(error, maybe_applied=written is not None))


def make_http_object_api(base_url: str, timeout_s: float) -> HttpObjectApi:
    """Return a client of the object API at base_url."""
    client = httpx.AsyncClient(
        timeout=timeout_s,
        limits=httpx.Limits(max_connections=64, max_keepalive_connections=16),
    )
    return HttpObjectApi(base_url, client)


async def _events(
    answer: httpx.Response, kind: str
) -> collections_abc.AsyncIterator[Result[object_api.WatchEvent, ObjectError]]:
    if answer.status_code >= http_responses.STATUS_BAD_REQUEST:
        await answer.aread()
        yield Error(_problem(answer, kind, '', written=False))
        return
    async for line in answer.aiter_lines():
        if not line.strip():
            # Sent to open the stream before the first event.
            continue
        event = _decode_event(kind, line)
        yield event
        if event.is_error():
            return


def _encode(
    kind: str, name: str, version: str, body: object_api.Body
) -> object_api.Body:
    metadata = {'name': name}
    if version:
        metadata['resourceVersion'] = version
    return {
        'apiVersion': API_VERSION,
        'kind': kind,
        'metadata': metadata,
        'spec': body,
    }


def _decode(raw: object_api.Body, kind: str) -> Stored:
    metadata = raw['metadata']
    return Stored(
        kind, metadata['name'], metadata['resourceVersion'], raw['spec']
    )


def _decode_list(kind: str, raw: object_api.Body) -> object_api.ObjectList:
    return object_api.ObjectList(
        raw['metadata']['resourceVersion'],
        tuple(_decode(member, kind) for member in raw['items']),
    )


def _read(
    raw: object_api.Body, kind: str, *, written: bool = False
) -> Result[Stored, ObjectError]:
    try:
        return Ok(_decode(raw, kind))
    except (KeyError, TypeError) as error:
        return Error(_unreadable(error, maybe_applied=written))


def _decode_event(
    kind: str, line: str
) -> Result[object_api.WatchEvent, ObjectError]:
    try:
        raw = json.loads(line)
        if raw['type'] == 'ERROR':
            return Error(_watch_problem(kind, raw['object']))
        return Ok(
            object_api.WatchEvent(raw['type'], _decode(raw['object'], kind))
        )
    except (ValueError, KeyError, TypeError) as error:
        return Error(_unreadable(error, maybe_applied=False))


def _watch_problem(kind: str, status: object_api.Body) -> ObjectError:
    if status.get('code') == http_responses.STATUS_GONE:
        return object_api.Expired(kind)
    return object_api.Unavailable(
        str(status.get('message', status)), maybe_applied=False
    )


def _problem(
    answer: httpx.Response, kind: str, name: str, *, written: bool
) -> ObjectError:
    message = answer.text[:200]
    if answer.status_code == http_responses.STATUS_NOT_FOUND:
        return object_api.NotFound(kind, name)
    if answer.status_code == http_responses.STATUS_CONFLICT:
        return object_api.Conflict(kind, name, message)
    if answer.status_code == http_responses.STATUS_GONE:
        return object_api.Expired(kind)
    if answer.status_code == http_responses.STATUS_TOO_MANY:
        return object_api.Unavailable(
            'the rate limit of the store is reached',
            maybe_applied=False,
            retry_after_s=http_responses.retry_after_s(answer),
        )
    if answer.status_code >= http_responses.STATUS_SERVER_ERROR:
        # A gateway may answer 5xx after the store has taken the write.
        return object_api.Unavailable(message, maybe_applied=written)
    return object_api.Refused(message)


def _no_answer(
    error: httpx.HTTPError, *, maybe_applied: bool
) -> object_api.Unavailable:
    return object_api.Unavailable(
        f'no answer: {error!r}', maybe_applied=maybe_applied
    )


def _unreadable(
    error: Exception, *, maybe_applied: bool
) -> object_api.Unavailable:
    return object_api.Unavailable(
        f'the answer cannot be read: {error!r}', maybe_applied=maybe_applied
    )
