"""Parses callers' request headers and renders requests to endpoints."""

import urllib.parse

import attrs

from redwingvalve.http1 import messages
from redwingvalve.platform import names

# Headers that only this system sets; values sent by callers are dropped.
_OWN_HEADERS = frozenset(
    (
        names.API_KEY_HEADER,
        names.CLIENT_ACCOUNT_HEADER,
        names.EXPECTED_ENDPOINT_HEADER,
        names.EXPECTED_VERSION_HEADER,
        names.URGENCY_HEADER,
        names.DEADLINE_MS_HEADER,
        names.LAST_EVENT_ID_HEADER,
        names.ATTEMPTS_LEFT_HEADER,
        names.HAS_RETURNED_HEADER,
    )
)
# Headers that a node sets itself when it forwards a request to another node.
_PEER_HEADERS = frozenset(
    (
        names.DEADLINE_MS_HEADER,
        names.LAST_EVENT_ID_HEADER,
        names.ATTEMPTS_LEFT_HEADER,
        names.HAS_RETURNED_HEADER,
    )
)


# Longer numbers are beyond what times and ids are, and some beyond what can be
# converted or divided.
_MAX_DIGITS = 18


@attrs.frozen
class CallerRequest:
    """Routing and scheduling data from a caller's request headers."""

    host: str
    path: str
    attempt_id: bytes
    # How long the caller will wait, in ms; None if not stated.
    deadline_ms: int | None
    key: str
    model: str
    prompt_tokens: int
    answer_tokens: int
    # Ids of the parts of the prompt, in order, without the last one: that one
    # belongs to this request or its session.
    shared_parts: tuple[str, ...]
    # Id of the last stream event that the caller has received.
    last_event: int | None
    # End-to-end headers that are forwarded to the endpoint.
    forwarded_headers: messages.Headers


def read_data_centre(request: messages.Request) -> str:
    """Return the data centre in a directory request, '' if not stated."""
    query = urllib.parse.urlsplit(request.target.decode('latin-1')).query
    data_centres = urllib.parse.parse_qs(query).get(names.DATA_CENTRE_PARAMETER)
    return data_centres[0] if data_centres else ''


def read_request(request: messages.Request) -> CallerRequest:
    """Parse a caller's headers.

    Malformed numbers and those over 18 digits count as not stated.
    """
    headers = dict(reversed(request.headers))
    prompt, _, answer = _header_text(
        headers, names.TOKEN_COUNTS_HEADER
    ).partition(',')
    return CallerRequest(
        host=_header_text(headers, b'host'),
        path=request.target.partition(b'?')[0].decode('latin-1'),
        attempt_id=headers.get(names.ATTEMPT_ID_HEADER, b''),
        deadline_ms=_parse_int(_header_text(headers, names.DEADLINE_MS_HEADER)),
        key=_header_text(headers, names.API_KEY_HEADER),
        model=_header_text(headers, names.MODEL_HEADER),
        prompt_tokens=_parse_int(prompt) or 0,
        answer_tokens=_parse_int(answer) or 0,
        shared_parts=_shared_parts(request),
        last_event=_parse_int(
            _header_text(headers, names.LAST_EVENT_ID_HEADER)
        ),
        forwarded_headers=[
            header
            for header in messages.end_to_end(request.headers)
            if header[0] not in _OWN_HEADERS
        ],
    )


@attrs.frozen
class ForwardingHeaders:
    """Values of the headers added when a request is sent to an endpoint."""

    endpoint_id: str
    deadline_ms: int
    client_account: str | None
    urgency: int
    last_event: int | None


def render_request(
    request: messages.Request, caller: CallerRequest, added: ForwardingHeaders
) -> bytes:
    """Return the head of the request to the endpoint; its body follows."""
    headers = list(caller.forwarded_headers)
    headers.append((names.EXPECTED_ENDPOINT_HEADER, added.endpoint_id.encode()))
    headers.append((names.DEADLINE_MS_HEADER, b'%d' % added.deadline_ms))
    headers.append((names.URGENCY_HEADER, b'%d' % added.urgency))
    if added.client_account is not None:
        account = added.client_account.encode()
        headers.append((names.CLIENT_ACCOUNT_HEADER, account))
    if added.last_event is not None:
        headers.append((names.LAST_EVENT_ID_HEADER, b'%d' % added.last_event))
    return _render(request, headers)


@attrs.frozen
class PeerHeaders:
    """Values of the headers set when a request is sent to another node."""

    attempts: int
    deadline_ms: int
    last_event: int | None
    has_returned: bool


@attrs.frozen
class Forwarded:
    """What another node states about a request that it has forwarded."""

    attempts: int
    has_returned: bool


def render_peer_request(request: messages.Request, added: PeerHeaders) -> bytes:
    """Return the head of the request to another node; its body follows."""
    headers = [
        header
        for header in messages.end_to_end(request.headers)
        if header[0] not in _PEER_HEADERS
    ]
    headers.append((names.ATTEMPTS_LEFT_HEADER, b'%d' % added.attempts))
    headers.append((names.HAS_RETURNED_HEADER, b'%d' % added.has_returned))
    headers.append((names.DEADLINE_MS_HEADER, b'%d' % added.deadline_ms))
    if added.last_event is not None:
        headers.append((names.LAST_EVENT_ID_HEADER, b'%d' % added.last_event))
    return _render(request, headers)


def read_forwarded(request: messages.Request) -> Forwarded | None:
    """Return what the forwarding node states, None for other requests."""
    attempts = request.header(names.ATTEMPTS_LEFT_HEADER)
    stated = _parse_int((attempts or b'').decode('latin-1'))
    if stated is None:
        return None
    returned = request.header(names.HAS_RETURNED_HEADER)
    return Forwarded(stated, has_returned=returned == b'1')


def _render(request: messages.Request, headers: messages.Headers) -> bytes:
    if request.body or _declares_body(request):
        headers.append((b'content-length', b'%d' % len(request.body)))
    start_line = b'%b %b HTTP/1.1' % (request.method, request.target)
    return messages.render_head(start_line, headers)


def _declares_body(request: messages.Request) -> bool:
    return any(
        name in {b'content-length', b'transfer-encoding'}
        for name, _ in request.headers
    )


def _shared_parts(request: messages.Request) -> tuple[str, ...]:
    """Return the ids of all parts but the last, each once."""
    stated = b','.join(
        content
        for name, content in request.headers
        if name == names.PROMPT_PREFIX_HEADER
    )
    entries = stated.decode('latin-1').lower().split(',')
    stated_ids = [one.partition(':')[0].strip() for one in entries]
    ids = list(filter(None, stated_ids))
    return tuple(dict.fromkeys(one for one in ids if one != ids[-1]))


def _header_text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b'').decode('latin-1').strip()


def _parse_int(text: str) -> int | None:
    if not text.isdecimal() or len(text) > _MAX_DIGITS:
        return None
    return int(text)
