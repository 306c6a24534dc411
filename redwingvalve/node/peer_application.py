"""HTTP application for other nodes: store watches and forwarded requests."""

from redwingvalve.http1 import messages, request_parser, server
from redwingvalve.node import front as front_module
from redwingvalve.node import watch_sources
from redwingvalve.platform import caller_requests

# Heads of forwarded requests carry a few more headers than callers sent.
ADDED_HEAD_BYTES = 1024


class PeerApplication(server.Application):
    """Serves other nodes."""

    def __init__(
        self,
        relay: watch_sources.WatchRelayApplication,
        front: front_module.FrontApplication,
    ) -> None:
        """Answer watches by relay and callers' requests by front."""
        self.account = front.account
        self._relay = relay
        self._front = front

    def limits(self) -> request_parser.ServerLimits:
        """Return limits that suffice for what callers may send."""
        relay, front = self._relay.limits(), self._front.limits()
        return request_parser.ServerLimits(
            max(relay.head_bytes, front.head_bytes) + ADDED_HEAD_BYTES,
            max(relay.body_bytes, front.body_bytes),
            relay.head_timeout_s,
            relay.idle_timeout_s,
        )

    def is_closing(self) -> bool:
        """Return False: a node that stops declines requests instead."""
        return False

    def serve(
        self, request: messages.Request, responder: server.Responder
    ) -> None:
        """Serve a forwarded request or a watch."""
        forwarded = caller_requests.read_forwarded(request)
        if forwarded is None:
            self._relay.serve(request, responder)
        else:
            self._front.serve_forwarded(request, responder, forwarded)
