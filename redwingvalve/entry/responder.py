"""Writes one answer to one caller over ASGI, truthfully and only once."""

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


@attrs.define
class Responder:
    """The answer to one request; started once its head has been sent."""

    request_id: str
    send: Send
    started: bool = False
    finished: bool = False
    # What metrics tell of the answer; empty and 0 until there is one.
    status: int = 0
    error_code: str = ''
    # What is known if the answer is cut off; sends set it as they begin.
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN

    async def start(
        self,
        status: int,
        content_type: str,
        outcome: outcomes.Outcome,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send the head."""
        self.started = True
        self.status = status
        self.outcome = outcome
        headers = (
            ('content-type', content_type),
            (outcomes.REQUEST_ID_HEADER, self.request_id),
            (outcomes.OUTCOME_HEADER, outcome.value),
            *extra_headers,
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
        """Send a part of the body."""
        await self.send(
            {'type': 'http.response.body', 'body': body, 'more_body': True}
        )

    async def finish(self, body: bytes = b'') -> None:
        """Send the last part of the body and the clean end."""
        self.finished = True
        await self.send(
            {'type': 'http.response.body', 'body': body, 'more_body': False}
        )

    async def send_whole(
        self,
        status: int,
        content_type: str,
        body: bytes,
        outcome: outcomes.Outcome,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send an answer whose body is at hand."""
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
        """Send a JSON object that the entry made itself."""
        body = json.dumps(parsed).encode()
        await self.send_whole(status, JSON_TYPE, body, outcome)

    async def send_error(self, answer: outcomes.ErrorResponse) -> None:
        """Send an error, inside the stream when it has begun.

        Once a stream has begun its status can't be taken back. The error goes
        into the stream as an event of its own, and the HTTP body is left
        without its end: a caller that reads only up to the end of the body
        would otherwise take half an answer for a whole one.
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
        await self.send_whole(
            answer.status, JSON_TYPE, body.encode(), answer.outcome, extra
        )
