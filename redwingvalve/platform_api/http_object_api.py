"""The object API over HTTP, following the REST conventions of Kubernetes.

Source: the published API conventions (resource versions, Status errors, list
and watch). A response that can't be decoded is treated like no response,
since it may come from a proxy.
"""

import json
import typing
import urllib.parse
from collections import abc as collections_abc

import httpx
from expression import Error, Ok, Result

from redwingvalve.platform_api import (
    http_responses,
    limited_clients,
    object_api,
)

GROUP_PATH = '/apis/redwingvalve.io/v1'
API_VERSION = 'redwingvalve.io/v1'
WATCH_TIMEOUT_S = 30

Stored = object_api.StoredObject
ObjectError = object_api.ObjectError


class HttpObjectApi(object_api.ObjectApi):
    """A client of an object API; each call has the timeout of its client."""

    def __init__(self, base_url: str, client: httpx.AsyncClient) -> None:
        """Use client, which has the timeout, for all calls."""
        self._base_url = base_url.rstrip('/')
        self._client = client

    async def get(self, kind: str, name: str) -> Result[Stored, ObjectError]:
        """Return one object."""
        response = await self._call('GET', self._url(kind, name))
        return response.bind(lambda raw: _decode_response(raw, kind))

    async def list(
        self, kind: str
    ) -> Result[object_api.ObjectList, ObjectError]:
        """Return all objects of a kind at one version."""
        response = await self._call('GET', self._url(kind))
        if response.is_error():
            return Error(response.error)
        try:
            return Ok(_decode_list(kind, response.ok))
        except (KeyError, TypeError, AttributeError) as error:
            return Error(_invalid_response(error, maybe_applied=False))

    async def create(
        self, kind: str, name: str, body: object_api.Body
    ) -> Result[Stored, ObjectError]:
        """Create an object; Conflict if the name exists."""
        raw = _encode(kind, name, '', body)
        response = await self._call('POST', self._url(kind), raw, (kind, name))
        return response.bind(
            lambda raw_object: _decode_response(raw_object, kind, is_write=True)
        )

    async def update(self, stored: Stored) -> Result[Stored, ObjectError]:
        """Replace an object if it still has stored.version."""
        raw = _encode(stored.kind, stored.name, stored.version, stored.body)
        response = await self._call(
            'PUT',
            self._url(stored.kind, stored.name),
            raw,
            (stored.kind, stored.name),
        )
        return response.bind(
            lambda raw_object: _decode_response(
                raw_object, stored.kind, is_write=True
            )
        )

    async def delete(
        self, kind: str, name: str, version: str
    ) -> Result[None, ObjectError]:
        """Delete an object if it still has this version."""
        query = urllib.parse.urlencode({'resourceVersion': version})
        response = await self._call(
            'DELETE', f'{self._url(kind, name)}?{query}', None, (kind, name)
        )
        return response.map(lambda _: None)

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
                'GET',
                url,
                timeout=timeout,
                extensions=dict(limited_clients.EACH_LINE),
            ) as response:
                async for event in _events(response, kind):
                    yield event
        except httpx.HTTPError as error:
            yield Error(
                object_api.Unavailable(
                    f'the watch failed: {error!r}', maybe_applied=False
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
        write_target: tuple[str, str] | None = None,
    ) -> Result[typing.Any, ObjectError]:
        try:
            response = await self._client.request(method, url, json=body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Error(_no_response(error, maybe_applied=False))
        except httpx.HTTPError as error:
            # The write may have reached the store before the connection was
            # lost; only a later read can tell.
            return Error(
                _no_response(error, maybe_applied=write_target is not None)
            )
        if response.status_code >= http_responses.STATUS_BAD_REQUEST:
            kind, name = write_target or ('', '')
            return Error(
                _error_from_response(
                    response, kind, name, is_write=write_target is not None
                )
            )
        try:
            return Ok(response.json())
        except ValueError as error:
            return Error(
                _invalid_response(error, maybe_applied=write_target is not None)
            )


def make_http_object_api(base_url: str, timeout_s: float) -> HttpObjectApi:
    """Return a client of the object API at base_url."""
    client = limited_clients.make_client(
        timeout_s,
        limits=httpx.Limits(max_connections=64, max_keepalive_connections=16),
    )
    return HttpObjectApi(base_url, client)


async def _events(
    response: httpx.Response, kind: str
) -> collections_abc.AsyncIterator[Result[object_api.WatchEvent, ObjectError]]:
    if response.status_code >= http_responses.STATUS_BAD_REQUEST:
        await response.aread()
        yield Error(_error_from_response(response, kind, '', is_write=False))
        return
    async for line in response.aiter_lines():
        if not line.strip():
            # An empty line opens the stream before the first event.
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


def _decode_response(
    raw: object_api.Body, kind: str, *, is_write: bool = False
) -> Result[Stored, ObjectError]:
    try:
        return Ok(_decode(raw, kind))
    except (KeyError, TypeError) as error:
        return Error(_invalid_response(error, maybe_applied=is_write))


def _decode_event(
    kind: str, line: str
) -> Result[object_api.WatchEvent, ObjectError]:
    try:
        raw = json.loads(line)
        if raw['type'] == 'ERROR':
            return Error(_watch_error(kind, raw['object']))
        return Ok(
            object_api.WatchEvent(raw['type'], _decode(raw['object'], kind))
        )
    except (ValueError, KeyError, TypeError) as error:
        return Error(_invalid_response(error, maybe_applied=False))


def _watch_error(kind: str, status: object_api.Body) -> ObjectError:
    if status.get('code') == http_responses.STATUS_GONE:
        return object_api.Expired(kind)
    return object_api.Unavailable(
        str(status.get('message', status)), maybe_applied=False
    )


def _error_from_response(
    response: httpx.Response, kind: str, name: str, *, is_write: bool
) -> ObjectError:
    message = response.text[:200]
    if response.status_code == http_responses.STATUS_NOT_FOUND:
        return object_api.NotFound(kind, name)
    if response.status_code == http_responses.STATUS_CONFLICT:
        return object_api.Conflict(kind, name, message)
    if response.status_code == http_responses.STATUS_GONE:
        return object_api.Expired(kind)
    if response.status_code == http_responses.STATUS_TOO_MANY:
        return object_api.Unavailable(
            'the rate limit of the store is reached',
            maybe_applied=False,
            retry_after_s=http_responses.retry_after_s(response),
        )
    if response.status_code >= http_responses.STATUS_SERVER_ERROR:
        # A gateway may respond with 5xx after the store applied the write.
        return object_api.Unavailable(message, maybe_applied=is_write)
    return object_api.Refused(message)


def _no_response(
    error: httpx.HTTPError, *, maybe_applied: bool
) -> object_api.Unavailable:
    return object_api.Unavailable(
        f'no answer: {error!r}', maybe_applied=maybe_applied
    )


def _invalid_response(
    error: Exception, *, maybe_applied: bool
) -> object_api.Unavailable:
    return object_api.Unavailable(
        f'the response cannot be read: {error!r}', maybe_applied=maybe_applied
    )
