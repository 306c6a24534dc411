"""Serves the administration API, with TLS when settings name certificates."""

import json
import ssl
import typing
from collections import abc as collections_abc

import anyio
import hypercorn.config

from redwingvalve.administration import app as api_app
from redwingvalve.core import http_server, outcomes
from redwingvalve.tls import contexts

GRACEFUL_TIMEOUT_S = 10.0
# Left for the answers to calls that are given up.
ANSWER_TIMEOUT_S = 0.5
STATUS_UNAVAILABLE = 503
Application = collections_abc.Callable[..., typing.Any]


class _ApiConfig(hypercorn.config.Config):
    """hypercorn's configuration with a TLS context reloaded by this package."""

    reloading_context: contexts.ReloadingContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Tell whether TLS is enabled."""
        return self.reloading_context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context that is reloaded when its files change."""
        if self.reloading_context is None:
            return None
        return self.reloading_context.context


class AnsweredApp:
    """An ASGI application whose calls in progress can be given up.

    hypercorn closes the connections of calls that outlast its timeout, so that
    their callers learn nothing.
    """

    def __init__(self, application: Application) -> None:
        """Serve calls with application."""
        self._application = application
        self._calls: set[anyio.CancelScope] = set()

    async def __call__(
        self,
        scope: dict[str, typing.Any],
        receive: Application,
        send: Application,
    ) -> None:
        """Serve one call."""
        if scope['type'] != 'http':
            await self._application(scope, receive, send)
            return
        has_started = False

        async def send_noted(message: dict[str, typing.Any]) -> None:
            nonlocal has_started  # noqa: WPS420 - set by the application
            has_started = True
            await send(message)

        call = anyio.CancelScope()
        with call:
            self._calls.add(call)
            try:
                await self._application(scope, receive, send_noted)
            finally:
                self._calls.discard(call)
        if call.cancelled_caught and not has_started:
            await _send_stopping(send)

    def give_up_all(self) -> None:
        """Answer the calls in progress now."""
        for call in tuple(self._calls):
            call.cancel()


async def _send_stopping(send: Application) -> None:
    answer = outcomes.ErrorResponse(
        STATUS_UNAVAILABLE,
        'stopping',
        'this controller stopped before the call had ended',
        outcomes.Outcome.UNKNOWN,
    )
    body = json.dumps(answer.body()).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        (outcomes.OUTCOME_HEADER.encode(), answer.outcome.value.encode()),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def serve_api(
    api: api_app.Api,
    host: str,
    port: int,
    stop: http_server.Stop,
    reloading_context: contexts.ReloadingContext | None = None,
) -> None:
    """Serve until stop returns, then finish the calls in progress.

    Raises ListenError if the address is in use.
    """
    listener = http_server.open_listener(host, port)
    config = _ApiConfig()
    config.bind = [f'fd://{listener.detach()}']
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    config.reloading_context = reloading_context
    application = AnsweredApp(api_app.make_api_app(api))

    async def give_up_late() -> None:
        await stop()
        await anyio.sleep(GRACEFUL_TIMEOUT_S - ANSWER_TIMEOUT_S)
        application.give_up_all()

    async with anyio.create_task_group() as group:
        group.start_soon(give_up_late)
        await http_server.serve(application, config, stop)
        group.cancel_scope.cancel()
