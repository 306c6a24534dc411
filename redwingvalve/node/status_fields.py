"""What a node tells the others about endpoints."""

import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import serving
from redwingvalve.node import peers, status_messages

# A lost datagram is made up for by one of those that follow, also with words
# as rare as in a fleet of 82 nodes.
CLEAR_TOLD_S = 2.0
_MS_IN_S = 1000


@attrs.frozen
class Clearing:
    """An endpoint that another node found sound, and when, on this clock."""

    endpoint_id: str
    epoch: int
    since_s: float


def address_word(local: peers.PeerAddress) -> typing.Any:
    """Return where a node is."""
    return status_messages.AddressWord(
        ip=local.ip,
        peer_port=local.peer_port,
        front=local.front,
        data_centre=local.data_centre,
        link_mbps=local.link_mbps,
    )


def suspect_words(table: serving.ServingTable) -> list[typing.Any]:
    """Return the endpoints that this node has taken out of use."""
    return suspicion_words(table.local_suspicions())


def suspicion_words(
    suspicions: collections_abc.Iterable[serving.Suspicion],
) -> list[typing.Any]:
    """Return how suspicions are told."""
    now_s = time.monotonic()
    return [
        status_messages.SuspectWord(
            endpoint_id=suspicion.endpoint_id,
            epoch=suspicion.epoch,
            left_ms=int((suspicion.until_s - now_s) * _MS_IN_S),
        )
        for suspicion in suspicions
    ]


def clear_words(
    cleared: dict[str, tuple[int, float]],
) -> list[typing.Any]:
    """Return the endpoints that were found sound lately.

    cleared holds the epoch and the moment of each finding.
    """
    since_s = time.monotonic() - CLEAR_TOLD_S
    return clearing_words(
        Clearing(endpoint_id, epoch, cleared_s)
        for endpoint_id, (epoch, cleared_s) in cleared.items()
        if cleared_s > since_s
    )


def clearing_words(
    clearings: collections_abc.Iterable[Clearing],
) -> list[typing.Any]:
    """Return how clearings are told."""
    now_s = time.monotonic()
    return [
        status_messages.ClearWord(
            endpoint_id=clearing.endpoint_id,
            epoch=clearing.epoch,
            age_ms=int((now_s - clearing.since_s) * _MS_IN_S),
        )
        for clearing in clearings
    ]


def read_suspicions(word: typing.Any) -> list[serving.Suspicion]:
    """Return the endpoints that another node has taken out of use."""
    now_s = time.monotonic()
    return [
        serving.Suspicion(
            suspect.endpoint_id,
            suspect.epoch,
            now_s + suspect.left_ms / _MS_IN_S,
            now_s,
        )
        for suspect in word.suspects or ()
    ]


def read_clears(word: typing.Any) -> list[Clearing]:
    """Return the endpoints that another node has found sound."""
    now_s = time.monotonic()
    return [
        Clearing(
            clear.endpoint_id, clear.epoch, now_s - clear.age_ms / _MS_IN_S
        )
        for clear in word.cleared or ()
    ]
