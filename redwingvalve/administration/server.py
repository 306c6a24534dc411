"""Serves the administration API, with TLS when settings name certificates."""

import ssl

import hypercorn.config

from redwingvalve.administration import app as api_app
from redwingvalve.core import http_server
from redwingvalve.tls import contexts

GRACEFUL_TIMEOUT_S = 10.0


class _ApiConfig(hypercorn.config.Config):
    """hypercorn's configuration with a context that we reload ourselves."""

    reloading: contexts.ReloadingContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Tell whether a certificate is set."""
        return self.reloading is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context that follows its files."""
        if self.reloading is None:
            return None
        return self.reloading.context


async def serve_api(
    api: api_app.Api,
    host: str,
    port: int,
    stop: http_server.Stop,
    reloading: contexts.ReloadingContext | None = None,
) -> None:
    """Serve until stop returns, then let calls in progress finish.

    ListenError when the address is taken.
    """
    listener = http_server.open_listener(host, port)
    config = _ApiConfig()
    config.bind = [f'fd://{listener.detach()}']
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    config.reloading = reloading
    await http_server.serve(api_app.make_api_app(api), config, stop)
