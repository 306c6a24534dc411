"""Decides whether an answer that ended with its connection is whole.

Load pattern: answers have neither a length nor chunks, and endpoints are ended
amid them, some while they leave. The connections of a process that is ended
close like that of an answer which is complete, so that half an answer would
look whole to its caller. An endpoint that leaves finishes its answers, and may
stop listening before.

A head may cut off the answers of its replica and live on: a member is lost, or
the replica is closed at once. Its process tells nothing then.

An answer is whole if its endpoint outlives it, and its replica too. It is taken
for whole too if its body came at once from an endpoint that had stopped
listening some time before: one that is ended stops listening at the same
moment. All others may be cut off.
"""

import abc
import enum
import types
import typing

import attrs

from redwingvalve.ingress import load_balancing

# From the end of listening to that of an answer. Connections of a process that
# is ended close within a few milliseconds.
MIN_STOPPED_S = 0.1
# From the head to the end of an answer whose body came at once.
MAX_TRANSFER_S = 0.1


class AnswerEnd(enum.Enum):
    """How an answer ended."""

    # With its length or last chunk, so that it is whole.
    MARKED = 'marked'
    # With its connection, at an endpoint that lives on, so that it is whole.
    OPEN = 'open'
    # The same, but whether the endpoint is still there later tells nothing: it
    # leaves, or is out of this node's reach.
    UNTRACKED = 'untracked'
    # With its connection, at an endpoint that is gone or out of reach, so that
    # it may be cut off.
    UNKNOWN = 'unknown'
    # With its endpoint.
    CRASH = 'crash'

    @property
    def is_whole(self) -> bool:
        """Return whether the caller may take the answer for whole."""
        return self in {AnswerEnd.MARKED, AnswerEnd.OPEN, AnswerEnd.UNTRACKED}


class Life(enum.Enum):
    """What is known of an endpoint after an answer of it has ended."""

    # It has answered something that was sent later, or only others' probes.
    ALIVE = 'alive'
    REACHED_BY_OTHERS = 'reached by others'
    ENDED = 'ended'
    # Its host replied that nothing listens at its address.
    NOT_LISTENING = 'not listening'
    # No response, or this node is cut off.
    SILENT = 'silent'


class Standing(enum.Enum):
    """What is known of the replica of an answer after it has ended."""

    # It takes requests or finishes them, or there is none.
    SERVES = 'serves'
    # Its work is cut off, or may be.
    CUT_OFF = 'cut off'
    # Nobody has reported of it.
    UNTOLD = 'untold'


@attrs.frozen
class EndedAnswer:
    """An answer that ended with its connection."""

    target: load_balancing.Target
    is_stream: bool
    # When its head and its end were received, by the monotonic clock.
    head_s: float
    ended_s: float
    # Its request may be one that crashes endpoints.
    is_in_doubt: bool = False
    # Its request may be sent again, to find out whether anything follows.
    may_repeat: bool = False
    # Its bytes have waited unread, so that the times are later than their own.
    was_held: bool = False


@attrs.frozen
class Evidence:
    """What tells whether an endpoint has outlived its answer."""

    life: Life
    is_leaving: bool = False
    # Another connection to it has been open for longer.
    has_open_connection: bool = False
    # When it was first found not to listen, None if it wasn't.
    stopped_s: float | None = None
    standing: Standing = Standing.SERVES


_OTHERS: typing.Final = types.MappingProxyType(
    {
        Life.REACHED_BY_OTHERS: AnswerEnd.UNTRACKED,
        Life.ENDED: AnswerEnd.CRASH,
        Life.SILENT: AnswerEnd.UNKNOWN,
    }
)


def judge(answer: EndedAnswer, evidence: Evidence) -> AnswerEnd:
    """Return how an answer ended."""
    end = _judge_life(answer, evidence)
    if end.is_whole and _may_be_cut_off(evidence):
        return AnswerEnd.UNKNOWN
    return end


def _may_be_cut_off(evidence: Evidence) -> bool:
    """Return whether a replica may have cut off what its head outlives.

    A head that doesn't listen any more can't be asked for its report.
    """
    if evidence.standing is Standing.UNTOLD:
        return evidence.life is not Life.NOT_LISTENING
    return evidence.standing is Standing.CUT_OFF


def _judge_life(answer: EndedAnswer, evidence: Evidence) -> AnswerEnd:
    """Return how an answer ended as far as its endpoint's life tells."""
    whole = AnswerEnd.UNTRACKED if evidence.is_leaving else AnswerEnd.OPEN
    if evidence.life is not Life.NOT_LISTENING:
        return whole if evidence.life is Life.ALIVE else _OTHERS[evidence.life]
    if evidence.has_open_connection:
        return whole
    if not evidence.is_leaving:
        return AnswerEnd.CRASH
    if not answer.is_stream and _is_finished(answer, evidence):
        return whole
    return AnswerEnd.UNKNOWN


def _is_finished(answer: EndedAnswer, evidence: Evidence) -> bool:
    """Return whether an endpoint that stops seems to have finished an answer.

    The events of a stream come one by one, so that an early end is as likely.
    """
    if evidence.stopped_s is None or answer.was_held:
        return False
    has_outlived_stop = answer.ended_s - evidence.stopped_s >= MIN_STOPPED_S
    return has_outlived_stop and (
        answer.ended_s - answer.head_s <= MAX_TRANSFER_S
    )


class AnswerEndChecker(abc.ABC):
    """Finds out how an answer that ended with its connection ended."""

    @abc.abstractmethod
    async def check(self, answer: EndedAnswer) -> AnswerEnd:
        """Return how it ended."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Gather evidence until cancelled."""


class AssumedWhole(AnswerEndChecker):
    """Takes each answer for whole."""

    async def check(self, answer: EndedAnswer) -> AnswerEnd:
        """Return OPEN."""
        return AnswerEnd.OPEN

    async def run(self) -> None:
        """Do nothing."""
