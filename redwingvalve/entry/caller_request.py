"""Reads and validates callers' requests from ASGI.

Load pattern: many callers send long bodies at once, in tiny pieces, or stop
just before their ends and stay. Bodies are held within the account of the
process.
"""

import json
import re
import typing
import uuid
from collections import abc as collections_abc

import anyio
import attrs
from expression import Error, Ok, Result

from redwingvalve.core import outcomes
from redwingvalve.http1 import byte_account
from redwingvalve.settings import schema as settings_schema

Receive = collections_abc.Callable[
    [], collections_abc.Awaitable[dict[str, typing.Any]]
]
Scope = collections_abc.Mapping[str, typing.Any]

REQUEST_ID_PATTERN = re.compile('[A-Za-z0-9._-]{1,128}')
REQUEST_KEY_PATTERN = re.compile('[!-~]{1,255}')
TRUE_VALUES = frozenset(('true', '1'))
FALSE_VALUES = frozenset(('false', '0'))
MS_PER_S = 1000
RETRY_AFTER_S = 1.0


@attrs.frozen
class RequestHead:
    """A request without its body; deadline_s counts from arrived_s.

    priority and idempotent are None if the caller didn't set them.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    request_id: str
    credential: str
    deadline_s: float
    arrived_s: float
    priority: int | None = None
    idempotent: bool | None = None
    request_key: str = ''

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the deadline; negative after it."""
        return self.arrived_s + self.deadline_s - now_s


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request had arrived completely."""


def read_head(
    scope: Scope, settings: settings_schema.RequestSettings, now_s: float
) -> Result[RequestHead, outcomes.ErrorResponse]:
    """Read and validate the request line and headers."""
    headers = {
        name.decode('latin1').lower(): text.decode('latin1')
        for name, text in scope['headers']
    }
    problems: list[str] = []
    request_id = _request_id(headers, problems)
    head = RequestHead(
        method=scope['method'],
        path=scope['path'],
        query=scope.get('query_string', b'').decode('latin1'),
        headers=headers,
        request_id=request_id,
        credential=_credential(headers),
        deadline_s=_deadline_s(headers, settings, problems),
        arrived_s=now_s,
        priority=_priority(headers, problems),
        idempotent=_idempotent(headers, problems),
        request_key=_request_key(headers, problems),
    )
    if problems:
        return Error(malformed('; '.join(problems), request_id))
    return Ok(head)


class BodyReader(byte_account.Holder):
    """The body of one request, held until close()."""

    def __init__(self, account: byte_account.ByteAccount) -> None:
        """Take room from an account."""
        self._memory = account.open(byte_account.Part.LONG_REQUESTS, self)
        self._body = bytearray()
        self._scope = anyio.CancelScope()

    async def read(
        self,
        receive: Receive,
        head: RequestHead,
        max_body_bytes: int,
    ) -> Result[bytes, outcomes.ErrorResponse]:
        """Read the body up to max_body_bytes, if there is room for it.

        Raises CallerDisconnectedError if the caller disconnects.
        """
        announced = head.headers.get('content-length', '')
        announced_bytes = int(announced) if announced.isdigit() else 0
        error: outcomes.ErrorResponse | None = _no_room(head)
        with self._scope:
            error = await self._read(
                receive, head, max_body_bytes, announced_bytes
            )
        if error is not None:
            self.close()
            return Error(error)
        self._memory.settle()
        body = bytes(self._body)
        self._body = bytearray()
        return Ok(body)

    def close(self) -> None:
        """Forget the body."""
        self._body = bytearray()
        self._memory.release()

    def moved_bytes(self) -> int:
        """Return what has arrived."""
        return len(self._body)

    def evict(self) -> None:
        """Refuse the request, which arrives too slowly."""
        self._scope.cancel()

    async def _read(
        self,
        receive: Receive,
        head: RequestHead,
        max_body_bytes: int,
        announced_bytes: int,
    ) -> outcomes.ErrorResponse | None:
        has_more = True
        while has_more:
            size_bytes = max(announced_bytes, len(self._body))
            if size_bytes > max_body_bytes:
                return _body_too_large(max_body_bytes, head.request_id)
            if not self._memory.grow_to(size_bytes):
                return _no_room(head)
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError(head.request_id)
            self._body += message.get('body', b'')
            has_more = message.get('more_body', False)
        if len(self._body) > max_body_bytes:
            return _body_too_large(max_body_bytes, head.request_id)
        return None


def parse_json_object(
    body: bytes, request_id: str
) -> Result[dict[str, typing.Any], outcomes.ErrorResponse]:
    """Parse a body that must be a JSON object; errors give the position."""
    try:
        parsed = json.loads(body)
    except json.JSONDecodeError as error:
        place = f'body:{error.lineno}:{error.colno}'
        return Error(malformed(f'{place}: {error.msg}', request_id))
    except (UnicodeDecodeError, RecursionError) as error:
        return Error(malformed(f'body:1:1: {error}', request_id))
    if not isinstance(parsed, dict):
        return Error(malformed('body:1:1: must be a JSON object', request_id))
    return Ok(parsed)


def malformed(message: str, request_id: str) -> outcomes.ErrorResponse:
    """Return the error for an invalid request."""
    return outcomes.ErrorResponse(
        status=400,
        code='malformed-request',
        message=message,
        outcome=outcomes.Outcome.NOT_RUN,
        request_id=request_id,
    )


def _body_too_large(
    max_body_bytes: int, request_id: str
) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=413,
        code='body-too-large',
        message=f'request body exceeds {max_body_bytes} bytes',
        outcome=outcomes.Outcome.NOT_RUN,
        request_id=request_id,
    )


def _no_room(head: RequestHead) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=503,
        code='no-room',
        message='too many long requests at once; retry later',
        outcome=outcomes.Outcome.NOT_RUN,
        request_id=head.request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def _request_id(headers: dict[str, str], problems: list[str]) -> str:
    value = headers.get(outcomes.REQUEST_ID_HEADER, '')
    if not value:
        return uuid.uuid4().hex
    if REQUEST_ID_PATTERN.fullmatch(value):
        return value
    problems.append(
        f'header {outcomes.REQUEST_ID_HEADER}: must be 1 to 128 letters, '
        'digits, dots, hyphens or underscores'
    )
    return ''


def _credential(headers: dict[str, str]) -> str:
    scheme, _, credential = headers.get('authorization', '').partition(' ')
    return credential.strip() if scheme.lower() == 'bearer' else ''


def _deadline_s(
    headers: dict[str, str],
    settings: settings_schema.RequestSettings,
    problems: list[str],
) -> float:
    value = headers.get(outcomes.DEADLINE_HEADER, '')
    if not value:
        return settings.default_deadline_s
    if not value.isascii() or not value.isdigit() or int(value) == 0:
        problems.append(
            f'header {outcomes.DEADLINE_HEADER}: must be a positive integer '
            'number of milliseconds'
        )
        return settings.default_deadline_s
    return min(int(value) / MS_PER_S, settings.max_deadline_s)


def _priority(headers: dict[str, str], problems: list[str]) -> int | None:
    value = headers.get(outcomes.PRIORITY_HEADER, '')
    if not value:
        return None
    if len(value) == 1 and value.isascii() and value.isdigit():
        return int(value)
    problems.append(
        f'header {outcomes.PRIORITY_HEADER}: must be a digit from 0 to 9'
    )
    return None


def _idempotent(headers: dict[str, str], problems: list[str]) -> bool | None:
    value = headers.get(outcomes.IDEMPOTENT_HEADER, '').lower()
    if not value:
        return None
    if value in TRUE_VALUES:
        return True
    if value in FALSE_VALUES:
        return False
    problems.append(
        f'header {outcomes.IDEMPOTENT_HEADER}: must be true or false'
    )
    return None


def _request_key(headers: dict[str, str], problems: list[str]) -> str:
    value = headers.get(outcomes.REQUEST_KEY_HEADER, '')
    if value and not REQUEST_KEY_PATTERN.fullmatch(value):
        problems.append(
            f'header {outcomes.REQUEST_KEY_HEADER}: must be 1 to 255 '
            'printable characters without spaces'
        )
        return ''
    return value
