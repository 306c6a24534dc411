"""What the end of an answer tells of the endpoint that gave it."""

import abc
import enum

from redwingvalve.ingress import load_balancing


class AnswerEnd(enum.Enum):
    """How an answer ended."""

    # With its length or last chunk, so that it is whole.
    MARKED = 'marked'
    # With its connection, at an endpoint that seems to live.
    OPEN = 'open'
    # With its connection, at an endpoint that leaves, or out of reach.
    UNKNOWN = 'unknown'
    # With its endpoint.
    CRASH = 'crash'


class AnswerEndChecker(abc.ABC):
    """Finds out how an answer that ended with its connection ended."""

    @abc.abstractmethod
    async def check(
        self, target: load_balancing.Target, *, is_in_doubt: bool
    ) -> AnswerEnd:
        """Return how it ended.

        is_in_doubt: its request may be one that crashes endpoints.
        """


class AssumedWhole(AnswerEndChecker):
    """Takes each answer for whole."""

    async def check(
        self, target: load_balancing.Target, *, is_in_doubt: bool
    ) -> AnswerEnd:
        """Return OPEN."""
        return AnswerEnd.OPEN
