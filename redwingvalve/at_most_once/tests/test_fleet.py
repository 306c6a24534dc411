"""A fleet of voters with partitions, crashes, pauses and replacements."""

import itertools

import anyio
import pytest

from redwingvalve.at_most_once import (
    claim_table,
    messages,
)
from redwingvalve.at_most_once.tests import fleet as fleets
from redwingvalve.core import outcomes

# Small pages apply in this module too.
small_pages = fleets.small_pages


@pytest.mark.parametrize('lost', fleets.ENTRY_NAMES)
def test_a_retry_at_another_entry_after_a_crash_does_not_run(lost):
    """A retry with the same key at any entry is refused with outcome ran.

    After the first run, an entry crashes and restarts without its claims; it
    may be the one that ran the request, or a voter. Any two majorities of the
    voters share one that still has the claim.
    """
    fleet = fleets.Fleet()
    assert fleet.send('e1', 'quote-7') == 'ran'
    fleet.crash(lost)
    fleet.start(lost)
    fleet.settle()
    for name in fleets.ENTRY_NAMES:
        refused = fleet.send(name, 'quote-7')
        assert refused.outcome == outcomes.Outcome.RAN
    assert len(fleet.runs['quote-7']) == 1


def test_only_the_majority_side_of_a_partition_decides():
    """On the minority side of a partition, nothing runs.

    The fleet is split three to two for longer than claims are kept. The same
    keys are used on both sides.
    """
    fleet = fleets.Fleet()
    fleet.side.update(e4=1, e5=1)
    fleet.advance(claim_table.RETENTION_S)
    answers = [
        fleet.send(name, f'k{i}') for i in range(20) for name in ('e4', 'e1')
    ]
    assert {answer.duplicate for answer in answers[::2]} == {False}
    assert 'ran' in answers[1::2]


def test_a_restarted_entry_votes_again_at_once():
    """A rolling restart of all entries has no effect on callers.

    Each entry restarts and copies the claims of the others before the next one
    restarts. Every earlier key is still refused, and every new key runs.
    """
    fleet = fleets.Fleet()
    for name in fleets.ENTRY_NAMES:
        assert fleet.send(name, f'before-{name}') == 'ran'
        fleet.crash(name)
        fleet.start(name)
        fleet.settle()
    for name in fleets.ENTRY_NAMES:
        assert fleet.send('e1', f'before-{name}').duplicate
        assert fleet.send(name, f'after-{name}') == 'ran'


@pytest.mark.parametrize(
    'lost', tuple(itertools.combinations(fleets.MIXED_NAMES, 2))
)
def test_two_simultaneous_crashes_block_no_key(lost):
    """New keys run within seconds after two voters have restarted.

    Two of three entries and two controllers crash before either has copied the
    claims of the other. The remaining three have every claim that a majority
    granted: earlier keys are still refused, even after a third one crashes.
    """
    fleet = fleets.Fleet(fleets.MIXED_NAMES)
    assert fleet.send('e1', 'before') == 'ran'
    fleet.crash_together(lost)
    fleet.settle(fleets.READY_S)
    for name in fleets.MIXED_NAMES:
        assert fleet.send(name, 'before').outcome == outcomes.Outcome.RAN
        assert fleet.send(name, f'after-{name}') == 'ran'
    third = next(name for name in fleets.MIXED_NAMES if name not in lost)
    fleet.crash_together([third])
    fleet.settle(fleets.READY_S)
    for name in fleets.MIXED_NAMES:
        assert fleet.send(name, f'after-{name}').outcome == 'ran'
    assert fleet.send(third, 'last') == 'ran'


def test_new_voters_beside_an_isolated_voter_form_no_majority():
    """A retry on the side of an isolated voter doesn't run again.

    e3 is isolated while e1 and e2 run quotes. Two new voters start on its side,
    three of five in all, and none of them has the claims of the quotes.
    """
    fleet = fleets.Fleet(('e1', 'e2', 'e3'))
    fleet.side['e3'] = 1
    fleet.settle(2)
    quotes = [f'quote-{number}' for number in range(30)]
    assert {fleet.send('e1', quote) for quote in quotes} == {'ran'}
    for name in ('n4', 'n5'):
        fleet.side[name] = 1
        fleet.start(name)
    fleet.settle(fleets.READY_S)
    for quote in quotes:
        for name in ('n4', 'n5', 'e3'):
            assert fleet.send(name, quote) != 'ran'


def test_a_source_that_restarts_between_pages_is_copied_from_the_start():
    """Claims are copied from the start if the source restarts in between.

    e1 restarts and copies two pages of the claims of e2. Then e2 restarts too
    and numbers its claims from one, which are not the rest of the first copy.
    """
    fleet = fleets.Fleet()
    quotes = [f'quote-{number}' for number in range(9)]
    assert {fleet.send('e1', quote) for quote in quotes} == {'ran'}
    pages = []

    def restart_e2(source):
        pages.append(source)
        if pages.count('e2') == 3:
            fleet.on_copy = lambda source: None
            fleet.crash_together(['e2'])

    fleet.on_copy = restart_e2
    fleet.crash_together(['e1'])
    fleet.settle(2 * fleets.READY_S)
    assert pages.count('e2') == 3
    for name in fleets.ENTRY_NAMES:
        assert fleet.entries[name].voter.remembered() == len(quotes)
        assert fleet.send(name, 'quote-8').outcome == outcomes.Outcome.RAN
    assert fleet.send('e2', 'new') == 'ran'


def test_a_restart_during_a_claim_does_not_lose_its_votes():
    """A retry is refused if a voter restarted during the votes of the first.

    e1 votes and crashes. It restarts within a second and syncs before e2 and e3
    vote. If it copied their claims then, it would form a majority with e4 and
    e5 for a request that ran with the votes of e1, e2 and e3.
    """
    fleet = fleets.Fleet()
    chosen = fleet.entries['e4'].voter.roster.voters('shop', 'quote')
    claim = messages.Claim('shop', 'quote', 'e4', 1, 'x', 'digest', chosen)
    votes = [fleet.entries['e1'].voter.vote(claim)]
    fleet.crash_together(['e1'])
    for _ in range(3):
        fleet.clock.advance(0.4)
        anyio.run(fleet.entries['e1'].sync_once)
    votes.extend(fleet.entries[name].voter.vote(claim) for name in ('e2', 'e3'))
    assert {vote.verdict for vote in votes} == {messages.Verdict.RUN}
    fleet.settle(fleets.READY_S)
    assert fleet.send('e5', 'quote') != 'ran'
    assert fleet.send('e5', 'other') == 'ran'


def test_late_votes_are_not_counted():
    """A claim with delayed votes is refused, and the next one runs.

    The claimant is delayed between its calls. A voter that voted first may have
    restarted and copied the others by the time the last one votes.
    """
    fleet = fleets.Fleet()
    fleet.on_vote = lambda: fleet.clock.advance(0.6)
    assert fleet.send('e1', 'quote').outcome == outcomes.Outcome.UNKNOWN
    fleet.on_vote = lambda: None
    fleet.settle(fleets.READY_S)
    assert fleet.send('e1', 'quote') == 'ran'


@pytest.mark.parametrize(
    ('majority', 'others', 'newcomers'),
    [
        (('e1', 'e2'), ('e3',), ('n4', 'n5', 'n6')),
        (('e1', 'e2', 'e3'), ('e4', 'e5'), ('n6', 'n7')),
    ],
)
def test_new_voters_do_not_run_what_a_crashed_majority_granted(
    majority, others, newcomers
):
    """A retry is undecided if only crashed voters had its claim.

    A majority runs a quote while the others are isolated. New voters start on
    the side of the others, then the majority crashes and restarts, and the
    partition heals. Most voters have all grants of their names, and none has
    the claim of the quote.
    """
    fleet = fleets.Fleet(majority + others)
    fleet.side.update(dict.fromkeys(others, 1))
    fleet.settle(2)
    quotes = [f'quote-{number}' for number in range(20)]
    assert {fleet.send('e1', quote) for quote in quotes} == {'ran'}
    for name in newcomers:
        fleet.side[name] = 1
        fleet.start(name)
    fleet.settle(fleets.READY_S)
    fleet.crash_together(majority)
    fleet.side = dict.fromkeys(fleet.side, 0)
    fleet.settle(fleets.READY_S)
    for quote in quotes:
        for name in fleet.running_names():
            assert fleet.send(name, quote) != 'ran'


def test_new_voters_that_see_only_each_other_do_not_decide():
    """Two new voters don't decide while the three others are paused.

    The new voters have never seen the others. From the names in the store they
    know that they are two of five.
    """
    fleet = fleets.Fleet(('e1', 'e2', 'e3'))
    assert fleet.send('e1', 'quote') == 'ran'
    fleet.paused.update(('e1', 'e2', 'e3'))
    fleet.start('n4')
    fleet.start('n5')
    fleet.settle(fleets.READY_S)
    assert fleet.send('n4', 'quote').outcome == outcomes.Outcome.UNKNOWN
    fleet.paused.clear()
    fleet.settle(fleets.READY_S)
    assert fleet.send('n4', 'quote').outcome == outcomes.Outcome.RAN
    assert fleet.send('n5', 'other') == 'ran'


def test_three_of_nine_crashes_block_only_the_keys_they_decide():
    """Keys are undecided only if a majority of their voters crashed.

    A data centre with three of nine processes loses power and recovers.
    """
    lost = {'e1', 'e2', 'c1'}
    fleet = fleets.Fleet(('e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'c1', 'c2', 'c3'))
    fleet.crash_together(sorted(lost))
    fleet.settle(fleets.READY_S)
    seen = set()
    for number in range(100):
        chosen = fleet.entries['e1'].voter.roster.voters('shop', f'k{number}')
        decided = fleet.send('e1', f'k{number}') == 'ran'
        seen.add((len(lost.intersection(chosen)) < 3, decided))
    assert seen == {(True, True), (False, False)}


@pytest.mark.parametrize('lost', (3, 4, 5))
def test_a_crashed_majority_decides_again_after_resend_s(lost):
    """Keys without a time are undecided for resend_s after a majority crash.

    If three or more of five voters crash at once, the claim of an earlier key
    may be lost. After resend_s no caller retries an earlier key, so keys run
    again; a key that arrives before that doesn't run.
    """
    fleet = fleets.Fleet(fleets.MIXED_NAMES, resend_s=60)
    assert fleet.send('e1', 'before') == 'ran'
    fleet.crash_together(fleets.MIXED_NAMES[-lost:])
    fleet.settle(50)
    assert fleet.send('e1', 'before') != 'ran'
    refused = fleet.send('e1', 'new')
    assert refused.outcome == outcomes.Outcome.UNKNOWN
    assert refused.wait_s == 10
    fleet.settle(fleets.READY_S + 2)
    assert fleet.send('e1', 'new') == 'ran'


def test_after_a_restart_of_the_fleet_earlier_keys_are_undecided():
    """After all entries restart at once, earlier keys are undecided.

    A key with a time after the restart is certainly new and runs; no voter can
    decide about any other key.
    """
    fleet = fleets.Fleet()
    fleet.send('e1', 'old')
    for name in fleets.ENTRY_NAMES:
        fleet.crash(name)
    for name in fleets.ENTRY_NAMES:
        fleet.start(name)
    fleet.advance(30)
    assert not fleet.send('e2', 'old').duplicate
    dated = f'at-{int(fleet.clock.wall_s())}-new'
    assert fleet.send('e2', dated) == 'ran'
    assert fleet.send('e3', dated).duplicate


def test_an_issued_key_is_valid_only_with_its_issuer():
    """An issued key is undecided once its issuer has ended.

    The key names an entry and an incarnation. Another entry may run the request
    once by the vote of the issuer; a new incarnation doesn't decide about it.
    """
    fleet = fleets.Fleet()
    issue = fleet.entries['e1'].voter.issue
    used, unused = str(issue()), str(issue())
    assert fleet.send('e3', used) == 'ran'
    assert fleet.send('e2', used).outcome == outcomes.Outcome.RAN
    fleet.crash('e1')
    fleet.start('e1')
    fleet.settle()
    assert fleet.send('e1', unused).outcome == outcomes.Outcome.UNKNOWN
    assert not fleet.runs[unused]


def test_without_the_safeguard_a_key_runs_twice():
    fleet = fleets.Fleet(disabled=(fleets.RUN,))
    assert fleet.send('e1', 'k') == 'ran' == fleet.send('e2', 'k')
    assert len(fleet.runs['k']) == 2


def test_a_voter_that_knows_a_new_voter_rejects_outdated_voter_sets():
    """A claim with an outdated set of voters is not granted.

    A new entry has joined and copied the claims of one voter, but the claimant
    doesn't know the new entry. A later grant by the old voters would be unknown
    to the new entry, which might vote for a second run.
    """
    fleet = fleets.Fleet()
    fleet.start('n6')
    fleet.side['e2'] = 1
    anyio.run(fleet.entries['e1'].sync_once)
    knows = fleet.entries['e1'].voter
    stale = fleet.entries['e2'].voter.roster
    verdicts = set()
    for key in (f'k{number}' for number in range(100)):
        old, new = stale.voters('s', key), knows.roster.voters('s', key)
        if 'e1' in old and 'e1' in new:
            claim = messages.Claim('s', key, 'e2', 1, 'e2-0', 'd', old)
            granted = knows.vote(claim).verdict == messages.Verdict.RUN
            verdicts.add((old == new, granted))
    assert verdicts == {(True, True), (False, False)}
