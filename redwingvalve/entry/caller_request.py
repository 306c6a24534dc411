"""Reads and validates callers' requests from ASGI."""

import json
import re
import typing
import uuid
from collections import abc as collections_abc

import attrs
from expression import Error, Ok, Result

from redwingvalve.core import outcomes
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


async def read_body(
    receive: Receive,
    head: RequestHead,
    max_body_bytes: int,
) -> Result[bytes, outcomes.ErrorResponse]:
    """Read the body up to max_body_bytes.

    Raises CallerDisconnectedError if the caller disconnects.
    """
    announced = head.headers.get('content-length', '')
    if announced.isdigit() and int(announced) > max_body_bytes:
        return Error(_body_too_large(max_body_bytes, head.request_id))
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError(head.request_id)
        part = message.get('body', b'')
        size_bytes += len(part)
        if size_bytes > max_body_bytes:
            return Error(_body_too_large(max_body_bytes, head.request_id))
        parts.append(part)
        if not message.get('more_body', False):
            return Ok(b''.join(parts))


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
