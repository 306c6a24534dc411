"""Reads answers with a JSON body, within limits before and after inflation.

Load pattern: an endpoint reports without end, or sends a small body that
inflates to more than the memory of the node. Bodies are held until they are
complete; a limit ends the answer before.
"""

import asyncio
import json
import typing
import zlib
from collections import abc as collections_abc

from redwingvalve.core import collector, json_steps, steps
from redwingvalve.http1 import client, messages, response_limits
from redwingvalve.platform import damaged_pages

# Header set by nodes that relay the store's data.
DEFLATE_HEADER: typing.Final = (b'content-encoding', b'deflate')
# The platform's `value_bytes`.
MAX_OBJECT_BYTES: typing.Final = 1_048_576
# A report says what the endpoint's entry in the store says; an escaped letter
# may take more bytes than a plain one.
MAX_REPORT_BYTES: typing.Final = 2 * MAX_OBJECT_BYTES
# Pages of the store hold 1 MB or one object, those of relays all objects of a
# kind.
MAX_PAGE_BYTES: typing.Final = 32 * MAX_OBJECT_BYTES
# Shorter bodies are parsed in one step.
MAX_STEP_BYTES: typing.Final = 65_536

# In place of a body that can't be inflated.
_NO_JSON = b'-'


class AnswerError(Exception):
    """The answer broke off, or its body exceeds a limit."""


class JsonAnswer(client.ResponseHandler):
    """Collects one answer; the future done ends with it."""

    def __init__(self, max_bytes: int, *, is_page: bool) -> None:
        """Expect a body of at most max_bytes, compressed or not.

        is_page: it lists objects, of which some may be unreadable.
        """
        loop = asyncio.get_running_loop()
        self.done: asyncio.Future[None] = loop.create_future()
        self.status = 0
        # Called for a complete answer whose connection must not be used again.
        self.on_excess: collections_abc.Callable[[], None] | None = None
        self._max_bytes = max_bytes
        self._is_page = is_page
        self._reason = ''
        self._is_deflated = False
        self._body: list[bytes] = []

    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return True: connections of these calls carry no other answers."""
        return True

    def max_body_bytes(self, limits: response_limits.ResponseLimits) -> int:
        """Return the limit of this kind of body."""
        return self._max_bytes

    def head_received(self, head: messages.ResponseHead) -> None:
        """Store the status and how the body is encoded."""
        self.status = head.status
        name, encoding = DEFLATE_HEADER
        self._is_deflated = head.header(name) == encoding

    def body_received(self, chunk: bytes) -> None:
        """Append to the body."""
        self._body.append(chunk)

    def completed(self) -> None:
        """Undo the compression and end the wait."""
        try:
            self._inflate()
        except AnswerError as error:
            self.broken(str(error))
            if self.on_excess is not None:
                self.on_excess()
            return
        self._end()

    def broken(self, reason: str) -> None:
        """End the wait without a body."""
        self._reason = reason
        self._body = []
        self._end()

    async def parse(self) -> typing.Any:
        """Return the body, None if it is not JSON; raises AnswerError.

        A long body and a damaged page are read in steps, and other tasks run
        between them. Objects of a page whose structure is unusable are
        replaced.
        """
        if self._reason:
            raise AnswerError(self._reason)
        raw = b''.join(self._body)
        if not raw:
            return {}
        if len(raw) > MAX_STEP_BYTES:
            return await _parse_long(raw, self._is_page)
        try:
            with collector.paused():
                found = json.loads(raw)
        except (ValueError, RecursionError):
            return await _recover(raw) if self._is_page else None
        if self._is_page and isinstance(found, dict):
            damaged_pages.bound(found)
        return found

    def _inflate(self) -> None:
        if self._is_deflated and self._body:
            packed = b''.join(self._body)
            self._body = [_inflate(packed, self._max_bytes) or _NO_JSON]

    def _end(self) -> None:
        if not self.done.done():
            self.done.set_result(None)


def _inflate(body: bytes, max_bytes: int) -> bytes:
    """Return the plain body, empty if it is not a whole compressed one."""
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(body, max_bytes + 1)
    except zlib.error:
        return b''
    if len(plain) > max_bytes:
        excess = response_limits.Excess(
            response_limits.Limit.INFLATED, max_bytes
        )
        response_limits.count(excess)
        raise AnswerError(excess.reason)
    return plain if inflater.eof else b''


async def _recover(raw: bytes) -> damaged_pages.Document | None:
    return await steps.run(damaged_pages.Recovery(raw).read())


async def _parse_long(raw: bytes, is_page: bool) -> typing.Any:
    page = await _recover(raw) if is_page else None
    if page is not None:
        return page
    try:
        return await steps.run(
            json_steps.parse(raw.decode(), damaged_pages.MAX_DEPTH)
        )
    except ValueError:
        return None


def make_page_answer() -> JsonAnswer:
    """Return a reader of what a store, or a node that relays it, answers."""
    return JsonAnswer(MAX_PAGE_BYTES, is_page=True)


def make_report_answer() -> JsonAnswer:
    """Return a reader of what an endpoint reports or answers to an order."""
    return JsonAnswer(MAX_REPORT_BYTES, is_page=False)
