"""Ends waits on behalf of a caller that has left or whose time has passed."""

import time

import anyio
import attrs

from redwingvalve.http1 import server


@attrs.define(eq=False)
class CallerWait:
    """The time that one caller waits, by this process's monotonic clock."""

    _responder: server.Responder
    _deadline_s: float
    _scope: anyio.CancelScope | None = None

    @property
    def has_ended(self) -> bool:
        """Return whether nothing may be sent for the caller any more."""
        return self.is_caller_gone or self.is_expired

    @property
    def is_caller_gone(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._responder.is_disconnected

    @property
    def is_expired(self) -> bool:
        """Return whether the caller's time has passed."""
        return time.monotonic() >= self._deadline_s

    def open_scope(self) -> anyio.CancelScope:
        """Return a scope to wait in, cancelled when the caller's wait ends."""
        self._scope = anyio.CancelScope(deadline=self._deadline_s)
        return self._scope

    def cancel(self) -> None:
        """Cancel the current scope, as the caller has left."""
        if self._scope is not None:
            self._scope.cancel()
