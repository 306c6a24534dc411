"""Whether an answer that ended with its connection was cut by a crash."""

import abc

from redwingvalve.ingress import load_balancing


class AnswerEndChecker(abc.ABC):
    """Finds out whether the endpoint of an answer has ended with it."""

    @abc.abstractmethod
    async def has_ended(
        self, target: load_balancing.Target, *, is_in_doubt: bool
    ) -> bool:
        """Return whether an endpoint is known to have ended.

        is_in_doubt: its request may be one that crashes endpoints.
        """


class AssumedWhole(AnswerEndChecker):
    """Takes each answer for whole."""

    async def has_ended(
        self, target: load_balancing.Target, *, is_in_doubt: bool
    ) -> bool:
        """Return False."""
        return False
