"""One caller's connection: uvicorn's protocol with bounds on the head.

uvicorn sets no bound on the time or the size of a request's head. Symptom
without these: callers that connect and say nothing, or dribble one header for
ever, hold a connection each until the entry has no descriptors left. A timer
from the first byte to the end of the head and a bound on its size suffice,
since a body is bounded by the application and paused while it isn't read.
"""

import asyncio
import json
import typing

import httptools
from uvicorn.protocols.http import httptools_impl

from redwingvalve.core import outcomes

# A head crosses any network in far less; it is also the time that a new
# connection may stay silent, which pools that connect ahead use.
HEAD_TIMEOUT_S = 30.0
# hypercorn and most proxies take 16 KB; trace state and credentials fit.
MAX_HEAD_BYTES = 16_384
MALFORMED_STATUS = 400
TOO_LARGE_STATUS = 431


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """Closes slow heads, refuses large ones and answers errors as JSON."""

    head_timeout_s = HEAD_TIMEOUT_S

    def __init__(self, *args: typing.Any, **named: typing.Any) -> None:
        """Expect a head first."""
        super().__init__(*args, **named)
        self._in_head = True
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the time of the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the timers; a lost connection needs none."""
        self._stop_head_timer()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()

    def data_received(self, data: bytes) -> None:
        """Parse what came; bound a head that has not ended with it."""
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered plainly; what follows is not read.
            return
        except httptools.HttpParserError as error:
            self._refuse(
                MALFORMED_STATUS, 'malformed-request', f'no HTTP: {error}'
            )
            return
        self._bound_wait(data)

    def on_message_begin(self) -> None:
        """Count the bytes of a new head."""
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0

    def on_headers_complete(self) -> None:
        """Hand the request on; no other protocol is ever upgraded to."""
        self._in_head = False
        self._stop_head_timer()
        super().on_headers_complete()
        if self.parser.should_upgrade():
            # The parser stops after such a request, and the next one on this
            # connection would never be answered.
            self.cycle.keep_alive = False

    @property
    def _idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    @property
    def _still_reading(self) -> bool:
        """Tell whether the only request has not arrived, so cannot run."""
        return (
            not self.pipeline
            and self.cycle.more_body
            and not self.cycle.response_started
        )

    def _bound_wait(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        if self._in_head:
            self._head_bytes += len(data)
            self._start_head_timer()
            if self._head_bytes > MAX_HEAD_BYTES:
                self._refuse(
                    TOO_LARGE_STATUS,
                    'head-too-large',
                    f'head: at most {MAX_HEAD_BYTES} bytes are taken',
                )
        elif self._idle and self.timeout_keep_alive_task is None:
            # Empty lines between requests are no head and end no wait.
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _refuse(self, status: int, code: str, message: str) -> None:
        """Answer and close, or break the answer that is under way.

        Bytes written into a body in progress would be taken for a part of
        it; closing without the body's end shows the caller that it is cut.
        """
        if self._idle or self._still_reading:
            self.transport.write(_whole_answer(status, code, message))
        self.transport.close()

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.head_timeout_s, self._head_is_late
            )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_is_late(self) -> None:
        self._head_timer = None
        if self._idle:
            self.transport.close()


def _whole_answer(status: int, code: str, message: str) -> bytes:
    answer = outcomes.ErrorResponse(
        status=status,
        code=code,
        message=message,
        outcome=outcomes.Outcome.NOT_RUN,
    )
    body = json.dumps(answer.body()).encode()
    head = (
        f'content-type: application/json\r\ncontent-length: {len(body)}\r\n'
        f'{outcomes.OUTCOME_HEADER}: {answer.outcome.value}\r\n'
        'connection: close\r\n\r\n'
    )
    return httptools_impl.STATUS_LINE[status] + head.encode() + body
