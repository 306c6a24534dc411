"""What is believed of prefix caches when their events come late and gappy."""

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


def followed(known=40):
    """A follower that read known prefixes of one endpoint."""
    follower = cache_follower.make_cache_follower()
    follower.follow({'r1': 1})
    fetch = follower.next_fetch(0.0)
    page = [*events(1, known - 1), cache_follower.CacheEvent(known, HOT, True)]
    follower.record_page(fetch, page, 500, 0.0)
    return follower


@pytest.mark.parametrize(('lost', 'believed'), [(0, True), (3, True), (9, 0)])
def test_a_gap_leads_to_distrust(lost, believed):
    """Events that never come may have been removals.

    A few of 40 leave the rest probable; a quarter of them does not, and
    what was read before the gap is given up.
    """
    follower = followed(known=40)
    fetch = follower.next_fetch(1.0)
    follower.record_page(fetch, events(41 + lost, 1), 500, 1.0)
    assert (HOT in follower.held('r1')) == bool(believed)
    assert follower.doubts('r1') == (0 if believed else 1)
    assert f'{41 + lost:08x}' in follower.held('r1')


def test_a_removal_and_a_new_epoch_end_what_was_believed():
    follower = followed()
    gone = cache_follower.CacheEvent(41, HOT, False)
    follower.record_page(follower.next_fetch(1.0), [gone], 500, 1.0)
    assert HOT not in follower.held('r1')
    assert follower.removed('r1', 0.5) == (HOT,)
    follower.follow({'r1': 2})
    assert not follower.held('r1')
    assert follower.next_fetch(5.0).after == 0


def test_reading_keeps_to_its_budget_and_skips_openly():
    """20 endpoints make 1,000 events a second each; 4 KB a second is read.

    What is skipped counts as lost, so that nothing old is believed.
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
    # The last page may be one that the engine made as long as it could.
    assert read_bytes < 4000 * 200 + 2000 * 70
    held = sorted(int(name, 16) for name in follower.held('r0'))
    assert held and held[-1] - held[0] < 2000


def make_summary(name, held, removed=(), doubts=0):
    return cache_summary.CacheSummary(
        name.encode().rjust(6),
        doubts,
        tuple(bytes.fromhex(one) for one in held),
        tuple(bytes.fromhex(one) for one in removed),
    )


def test_a_region_of_480_replicas_stays_in_its_budget():
    """Full words of 480 replicas each 5 s, in items that the board takes."""
    words = [
        make_summary(f'{number}', [HOT] * 6, [HOT] * 2) for number in range(480)
    ]
    body = cache_summary.encode(words)
    assert len(body) / 5 < 4000
    assert len(body) / 480 * 200 <= 8192
    assert cache_summary.decode(body) == tuple(words)
    assert cache_summary.decode(body[:-1]) == tuple(words[:-1])


class Learned:
    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append((name, *arguments))


def test_only_changes_reach_routing_and_silence_is_distrust():
    """The word comes twice, then with a removal, with doubts, then no more."""
    reader, learned = cache_summary_reader.make_summary_reader(), Learned()
    steps = (
        ({'r1': make_summary('r1', [HOT])}, [('prefix_stored', 'r1', HOT)]),
        ({'r1': make_summary('r1', [HOT])}, []),
        (
            {'r1': make_summary('r1', [], [HOT])},
            [('prefix_removed', 'r1', HOT)],
        ),
        (
            {'r1': make_summary('r1', [], [HOT], doubts=1)},
            [('forget_prefixes', 'r1')],
        ),
        ({}, [('forget_prefixes', 'r1')]),
    )
    for words, wanted in steps:
        learned.calls.clear()
        reader.apply(words, lambda name: learned)
        assert learned.calls == wanted


def test_only_what_callers_ask_for_again_is_told():
    asked = cache_summary.PrefixPopularity()
    asked.record(['once', HOT])
    asked.record([HOT])
    word = cache_summary.make_summary(b'marked', followed(), 'r1', asked, 0.0)
    assert word.held == (bytes.fromhex(HOT),)


def test_prompts_with_the_same_beginning_share_their_hashes():
    first, second = (
        prefix_hashes.prefix_hashes('s' * 600 + end, (2, 8))
        for end in ('a' * 2000, 'b' * 2000)
    )
    assert first[0] == second[0] and first[1] != second[1]
