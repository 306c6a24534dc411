"""Serves the administration API, with TLS when settings name certificates."""

import ssl

import hypercorn.config

from redwingvalve.administration import app as api_app
from redwingvalve.core import http_server
from redwingvalve.tls import contexts

GRACEFUL_TIMEOUT_S = 10.0


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
    await http_server.serve(api_app.make_api_app(api), config, stop)
