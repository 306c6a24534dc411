"""Reads what callers state in headers, and writes what endpoints are told."""

import urllib.parse

import attrs

from redwingvalve.http1 import messages
from redwingvalve.platform import names

# Set by this system alone, whatever a caller sent.
_SET_HERE = frozenset(
    (
        names.API_KEY_HEADER,
        names.CLIENT_ACCOUNT_HEADER,
        names.EXPECTED_ENDPOINT_HEADER,
        names.EXPECTED_VERSION_HEADER,
        names.URGENCY_HEADER,
        names.DEADLINE_MS_HEADER,
        names.LAST_EVENT_ID_HEADER,
    )
)


@attrs.frozen
class CallerRequest:
    """What the headers of a request say."""

    host: str
    path: str
    attempt_id: bytes
    # Milliseconds that the caller will wait; None if it doesn't say.
    deadline_ms: int | None
    key: str
    model: str
    prompt_tokens: int
    answer_tokens: int
    # Last event of a stream that the caller already has.
    last_event: int | None
    passed_headers: messages.Headers


def read_data_centre(request: messages.Request) -> str:
    """Return where a caller that asks the directory is, '' if unknown."""
    query = urllib.parse.urlsplit(request.target.decode('latin-1')).query
    found = urllib.parse.parse_qs(query).get(names.DATA_CENTRE_PARAMETER)
    return found[0] if found else ''


def read_request(request: messages.Request) -> CallerRequest:
    """Read a caller's headers; unreadable numbers count as not stated."""
    stated = dict(reversed(request.headers))
    prompt, _, answer = _text(stated, names.TOKEN_COUNTS_HEADER).partition(',')
    return CallerRequest(
        host=_text(stated, b'host'),
        path=request.target.partition(b'?')[0].decode('latin-1'),
        attempt_id=stated.get(names.ATTEMPT_ID_HEADER, b''),
        deadline_ms=_number(_text(stated, names.DEADLINE_MS_HEADER)),
        key=_text(stated, names.API_KEY_HEADER),
        model=_text(stated, names.MODEL_HEADER),
        prompt_tokens=_number(prompt) or 0,
        answer_tokens=_number(answer) or 0,
        last_event=_number(_text(stated, names.LAST_EVENT_ID_HEADER)),
        passed_headers=[
            header
            for header in messages.end_to_end(request.headers)
            if header[0] not in _SET_HERE
        ],
    )


@attrs.frozen
class ForwardingHeaders:
    """What one send adds to a caller's request."""

    endpoint_id: str
    deadline_ms: int
    client_account: str | None
    urgency: int
    last_event: int | None


def render_request(
    request: messages.Request, caller: CallerRequest, sending: ForwardingHeaders
) -> bytes:
    """Return the bytes that an endpoint gets."""
    headers = list(caller.passed_headers)
    headers.append(
        (names.EXPECTED_ENDPOINT_HEADER, sending.endpoint_id.encode())
    )
    headers.append((names.DEADLINE_MS_HEADER, b'%d' % sending.deadline_ms))
    headers.append((names.URGENCY_HEADER, b'%d' % sending.urgency))
    if sending.client_account is not None:
        account = sending.client_account.encode()
        headers.append((names.CLIENT_ACCOUNT_HEADER, account))
    if sending.last_event is not None:
        headers.append((names.LAST_EVENT_ID_HEADER, b'%d' % sending.last_event))
    if request.body or _states_body(request):
        headers.append((b'content-length', b'%d' % len(request.body)))
    start_line = b'%b %b HTTP/1.1' % (request.method, request.target)
    return messages.render_head(start_line, headers) + request.body


def _states_body(request: messages.Request) -> bool:
    return any(
        name in {b'content-length', b'transfer-encoding'}
        for name, _ in request.headers
    )


def _text(stated: dict[bytes, bytes], name: bytes) -> str:
    return stated.get(name, b'').decode('latin-1').strip()


def _number(text: str) -> int | None:
    return int(text) if text.isdecimal() else None
