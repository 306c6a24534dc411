"""Converts between node state and the fields of status messages."""

import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import serving
from redwingvalve.node import peers, status_messages

# Cleared endpoints are repeated for this long. A later message makes up for a
# lost one even at the status interval of a fleet of 82 nodes.
CLEARED_REPEAT_S = 2.0
_MS_IN_S = 1000


@attrs.frozen
class Clearance:
    """An endpoint found healthy, with the time on the local monotonic clock."""

    endpoint_id: str
    epoch: int
    since_s: float
    # Start of the process that was found healthy, 0 if unknown.
    born_ms: int = 0


def address_message(address: peers.PeerAddress) -> typing.Any:
    """Return the message form of a node's address."""
    return status_messages.NodeAddress(
        ip=address.ip,
        peer_port=address.peer_port,
        front=address.front,
        data_centre=address.data_centre,
        link_mbps=address.link_mbps,
    )


def suspicion_messages(
    suspicions: collections_abc.Iterable[serving.Suspicion],
) -> list[typing.Any]:
    """Return the message form of suspicions."""
    now_s = time.monotonic()
    return [
        status_messages.SuspectedEndpoint(
            endpoint_id=suspicion.endpoint_id,
            epoch=suspicion.epoch,
            left_ms=int((suspicion.until_s - now_s) * _MS_IN_S),
            age_ms=int((now_s - suspicion.since_s) * _MS_IN_S),
            born_ms=suspicion.born_ms or None,
        )
        for suspicion in suspicions
    ]


def recent_clearance_messages(
    cleared: collections_abc.Iterable[Clearance],
) -> list[typing.Any]:
    """Return the endpoints that were found healthy within CLEARED_REPEAT_S."""
    since_s = time.monotonic() - CLEARED_REPEAT_S
    return clearance_messages(one for one in cleared if one.since_s > since_s)


def clearance_messages(
    clearances: collections_abc.Iterable[Clearance],
) -> list[typing.Any]:
    """Return the message form of clearances."""
    now_s = time.monotonic()
    return [
        status_messages.ClearedEndpoint(
            endpoint_id=clearance.endpoint_id,
            epoch=clearance.epoch,
            age_ms=int((now_s - clearance.since_s) * _MS_IN_S),
            born_ms=clearance.born_ms or None,
        )
        for clearance in clearances
    ]


def parse_suspicions(message: typing.Any) -> list[serving.Suspicion]:
    """Return the endpoints that the sender suspects."""
    now_s = time.monotonic()
    return [
        serving.Suspicion(
            suspect.endpoint_id,
            suspect.epoch,
            now_s + suspect.left_ms / _MS_IN_S,
            # Nodes of earlier versions don't state the age.
            now_s - (suspect.age_ms or 0) / _MS_IN_S,
            suspect.born_ms or 0,
        )
        for suspect in message.suspects or ()
    ]


def parse_clearances(message: typing.Any) -> list[Clearance]:
    """Return the endpoints that the sender found healthy."""
    now_s = time.monotonic()
    return [
        Clearance(
            cleared.endpoint_id,
            cleared.epoch,
            now_s - cleared.age_ms / _MS_IN_S,
            cleared.born_ms or 0,
        )
        for cleared in message.cleared or ()
    ]
