"""HTTP requests and response heads as sent on a connection."""

import enum
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.http1 import byte_account

Headers = list[tuple[bytes, bytes]]

# Longer bodies are sent apart from their heads.
JOINED_BYTES: typing.Final = 16_384
# Hop-by-hop headers, and those that are set anew for each hop; never forwarded.
HOP_HEADERS: typing.Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)


@attrs.define
class Request:
    """A complete request from a caller."""

    method: bytes
    # Path and query string, unmodified.
    target: bytes
    # Names in lower case, values as sent.
    headers: Headers
    body: bytes
    keep_alive: bool
    # What is held for it, until its response has been sent.
    memory: byte_account.Hold | None = attrs.field(default=None, eq=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header given in lower case."""
        return _first(self.headers, name)

    def release(self) -> None:
        """Forget the body, once nothing more is sent for the request.

        Objects that refer to each other keep the request for a while.
        """
        self.body = b''
        if self.memory is not None:
            self.memory.release()


_NO_BODY_STATUSES: typing.Final = frozenset((204, 304))


class BodyEnd(enum.Enum):
    """How the end of a response's body is marked."""

    NO_BODY = 'no body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    # The body ends when the connection is closed, so that a whole body and one
    # whose sender has ended look alike.
    CONNECTION = 'connection'


@attrs.frozen
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers
    keep_alive: bool

    @property
    def body_end(self) -> BodyEnd:
        """Return what marks the end of the body."""
        if self.status in _NO_BODY_STATUSES:
            return BodyEnd.NO_BODY
        if self.header(b'content-length') is not None:
            return BodyEnd.LENGTH
        if self.header(b'transfer-encoding') is not None:
            return BodyEnd.CHUNKS
        return BodyEnd.CONNECTION

    @property
    def content_length(self) -> int:
        """Return the length of the body in bytes, 0 if it isn't stated."""
        if self.body_end is not BodyEnd.LENGTH:
            return 0
        stated = self.header(b'content-length') or b''
        return int(stated) if stated.isdigit() else 0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header given in lower case."""
        return _first(self.headers, name)


def render_head(start_line: bytes, headers: Headers) -> bytes:
    """Return the encoded start line and headers with the blank line."""
    lines = [start_line]
    lines.extend(b'%b: %b' % header for header in headers)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def write(
    send: collections_abc.Callable[[bytes], None], head: bytes, body: bytes
) -> None:
    """Send a head and its body, together if the body is short.

    The second of two segments may wait for the peer's delayed acknowledgement
    of the first. A long body isn't copied.
    """
    if len(body) <= JOINED_BYTES:
        send(head + body)
        return
    send(head)
    send(body)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop ones."""
    named = set(HOP_HEADERS)
    for name, content in headers:
        if name == b'connection':
            named.update(part.strip().lower() for part in content.split(b','))
    return [header for header in headers if header[0] not in named]


def _first(headers: Headers, name: bytes) -> bytes | None:
    for found, content in headers:
        if found == name:
            return content
    return None
