"""Client for the platform's object store.

A call without a response may have been executed, or may be executed later.
Writes are conditional on a revision, so that a delayed write has no effect
after another write to the same object.
"""

import asyncio
import json
import typing
import urllib.parse

import attrs

from redwingvalve.http1 import client, messages, pool
from redwingvalve.observability import node_metrics
from redwingvalve.platform import json_answers, names, settings

Document = dict[str, typing.Any]
# The store responds in 4 ms, but takes up to 60 times as long on slow days.
CALL_TIMEOUT_S = 1.0
# Extra time beyond the requested wait before a watch counts as failed: its
# connection may be cut or stall silently.
WATCH_TIMEOUT_MARGIN_S = 0.5
_OK = 200
_MULTIPLE = 300
_NOT_FOUND = 404
_CONFLICT = 409
_HISTORY_GONE = 410


class StoreError(Exception):
    """No valid response from the store; a write may have been executed."""


class StoreRefusedError(StoreError):
    """The call failed or was rejected before it had any effect."""


class NotListeningError(StoreRefusedError):
    """The host replied that nothing listens at the address."""


class HistoryGoneError(StoreError):
    """The store no longer holds the changes since the revision."""


class ConflictError(StoreError):
    """The object is not at the expected revision.

    current is the object as it is now, or None if it does not exist.
    """

    def __init__(self, current: Document | None) -> None:
        """Store the current object."""
        super().__init__('the object is not at the expected revision')
        self.current = current


@attrs.frozen
class Listing:
    """All objects of a kind at one revision."""

    objects: list[Document]
    revision: int
    # Age of the store's response if another node relayed it, else 0.
    age_s: float = 0


@attrs.frozen
class Change:
    """An object after a change, or its last state before removal."""

    stored: Document
    is_removed: bool

    @property
    def name(self) -> str:
        """Name of the object, empty if it can't be read."""
        return name_of(self.stored)


@attrs.frozen
class Changes:
    """Changes of a kind and the revision to watch from next."""

    changes: list[Change]
    revision: int
    # Age of the store's response if another node relayed it, else 0.
    age_s: float = 0


def name_of(stored: typing.Any) -> str:
    """Return the name of an object, '' if it can't be read."""
    metadata = stored.get('metadata') if isinstance(stored, dict) else None
    name = metadata.get('name') if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ''


def revision_of(stored: Document) -> int:
    """Return the revision of the object's last change."""
    return int(stored['metadata']['revision'])


def revision_or_zero(stored: Document) -> int:
    """Return the revision of the object's last change, 0 if unreadable."""
    metadata = stored.get('metadata')
    revision = metadata.get('revision') if isinstance(metadata, dict) else 0
    return revision if isinstance(revision, int) else 0


class JsonClient:
    """HTTP client for JSON requests over pooled connections."""

    def __init__(self, connections: pool.Pool) -> None:
        """Take connections from the pool."""
        self._connections = connections
        self.calls = 0

    async def call(
        self,
        address: tuple[str, int],
        start: str,
        document: Document | None,
        timeout_s: float,
        headers: messages.Headers | None = None,
        answer: json_answers.JsonAnswer | None = None,
    ) -> tuple[int, typing.Any]:
        """Return status and parsed body; raises StoreError.

        start is the method and the target, as in `GET /path`. answer reads the
        body, by default as that of a store.
        """
        self.calls += 1
        outcome = 'no answer'
        try:
            status, content = await self._exchange(
                address,
                _render(address, start, _encode(document), headers or []),
                timeout_s,
                answer or json_answers.make_page_answer(),
            )
            outcome = str(status)
        except StoreRefusedError:
            outcome = 'no connection'
            raise
        finally:
            node_metrics.METRICS.count(
                'redwingvalve_calls', call=_call_name(start), outcome=outcome
            )
        return status, content

    async def connect(self, address: tuple[str, int]) -> None:
        """Open a connection for a later call; raises StoreRefusedError."""
        try:
            connection = await self._connections.connect(address)
        except pool.ConnectError as error:
            raise _connection_failure(error) from error
        self._connections.add_idle(address, connection)

    async def _exchange(
        self,
        address: tuple[str, int],
        request: bytes,
        timeout_s: float,
        answer: json_answers.JsonAnswer,
    ) -> tuple[int, typing.Any]:
        connection = await self._take(address, timeout_s)
        answer.on_excess = connection.abandon
        connection.send(
            request,
            answer,
            self._connections.release_callback(address),
        )
        try:
            async with asyncio.timeout(timeout_s):
                await answer.done
        except TimeoutError as error:
            raise StoreError('timed out waiting for a response') from error
        finally:
            if not answer.done.done() or answer.done.cancelled():
                connection.abandon()
        try:
            return answer.status, await answer.parse()
        except json_answers.AnswerError as error:
            raise StoreError(str(error)) from error

    async def _take(
        self, address: tuple[str, int], timeout_s: float
    ) -> client.Connection:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connections.take(address)
        except pool.ConnectError as error:
            raise _connection_failure(error) from error
        except TimeoutError as error:
            raise StoreRefusedError('timed out connecting') from error


def _connection_failure(error: pool.ConnectError) -> StoreRefusedError:
    failure = NotListeningError if error.was_refused else StoreRefusedError
    return failure(f'connection failed: {error}')


class StoreClient:
    """Lists, watches, reads and writes objects by kind and name."""

    def __init__(
        self, address: settings.SocketAddress, json_client: JsonClient
    ) -> None:
        """Send requests to the store at address through json_client."""
        self._address = (address.host, address.port)
        self._json = json_client

    async def list_kind(self, kind: str, is_stale: bool = False) -> Listing:
        """Return all objects of a kind; raises StoreError."""
        objects: list[Document] = []
        # The revision of the first page: a watch from there also reports
        # changes made between two pages.
        revision: int | None = None
        query = {'is_stale': '1'} if is_stale else {}
        while True:
            page = await self._get(_path(kind), query, CALL_TIMEOUT_S)
            objects.extend(_checked_list(page['items']))
            if revision is None:
                revision = int(page['store_revision'])
            if not page.get('has_more') or not page['items']:
                return Listing(objects, revision, _age_s(page))
            query['since_rev'] = _next_start(objects, query)

    async def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision; may be empty after wait_s.

        Raises HistoryGoneError if the store no longer holds these changes,
        and StoreError for other failures.
        """
        query = {'watch': str(revision), 'wait_ms': str(int(wait_s * 1000))}
        page = await self._get(
            _path(kind), query, wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        return Changes(
            list(map(_change, _checked_list(page['events']))),
            int(page['store_revision']),
            _age_s(page),
        )

    async def read(self, kind: str, name: str) -> Document | None:
        """Return the object, or None if it is missing; raises StoreError."""
        return await self._get(_path(kind, name), {}, CALL_TIMEOUT_S)

    async def create(self, kind: str, name: str, spec: Document) -> Document:
        """Create an object; raises ConflictError or StoreError."""
        document = {'metadata': {'name': name}, 'spec': spec}
        return await self._write(f'POST {_path(kind)}', document)

    async def replace(
        self, kind: str, name: str, spec: Document, revision: int | None
    ) -> Document:
        """Replace an object, unconditionally if revision is None.

        Raises ConflictError or StoreError.
        """
        metadata: Document = {'name': name}
        if revision is not None:
            metadata['revision'] = revision
        document = {'metadata': metadata, 'spec': spec}
        return await self._write(f'PUT {_path(kind, name)}', document)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object; raises StoreError."""
        await self._write(f'DELETE {_path(kind, name)}', None)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> typing.Any:
        target = path
        if query:
            # Names may contain bytes that aren't UTF-8.
            encoded = urllib.parse.urlencode(query, errors='surrogateescape')
            target = f'{path}?{encoded}'
        status, body = await self._json.call(
            self._address, f'GET {target}', None, timeout_s
        )
        if status == _NOT_FOUND:
            return None
        return _checked(status, body)

    async def _write(self, start: str, document: Document | None) -> typing.Any:
        status, body = await self._json.call(
            self._address, start, document, CALL_TIMEOUT_S
        )
        if status == _CONFLICT:
            raise ConflictError(body if isinstance(body, dict) else None)
        if status == _NOT_FOUND:
            raise ConflictError(None)
        return _checked(status, body)


def _checked_list(elements: typing.Any) -> list[typing.Any]:
    if not isinstance(elements, list):
        raise StoreError('the objects of a page are not a list')
    return elements


def _change(event: Document) -> Change:
    return Change(event['object'], bool(event.get('deleted')))


def _next_start(objects: list[Document], query: dict[str, str]) -> str:
    """Return the last readable name, after which the next page starts."""
    named = filter(None, map(name_of, reversed(objects)))
    start = next(named, '')
    if start == query.get('since_rev', ''):
        raise StoreError('a page without any readable name')
    return start


def _age_s(page: Document) -> float:
    # Only nodes that relay the store's data send an age.
    return float(page.get('age_s', 0))


def _call_name(start: str) -> str:
    # Method and kind, without the object name.
    method, _, target = start.partition(' ')
    path = target.partition('?')[0].removeprefix(names.OBJECTS_PATH)
    return f'{method} {path.partition("/")[0] or path}'


def _path(kind: str, name: str = '') -> str:
    path = names.OBJECTS_PATH + urllib.parse.quote(kind, safe='')
    if name:
        path = f'{path}/{urllib.parse.quote(name, safe="")}'
    return path


def _checked(status: int, body: typing.Any) -> typing.Any:
    if status == _HISTORY_GONE:
        raise HistoryGoneError('the revision is no longer in the history')
    if not _OK <= status < _MULTIPLE:
        raise StoreRefusedError(f'status {status}')
    if not isinstance(body, dict):
        raise StoreError('the response is not a JSON object')
    return body


def _encode(document: Document | None) -> bytes:
    return b'' if document is None else json.dumps(document).encode()


def _render(
    address: tuple[str, int],
    start: str,
    body: bytes,
    extra: messages.Headers,
) -> bytes:
    headers = [(b'host', address[0].encode()), *extra]
    if body:
        headers.append((b'content-type', b'application/json'))
    if body or not start.startswith('GET'):
        headers.append((b'content-length', b'%d' % len(body)))
    start_line = f'{start} HTTP/1.1'.encode()
    return messages.render_head(start_line, headers) + body
