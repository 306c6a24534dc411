"""What is known of deaths and of what ran then, mergeable in any order.

A fact joins a request digest to a death of an endpoint, or to a trial: an entry
runs the suspect once more, alone. Facts are only ever added; closing one adds a
mark to it. The union of two ledgers is therefore the same whichever comes first
and however often (a two-phase set).
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
# 17 bytes each: a body of 6.8 KB, sent only when it changes.
MAX_ENCODED_FACTS = 400


class Fact(typing.NamedTuple):
    """A request was running when an endpoint died, or is tried again."""

    digest: bytes
    event: bytes
    trial: bool = False


@attrs.define
class FactState:
    """When this entry learned a fact, and whether it still counts.

    among_many tells that many endpoints died at that time, as with a rack.
    """

    learned_at_s: float
    closed: bool = False
    among_many: bool = False


def make_digest(*parts: bytes) -> bytes:
    """Return the digest of what an engine computes from a request.

    Give it the account, the model and the canonical prompt, and leave out what
    a caller changes when it sends again, such as ids and time stamps.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.digest()


def make_failure_id(endpoint: str, epoch: int, earlier: int) -> bytes:
    """Return the id of a death, the same at every entry that saw it.

    earlier counts the deaths of this endpoint and epoch that are known for the
    same request, since a plain service restarts without a new epoch.
    """
    return make_digest(
        endpoint.encode(), str(epoch).encode(), str(earlier).encode()
    )


def encode(
    states: collections_abc.Mapping[Fact, FactState], max_facts: int
) -> bytes:
    """Return the newest facts as bytes."""
    newest = sorted(states, key=lambda fact: -states[fact].learned_at_s)
    return b''.join(
        RECORD.pack(fact.digest, fact.event, _marks(fact, states[fact]))
        for fact in newest[:max_facts]
    )


def decode(
    body: bytes,
) -> collections_abc.Iterator[tuple[Fact, bool]]:
    """Give each fact of a body; a cut record at its end is left out."""
    whole = len(body) - len(body) % RECORD.size
    for digest, event, marks in RECORD.iter_unpack(body[:whole]):
        fact = Fact(digest, event, trial=bool(marks & TRIAL))
        yield fact, bool(marks & CLOSED)


def _marks(fact: Fact, state: FactState) -> int:
    marks = CLOSED if state.closed else 0
    return marks | TRIAL if fact.trial else marks
