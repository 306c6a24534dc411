"""A caller's request as the entry reads it from ASGI, checked as a whole."""

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
TRUE_WORDS = frozenset(('true', '1'))
FALSE_WORDS = frozenset(('false', '0'))
MS_PER_S = 1000


@attrs.frozen
class CallerHead:
    """Everything of a request but its body; deadline_s counts from arrival.

    priority and idempotent are None where the caller says nothing.
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
        """Return the seconds until the deadline; negative once it passed."""
        return self.arrived_s + self.deadline_s - now_s


class CallerGoneError(Exception):
    """The caller hung up before its whole request had arrived."""


def read_head(
    scope: Scope, settings: settings_schema.RequestSettings, now_s: float
) -> Result[CallerHead, outcomes.ErrorResponse]:
    """Read and check the request line and headers."""
    headers = {
        name.decode('latin1').lower(): text.decode('latin1')
        for name, text in scope['headers']
    }
    problems: list[str] = []
    request_id = _request_id(headers, problems)
    head = CallerHead(
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
    head: CallerHead,
    max_body_bytes: int,
) -> Result[bytes, outcomes.ErrorResponse]:
    """Read the body up to its bound; CallerGoneError when the caller goes."""
    announced = head.headers.get('content-length', '')
    if announced.isdigit() and int(announced) > max_body_bytes:
        return Error(_too_large(max_body_bytes, head.request_id))
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerGoneError(head.request_id)
        part = message.get('body', b'')
        size_bytes += len(part)
        if size_bytes > max_body_bytes:
            return Error(_too_large(max_body_bytes, head.request_id))
        parts.append(part)
        if not message.get('more_body', False):
            return Ok(b''.join(parts))


def parse_json_object(
    body: bytes, request_id: str
) -> Result[dict[str, typing.Any], outcomes.ErrorResponse]:
    """Parse a body that must be a JSON object; the error names its place."""
    try:
        parsed = json.loads(body)
    except json.JSONDecodeError as error:
        place = f'body:{error.lineno}:{error.colno}'
        return Error(malformed(f'{place}: {error.msg}', request_id))
    except (UnicodeDecodeError, RecursionError) as error:
        return Error(malformed(f'body:1:1: {error}', request_id))
    if not isinstance(parsed, dict):
        return Error(malformed('body:1:1: a JSON object is wanted', request_id))
    return Ok(parsed)


def malformed(message: str, request_id: str) -> outcomes.ErrorResponse:
    """Return the answer to a request that cannot be understood."""
    return outcomes.ErrorResponse(
        status=400,
        code='malformed-request',
        message=message,
        outcome=outcomes.Outcome.NOT_RUN,
        request_id=request_id,
    )


def _too_large(max_body_bytes: int, request_id: str) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=413,
        code='body-too-large',
        message=f'body: at most {max_body_bytes} bytes are taken',
        outcome=outcomes.Outcome.NOT_RUN,
        request_id=request_id,
    )


def _request_id(headers: dict[str, str], problems: list[str]) -> str:
    given = headers.get(outcomes.REQUEST_ID_HEADER, '')
    if not given:
        return uuid.uuid4().hex
    if REQUEST_ID_PATTERN.fullmatch(given):
        return given
    problems.append(
        f'header {outcomes.REQUEST_ID_HEADER}: 1 to 128 letters, digits, '
        'dots, hyphens or underscores'
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
    given = headers.get(outcomes.DEADLINE_HEADER, '')
    if not given:
        return settings.default_deadline_s
    if not given.isascii() or not given.isdigit() or int(given) == 0:
        problems.append(
            f'header {outcomes.DEADLINE_HEADER}: a whole number of '
            'milliseconds above zero'
        )
        return settings.default_deadline_s
    return min(int(given) / MS_PER_S, settings.max_deadline_s)


def _priority(headers: dict[str, str], problems: list[str]) -> int | None:
    given = headers.get(outcomes.PRIORITY_HEADER, '')
    if not given:
        return None
    if len(given) == 1 and given.isascii() and given.isdigit():
        return int(given)
    problems.append(f'header {outcomes.PRIORITY_HEADER}: a digit from 0 to 9')
    return None


def _idempotent(headers: dict[str, str], problems: list[str]) -> bool | None:
    given = headers.get(outcomes.IDEMPOTENT_HEADER, '').lower()
    if not given:
        return None
    if given in TRUE_WORDS:
        return True
    if given in FALSE_WORDS:
        return False
    problems.append(f'header {outcomes.IDEMPOTENT_HEADER}: true or false')
    return None


def _request_key(headers: dict[str, str], problems: list[str]) -> str:
    given = headers.get(outcomes.REQUEST_KEY_HEADER, '')
    if given and not REQUEST_KEY_PATTERN.fullmatch(given):
        problems.append(
            f'header {outcomes.REQUEST_KEY_HEADER}: 1 to 255 printable '
            'characters without spaces'
        )
        return ''
    return given
