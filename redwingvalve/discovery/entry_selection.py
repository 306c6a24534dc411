"""Which entries a caller is told to use, and for how long.

Pure. Load pattern: callers keep an answer for some seconds and connect by
themselves; when a data centre goes, all its callers come for a new answer
within one keep time. Naming the least loaded entry would send them all to the
same one, whose load is reported a second late (herd); naming entries evenly
would keep loading the full ones. Each answer therefore draws a few entries at
random, weighted by their spare room, nearer data centres first, and the keep
time varies so that callers don't return in step.
"""

import random
from collections import abc as collections_abc

import attrs

from redwingvalve.membership import members

MAX_ENTRIES = 4
# Weight of an entry that reports to be full; above it, it isn't named.
FULL_LOAD = 0.95
# No entry is so empty that others of its data centre get nothing.
MIN_WEIGHT = 0.05
# Callers in the same data centre are sent there this much more often; the
# rest keeps connections elsewhere in use, so that a loss of the data centre
# does not find the others unknown.
SAME_DATA_CENTRE_FACTOR = 4.0
OTHER_REGION_FACTOR = 0.01
KEEP_JITTER = 0.25


@attrs.frozen
class EntrySelection:
    """The entries for one caller; keep_s is how long to use them."""

    entries: tuple[members.Member, ...]
    keep_s: float


def select_entries(
    present: collections_abc.Iterable[members.Member],
    loads: collections_abc.Mapping[str, float],
    here: members.Member,
    keep_s: float,
    rng: random.Random,
    *,
    isolated: bool = False,
) -> EntrySelection:
    """Choose entries; loads are shares of each entry's room in use.

    The first named is drawn by weight; at least one of another data centre
    is among the others when there is one, so that a caller whose data centre
    goes has an address that works.
    """
    jittered_s = keep_s * rng.uniform(1 - KEEP_JITTER, 1.0)
    candidates = _candidates(present, loads, here, isolated=isolated)
    drawn = _draw(candidates, loads, here, rng)
    return EntrySelection(
        _with_other_data_centre(drawn, candidates), jittered_s
    )


def _candidates(
    present: collections_abc.Iterable[members.Member],
    loads: collections_abc.Mapping[str, float],
    here: members.Member,
    *,
    isolated: bool,
) -> list[members.Member]:
    alive = [
        member
        for member in present
        if member.role == 'entry'
        and member.state is members.MemberState.ALIVE
        and not (isolated and member.name == here.name)
    ]
    available = [
        member for member in alive if loads.get(member.name, 0.0) < FULL_LOAD
    ]
    # When all are full, refusing to name any would only move the callers'
    # retries here; they are spread over all instead.
    return available or alive


def _draw(
    candidates: list[members.Member],
    loads: collections_abc.Mapping[str, float],
    here: members.Member,
    rng: random.Random,
) -> list[members.Member]:
    # Weighted sampling without replacement (Efraimidis and Spirakis 2006).
    keyed = []
    for candidate in candidates:
        weight = _weight(candidate, loads, here)
        key = rng.random() ** (1 / weight)
        keyed.append((key, candidate.name, candidate))
    keyed.sort(key=lambda drawn: drawn[:2], reverse=True)
    return [member for _, _, member in keyed]


def _weight(
    member: members.Member,
    loads: collections_abc.Mapping[str, float],
    here: members.Member,
) -> float:
    spare = max(1.0 - loads.get(member.name, 0.0), MIN_WEIGHT)
    if member.region != here.region:
        return spare * OTHER_REGION_FACTOR
    if member.data_centre == here.data_centre:
        return spare * SAME_DATA_CENTRE_FACTOR
    return spare


def _with_other_data_centre(
    drawn: list[members.Member], candidates: list[members.Member]
) -> tuple[members.Member, ...]:
    selected = drawn[:MAX_ENTRIES]
    data_centres = {member.data_centre for member in selected}
    others = [
        member
        for member in drawn[MAX_ENTRIES:]
        if member.data_centre not in data_centres
    ]
    if len(data_centres) == 1 and others:
        selected[-1] = others[0]
    return tuple(selected)
