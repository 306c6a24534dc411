"""Interface for telling failed endpoints from a node that is cut off.

Load pattern: a node loses its links to all endpoints for seconds, while its
callers, the store and the other nodes still reach it. All endpoints then look
dead to it. What it concludes about them must not reach other nodes.
"""

import abc
import time


class ReachObserver(abc.ABC):
    """Acts on the results of checks."""

    @abc.abstractmethod
    def reach_checked(self, began_s: float, *, is_cut_off: bool) -> None:
        """Handle a check that began at began_s by the monotonic clock."""


class EndpointReach(abc.ABC):
    """Whether this node can connect to endpoints."""

    @property
    @abc.abstractmethod
    def is_cut_off(self) -> bool:
        """Return whether no endpoint could be reached by the latest check."""

    @abc.abstractmethod
    def add_observer(self, observer: ReachObserver) -> None:
        """Notify an observer of each check."""

    @abc.abstractmethod
    def request_check(self) -> None:
        """Have the links checked soon."""

    @abc.abstractmethod
    def peers_cut_off(self) -> None:
        """Have the links checked unless they just were: others lost theirs."""

    @abc.abstractmethod
    async def confirm_unless_recent(self) -> bool:
        """Return whether an endpoint was reached a moment ago, or now."""

    @abc.abstractmethod
    async def confirm(self) -> bool:
        """Check the links now; return whether an endpoint was reached."""

    @abc.abstractmethod
    def record_answer(self, now_s: float) -> None:
        """Record that an endpoint has answered a request."""

    @abc.abstractmethod
    def answer_overdue(self, sent_s: float) -> None:
        """Have the links checked if nothing was answered since sent_s."""


class AssumedReach(EndpointReach):
    """Assumes that endpoints can be reached."""

    def __init__(self) -> None:
        """Start without observers."""
        self._observers: list[ReachObserver] = []

    @property
    def is_cut_off(self) -> bool:
        """Return False."""
        return False

    def add_observer(self, observer: ReachObserver) -> None:
        """Notify an observer of each check."""
        self._observers.append(observer)

    def request_check(self) -> None:
        """Report at once that endpoints can be reached."""
        for observer in self._observers:
            observer.reach_checked(time.monotonic(), is_cut_off=False)

    def peers_cut_off(self) -> None:
        """Do nothing."""

    async def confirm_unless_recent(self) -> bool:
        """Return True."""
        return True

    async def confirm(self) -> bool:
        """Return True."""
        return True

    def record_answer(self, now_s: float) -> None:
        """Do nothing."""

    def answer_overdue(self, sent_s: float) -> None:
        """Do nothing."""
