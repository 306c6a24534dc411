"""Mergeable facts about endpoint failures and the requests involved.

A fact links a request digest to a failure of an endpoint, or to a trial: an
entry runs the suspect once more, alone. Facts are only added; closing one sets
a flag. Merging is therefore commutative and idempotent (a two-phase set).
"""

import hashlib
import struct
import typing
from collections import abc as collections_abc

import attrs

DIGEST_BYTES = 8
RECORD = struct.Struct('>8s8sB')
CLOSED = 1
TRIAL = 2
# 17 bytes each, 6.8 KB in all; published only on changes.
MAX_ENCODED_FACTS = 400


class Fact(typing.NamedTuple):
    """A request ran on an endpoint when it failed, or is on trial."""

    digest: bytes
    event: bytes
    trial: bool = False


@attrs.define
class FactState:
    """When this entry recorded a fact, and whether it is closed.

    is_mass_failure is set if many endpoints failed at that time, as with a
    lost rack.
    """

    recorded_at_s: float
    closed: bool = False
    is_mass_failure: bool = False


def make_digest(*parts: bytes) -> bytes:
    """Return the digest of those parts of a request that an engine processes.

    Pass the account, the model and the canonical prompt; omit everything that
    changes when a caller retries, such as ids and time stamps.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.digest()


def make_failure_id(endpoint: str, epoch: int, earlier: int) -> bytes:
    """Return the id of a failure, the same at every entry that saw it.

    earlier is the number of known failures of this endpoint and epoch for the
    same request, since a plain service restarts without a new epoch.
    """
    return make_digest(
        endpoint.encode(), str(epoch).encode(), str(earlier).encode()
    )


def encode(
    states: collections_abc.Mapping[Fact, FactState], max_facts: int
) -> bytes:
    """Encode the newest facts."""
    newest = sorted(states, key=lambda fact: -states[fact].recorded_at_s)
    return b''.join(
        RECORD.pack(fact.digest, fact.event, _flags(fact, states[fact]))
        for fact in newest[:max_facts]
    )


def decode(
    body: bytes,
) -> collections_abc.Iterator[tuple[Fact, bool]]:
    """Yield each fact of a body; a truncated last record is ignored."""
    whole = len(body) - len(body) % RECORD.size
    for digest, event, flags in RECORD.iter_unpack(body[:whole]):
        fact = Fact(digest, event, trial=bool(flags & TRIAL))
        yield fact, bool(flags & CLOSED)


def _flags(fact: Fact, state: FactState) -> int:
    flags = CLOSED if state.closed else 0
    return flags | TRIAL if fact.trial else flags
