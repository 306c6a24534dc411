"""Assumed content of prefix caches from late and incomplete events."""

import pytest

from redwingvalve.platform_api import prefix_hashes
from redwingvalve.routing import (
    cache_follower,
    cache_summary,
    cache_summary_reader,
)

HOT = 'aabbccdd'


def events(first, count, stored=True):
    return [
        cache_follower.CacheEvent(number, f'{number:08x}', stored)
        for number in range(first, first + count)
    ]


def make_follower(known=40):
    """Return a follower that has read `known` prefixes of one endpoint."""
    follower = cache_follower.make_cache_follower()
    follower.follow({'r1': 1})
    fetch = follower.next_fetch(0.0)
    page = [*events(1, known - 1), cache_follower.CacheEvent(known, HOT, True)]
    follower.record_page(fetch, page, 500, 0.0)
    return follower


@pytest.mark.parametrize(('lost', 'is_held'), [(0, True), (3, True), (9, 0)])
def test_a_gap_drops_uncertain_prefixes(lost, is_held):
    """Lost events may have been removals.

    With a few of 40 lost, the prefixes before the gap are kept; with a quarter
    lost, they are dropped.
    """
    follower = make_follower(known=40)
    fetch = follower.next_fetch(1.0)
    follower.record_page(fetch, events(41 + lost, 1), 500, 1.0)
    assert (HOT in follower.held('r1')) == bool(is_held)
    assert follower.invalidations('r1') == (0 if is_held else 1)
    assert f'{41 + lost:08x}' in follower.held('r1')


def test_a_removal_and_a_new_epoch_drop_prefixes():
    follower = make_follower()
    removal = cache_follower.CacheEvent(41, HOT, False)
    follower.record_page(follower.next_fetch(1.0), [removal], 500, 1.0)
    assert HOT not in follower.held('r1')
    assert follower.removed('r1', 0.5) == (HOT,)
    follower.follow({'r1': 2})
    assert not follower.held('r1')
    assert follower.next_fetch(5.0).after == 0


def test_reading_stays_within_its_budget_and_counts_skipped_events():
    """20 endpoints emit 1,000 events a second each; 4 KB a second are read.

    Skipped events count as lost, so that no outdated prefix is kept.
    """
    follower = cache_follower.make_cache_follower()
    follower.follow({f'r{number}': 1 for number in range(20)})
    read_bytes = 0
    for tick in range(2, 400):
        now_s = tick / 2
        while (fetch := follower.next_fetch(now_s)) is not None:
            newest = int(now_s * 1000)
            page = events(max(fetch.after + 1, newest - 2000), 2000)
            page = [event for event in page if event.number <= newest]
            read_bytes += 70 * len(page)
            follower.record_page(fetch, page, 70 * len(page), now_s)
    # The last page may have the maximum size of an engine.
    assert read_bytes < 4000 * 200 + 2000 * 70
    held = sorted(int(name, 16) for name in follower.held('r0'))
    assert held and held[-1] - held[0] < 2000


def build_summary(name, held, removed=(), invalidations=0):
    return cache_summary.CacheSummary(
        name.encode().rjust(6),
        invalidations,
        tuple(bytes.fromhex(one) for one in held),
        tuple(bytes.fromhex(one) for one in removed),
    )


def test_summaries_of_480_replicas_stay_within_the_budget():
    """Full summaries of 480 replicas every 5 s, within the item size limit."""
    summaries = [
        build_summary(f'{number}', [HOT] * 6, [HOT] * 2)
        for number in range(480)
    ]
    body = cache_summary.encode(summaries)
    assert len(body) / 5 < 4000
    assert len(body) / 480 * 200 <= 8192
    assert cache_summary.decode(body) == tuple(summaries)
    assert cache_summary.decode(body[:-1]) == tuple(summaries[:-1])


class RecordedCalls:
    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append((name, *arguments))


def test_only_changes_reach_routing_and_a_missing_summary_clears_it():
    """A summary is repeated, has a removal, is invalidated and is gone."""
    reader, routing = (
        cache_summary_reader.make_summary_reader(),
        RecordedCalls(),
    )
    steps = (
        ({'r1': build_summary('r1', [HOT])}, [('prefix_stored', 'r1', HOT)]),
        ({'r1': build_summary('r1', [HOT])}, []),
        (
            {'r1': build_summary('r1', [], [HOT])},
            [('prefix_removed', 'r1', HOT)],
        ),
        (
            {'r1': build_summary('r1', [], [HOT], invalidations=1)},
            [('forget_prefixes', 'r1')],
        ),
        ({}, [('forget_prefixes', 'r1')]),
    )
    for summaries, wanted in steps:
        routing.calls.clear()
        reader.apply(summaries, lambda name: routing)
        assert routing.calls == wanted


def test_only_prefixes_requested_again_are_sent():
    popularity = cache_summary.PrefixPopularity()
    popularity.record(['once', HOT])
    popularity.record([HOT])
    summary = cache_summary.make_summary(
        b'marked', make_follower(), 'r1', popularity, 0.0
    )
    assert summary.held == (bytes.fromhex(HOT),)


def test_prompts_with_the_same_beginning_share_their_hashes():
    first, second = (
        prefix_hashes.prefix_hashes('s' * 600 + end, (2, 8))
        for end in ('a' * 2000, 'b' * 2000)
    )
    assert first[0] == second[0] and first[1] != second[1]
