"""Writes the response of one request over ASGI."""

import json
import math
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import outcomes

Send = collections_abc.Callable[
    [dict[str, typing.Any]], collections_abc.Awaitable[None]
]
JSON_TYPE = 'application/json'
SSE_TYPE = 'text/event-stream'
CLOSE: typing.Final = (('connection', 'close'),)


def _never() -> bool:
    return False


@attrs.define
class ResponseWriter:
    """Response to one request; started is set once its head was sent."""

    request_id: str
    send: Send
    started: bool = False
    finished: bool = False
    # For metrics; 0 and empty until the response has started.
    status: int = 0
    error_code: str = ''
    # Reported if the response is cut off; each attempt updates it.
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN
    # Whether a response that starts now is the last one of its connection.
    is_last: collections_abc.Callable[[], bool] = _never

    async def start(
        self,
        status: int,
        content_type: str,
        outcome: outcomes.Outcome,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send status and headers."""
        self.started = True
        self.status = status
        self.outcome = outcome
        headers = (
            ('content-type', content_type),
            (outcomes.REQUEST_ID_HEADER, self.request_id),
            (outcomes.OUTCOME_HEADER, outcome.value),
            *extra_headers,
            *(CLOSE if self.is_last() else ()),
        )
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (name.encode('latin1'), text.encode('latin1'))
                    for name, text in headers
                ],
            }
        )

    async def write(self, body: bytes) -> None:
        """Send a chunk of the body."""
        await self.send(
            {'type': 'http.response.body', 'body': body, 'more_body': True}
        )

    async def finish(self, body: bytes = b'') -> None:
        """Send the last chunk and end the body cleanly."""
        self.finished = True
        await self.send(
            {'type': 'http.response.body', 'body': body, 'more_body': False}
        )

    async def send_response(
        self,
        status: int,
        content_type: str,
        body: bytes,
        outcome: outcomes.Outcome,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a response whose whole body is available."""
        length = ('content-length', str(len(body)))
        await self.start(
            status, content_type, outcome, (length, *extra_headers)
        )
        await self.finish(body)

    async def send_json(
        self,
        status: int,
        parsed: collections_abc.Mapping[str, typing.Any],
        outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN,
    ) -> None:
        """Send a JSON object."""
        body = json.dumps(parsed).encode()
        await self.send_response(status, JSON_TYPE, body, outcome)

    async def send_error(self, answer: outcomes.ErrorResponse) -> None:
        """Send an error, as an event if the stream has already started.

        The status of a started stream can't be changed. The error is sent as a
        separate event and the HTTP body is left unterminated: a caller that
        only looks for the end of the body would otherwise take a truncated
        answer for a complete one.
        """
        self.error_code = answer.code
        answer = attrs.evolve(answer, request_id=self.request_id)
        body = json.dumps(answer.body())
        if self.started:
            await self.write(f'event: error\ndata: {body}\n\n'.encode())
            return
        extra: tuple[tuple[str, str], ...] = ()
        if answer.retry_after_s is not None:
            retry_after = max(1, math.ceil(answer.retry_after_s))
            extra = (('retry-after', str(retry_after)),)
        await self.send_response(
            answer.status, JSON_TYPE, body.encode(), answer.outcome, extra
        )
