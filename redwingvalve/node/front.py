"""HTTP applications: caller requests, readiness, metrics and the directory."""

import asyncio
import json

from redwingvalve.http1 import messages, request_parser, server
from redwingvalve.ingress import request_handler, routes
from redwingvalve.ingress import state as state_module
from redwingvalve.node import front_selection, successors
from redwingvalve.node import peers as peers_module
from redwingvalve.observability import logs, node_metrics
from redwingvalve.platform import caller_requests, names

LOG = logs.make_logger('front')
# TTL of directory responses; some callers keep one for three times as long.
DIRECTORY_TTL_S = 1
# Callers reuse connections for up to four fifths of the configured idle
# timeout; the node keeps them open longer than that, so that it never closes
# one that a caller is about to reuse.
IDLE_TIMEOUT_FACTOR = 1.2
METRICS_PATH = '/metrics'
_JSON = (b'content-type', b'application/json')
_OK = 200
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


class FrontApplication(server.Application):
    """Proxies callers' requests to endpoints."""

    socket_share = 0.5

    def __init__(self, state: state_module.IngressState) -> None:
        """Route requests by the node's state."""
        self._state = state
        self.account = state.account
        self.running: dict[
            asyncio.Task[None], request_handler.RequestHandler
        ] = {}
        self.has_served = False

    def limits(self) -> request_parser.ServerLimits:
        """Return the configured limits, or the defaults before those."""
        configuration = self._state.configuration
        limits = (
            configuration.limits if configuration else (routes.DEFAULT_LIMITS)
        )
        return request_parser.ServerLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_timeout_s=limits.head_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000 * IDLE_TIMEOUT_FACTOR,
        )

    def is_closing(self) -> bool:
        """Return whether the node is about to stop."""
        return self._state.is_leaving

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Proxy one request in its own task."""
        self._start(request, responder, None)

    def serve_forwarded(
        self,
        request: messages.Request,
        responder: server.Responder,
        forwarded: caller_requests.Forwarded,
    ) -> None:
        """Proxy a request of another node's caller."""
        self._start(request, responder, forwarded)

    def log_running(self, what: str) -> None:
        """Log each request in progress."""
        for handler in self.running.values():
            node_metrics.METRICS.count(
                'redwingvalve_cut_requests', was_sent=str(handler.was_sent)
            )
            LOG.warning(
                what,
                extra={
                    'request': handler.attempt_id,
                    'age_ms': handler.age_ms,
                    'was_sent': handler.was_sent,
                },
            )

    def give_up_all(self) -> None:
        """Answer the requests in progress, as this node stops now."""
        self.log_running('cut off')
        for task, handler in tuple(self.running.items()):
            _give_up(handler)
            task.cancel()

    def _start(
        self,
        request: messages.Request,
        responder: server.Responder,
        forwarded: caller_requests.Forwarded | None,
    ) -> None:
        self.has_served = True
        handler = request_handler.RequestHandler(
            self._state, request, responder, forwarded
        )
        task = asyncio.get_running_loop().create_task(
            self._run(handler, responder)
        )
        self.running[task] = handler
        task.add_done_callback(self.running.pop)

    async def _run(
        self,
        handler: request_handler.RequestHandler,
        responder: server.Responder,
    ) -> None:
        try:
            await handler.run()
        except Exception:
            LOG.exception('request failed')
            _give_up(handler)
        # Without any response the caller would wait until its deadline.
        if not responder.is_done and not responder.is_disconnected:
            responder.abort()


def _give_up(handler: request_handler.RequestHandler) -> None:
    """Answer a failed request, whatever else fails."""
    try:
        handler.give_up()
    except Exception:
        LOG.exception('request not given up')
        handler.responder.send_response(_BAD_GATEWAY, [], b'')


class NodeApplication(server.Application):
    """Serves the readiness check, the metrics and the node directory."""

    def __init__(
        self,
        state: state_module.IngressState,
        peers: peers_module.Peers,
        fleet_successors: successors.FleetSuccessors,
        ttl_max_s: float,
    ) -> None:
        """Respond from the node's state and its peers."""
        self._state = state
        self.account = state.account
        self._peers = peers
        self._successors = fleet_successors
        self._ttl_s = min(DIRECTORY_TTL_S, ttl_max_s)

    def limits(self) -> request_parser.ServerLimits:
        """Return default limits; bodies may be as large as heads only."""
        limits = routes.DEFAULT_LIMITS
        return request_parser.ServerLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.head_bytes,
            head_timeout_s=limits.head_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        )

    def is_closing(self) -> bool:
        """Return whether the node is about to stop."""
        return self._state.is_leaving

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Respond at once."""
        path = request.target.partition(b'?')[0].decode('latin-1')
        if path == names.READY_PATH:
            status = _OK if self.is_ready() else _UNAVAILABLE
            responder.send_response(status, [_JSON], b'{}')
        elif path == METRICS_PATH:
            text = (b'content-type', b'text/plain; version=0.0.4')
            body = node_metrics.METRICS.render()
            responder.send_response(_OK, [text], body)
        elif path == names.RESOLVE_PATH:
            self._resolve(request, responder)
        else:
            responder.send_response(
                _NOT_FOUND, [_JSON], b'{"error":"no such path"}'
            )

    def is_ready(self) -> bool:
        """Return whether this node can serve callers."""
        state = self._state
        return state.configuration is not None and not state.is_leaving

    def _resolve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        data_centre = caller_requests.read_data_centre(request)
        addresses = front_selection.select_fronts(self._peers, data_centre)
        if self.is_ready() and len(addresses) < front_selection.MAX_FRONTS:
            addresses.append(self._peers.local.front)
        if not addresses:
            addresses = self._successors.leaving_fronts(
                is_local_usable=self._state.configuration is not None
            )
        if not addresses:
            responder.send_response(
                _UNAVAILABLE, [_JSON], b'{"error":"none ready"}'
            )
            return
        body = {'addresses': addresses, 'ttl_s': self._ttl_s}
        responder.send_response(_OK, [_JSON], json.dumps(body).encode())
