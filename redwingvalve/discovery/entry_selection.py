"""Selects the entries that a caller should use, and for how long.

Pure. Load pattern: callers cache an answer for some seconds and connect on
their own; when a data centre fails, all its callers request a new answer
within one cache time. Returning the least loaded entry would send them all to
the same one, whose load is reported a second late (thundering herd); returning
entries evenly would keep loading the full ones. Each answer therefore draws a
few entries at random, weighted by spare capacity and preferring near data
centres, and the cache time is jittered so that callers don't synchronize.
"""

import random
from collections import abc as collections_abc

import attrs

from redwingvalve.membership import members

MAX_ENTRIES = 4
# Entries that report at least this load are full and not selected.
FULL_LOAD = 0.95
# Lower bound of the spare capacity in an entry's weight: however empty another
# entry is, the rest of its data centre still receives callers.
MIN_WEIGHT = 0.05
# Weight factor of entries in the caller's data centre. The other callers keep
# connections to further data centres in use, so that entries there are already
# known when the data centre is lost.
SAME_DATA_CENTRE_FACTOR = 4.0
OTHER_REGION_FACTOR = 0.01
KEEP_JITTER = 0.25


@attrs.frozen
class EntrySelection:
    """The entries for one caller, to be cached for keep_s."""

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
    """Select entries; loads are the used shares of each entry's capacity.

    The first entry is drawn by weight. The others include one of another
    data centre if there is any, so that a caller has a working address when
    its data centre fails.
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
    # When all entries are full, an empty answer would only bring the callers'
    # retries here, so callers are spread over all entries instead.
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
