"""In-process fake of the users' object store with revisions and watches.

It implements the platform's published protocol. Faults: no responses, error
responses, responses lost after the write was executed, and a dropped history.
"""

import asyncio
import json
import typing
import urllib.parse

import attrs

from redwingvalve.http1 import messages, request_parser, server

Document = dict[str, typing.Any]
PREFIX = '/redwingvalve/objects/'
_LIMITS = request_parser.ServerLimits(65_536, 4_194_304, 10, 60)
_JSON = ((b'content-type', b'application/json'),)


@attrs.define
class StoreFaults:
    """Faults that are currently injected into the store."""

    is_unresponsive: bool = False
    error_status: int = 0
    drops_write_responses: bool = False


@attrs.frozen
class _Event:
    revision: int
    kind: str
    stored: Document
    is_removed: bool


class FakeStore(server.Application):
    """Objects by kind and name, in memory."""

    def __init__(self) -> None:
        """Create an empty store at revision 100."""
        self.faults = StoreFaults()
        self.calls = 0
        self.objects: dict[str, dict[str, Document]] = {}
        self.revision = 100
        self.first_watchable_revision = 100
        # Bytes that are sent in place of a JSON text.
        self._substitutes: dict[bytes, bytes] = {}
        self._events: list[_Event] = []
        self._changed = asyncio.Event()

    def limits(self) -> request_parser.ServerLimits:
        """Return limits that no test reaches."""
        return _LIMITS

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def put(self, kind: str, name: str, spec: Document) -> Document:
        """Create or replace an object, as operators and endpoints do."""
        self.revision += 1
        objects = self.objects.setdefault(kind, {})
        created = (
            objects[name]['metadata']['created']
            if name in objects
            else (self.revision)
        )
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deletion_pending': False,
            },
            'spec': spec,
            'status': None,
        }
        objects[name] = stored
        self._publish(kind, stored, is_removed=False)
        return stored

    def put_raw_spec(self, kind: str, name: str, spec: bytes) -> None:
        """Store a spec that isn't sent as JSON text but as these bytes."""
        marker = f'substitute-{len(self._substitutes)}'
        self._substitutes[json.dumps({'raw': marker}).encode()] = spec
        self.put(kind, name, {'raw': marker})

    def publish_object(self, kind: str, stored: typing.Any) -> None:
        """Report an object of any structure to watches only."""
        self.revision += 1
        self._publish(kind, stored, is_removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, stored, is_removed=True)

    def drop_history(self) -> None:
        """Drop all past changes, so that watches from before get 410."""
        self.first_watchable_revision = self.revision
        self._events.clear()

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Handle one call; a watch is answered when there are changes."""
        self.calls += 1
        if self.faults.is_unresponsive:
            return
        if self.faults.error_status:
            self._answer(responder, self.faults.error_status, {})
            return
        target = request.target.decode()
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        kind, _, name = path.removeprefix(PREFIX).partition('/')
        body = json.loads(request.body) if request.body else {}
        if request.method != b'GET':
            status, answer = self._write(request.method, kind, name, body)
            if not self.faults.drops_write_responses:
                self._answer(responder, status, answer)
            return
        if 'watch' in query:
            asyncio.get_running_loop().create_task(
                self._watch(kind, query, responder)
            )
            return
        self._read(kind, name, responder)

    def _read(self, kind: str, name: str, responder: server.Responder) -> None:
        objects = self.objects.get(kind, {})
        if not name:
            listing = {
                'items': list(objects.values()),
                'has_more': False,
                'store_revision': self.revision,
            }
            self._answer(responder, 200, listing)
            return
        stored = objects.get(name)
        if stored is None:
            self._answer(responder, 404, {'error': 'none'})
            return
        self._answer(responder, 200, stored)

    def _write(
        self, method: bytes, kind: str, name: str, body: Document
    ) -> tuple[int, Document]:
        metadata = body.get('metadata') or {}
        name = name or metadata['name']
        stored = self.objects.get(kind, {}).get(name)
        if method == b'POST':
            if stored is not None:
                return 409, stored
            return 201, self.put(kind, name, body['spec'])
        if stored is None:
            return 404, {'error': 'none'}
        if method == b'DELETE':
            self.remove(kind, name)
            return 200, {}
        current = stored['metadata']['revision']
        if metadata.get('revision', current) != current:
            return 409, stored
        return 200, self.put(kind, name, body['spec'])

    async def _watch(
        self, kind: str, query: dict[str, str], responder: server.Responder
    ) -> None:
        since = int(query['watch'])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(query['wait_ms']) / 1000
        while True:
            if since < self.first_watchable_revision:
                self._answer(responder, 410, {'error': 'gone'})
                return
            matching = [
                event
                for event in self._events
                if event.kind == kind and event.revision > since
            ]
            remaining_s = deadline_s - loop.time()
            if matching or remaining_s <= 0:
                break
            await self._wait_change(remaining_s)
        events = [
            {'deleted': event.is_removed, 'object': event.stored}
            for event in matching
        ]
        self._answer(
            responder,
            200,
            {'events': events, 'store_revision': self.revision},
        )

    async def _wait_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _publish(
        self, kind: str, stored: Document, *, is_removed: bool
    ) -> None:
        self._events.append(_Event(self.revision, kind, stored, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(
        self, responder: server.Responder, status: int, answer: Document
    ) -> None:
        body = json.dumps(answer).encode()
        for text, substitute in self._substitutes.items():
            body = body.replace(text, substitute)
        responder.send_response(status, list(_JSON), body)
