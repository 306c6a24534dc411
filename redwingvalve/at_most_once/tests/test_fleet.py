"""A fleet of voters under partitions, crashes, pauses and replacements."""

import itertools

import anyio
import pytest

from redwingvalve.at_most_once import (
    claim_table,
    messages,
)
from redwingvalve.at_most_once.tests import fleet as fleets
from redwingvalve.core import outcomes

# Copies take several pages in this module too.
small_pages = fleets.small_pages


@pytest.mark.parametrize('lost', fleets.BASE_NAMES)
def test_a_resend_to_another_entry_after_a_crash_does_not_run(lost):
    """The caller sees a refusal with outcome ran for its second try.

    It sends with a key of its own; an entry dies, maybe the one that ran the
    request or a voter, and comes back without memory. The caller sends again
    elsewhere. Any two of the three voters share one that remembers.
    """
    fleet = fleets.Fleet()
    assert fleet.send('e1', 'quote-7') == 'ran'
    fleet.crash(lost)
    fleet.start(lost)
    fleet.settle()
    for name in fleets.BASE_NAMES:
        refused = fleet.send(name, 'quote-7')
        assert refused.outcome == outcomes.Outcome.RAN
    assert len(fleet.runs['quote-7']) == 1


def test_only_the_larger_side_of_a_partition_decides():
    """Callers of the smaller side see outcome unknown; nothing runs there.

    The fleet splits three to two. Both sides are asked with the same key, for
    longer than claims are remembered.
    """
    fleet = fleets.Fleet()
    fleet.side.update(e4=1, e5=1)
    fleet.advance(claim_table.MEMORY_S)
    answers = [
        fleet.send(name, f'k{i}') for i in range(20) for name in ('e4', 'e1')
    ]
    assert {answer.duplicate for answer in answers[::2]} == {False}
    assert 'ran' in answers[1::2]


def test_a_restarted_entry_votes_again_at_once():
    """Callers notice nothing of a rolling restart of all entries.

    Each entry restarts and copies the claims of the others before the next
    one does. Every earlier key is still refused, every new key runs.
    """
    fleet = fleets.Fleet()
    for name in fleets.BASE_NAMES:
        assert fleet.send(name, f'before-{name}') == 'ran'
        fleet.crash(name)
        fleet.start(name)
        fleet.settle()
    for name in fleets.BASE_NAMES:
        assert fleet.send('e1', f'before-{name}').duplicate
        assert fleet.send(name, f'after-{name}') == 'ran'


@pytest.mark.parametrize(
    'lost', tuple(itertools.combinations(fleets.WITH_CONTROLS, 2))
)
def test_two_that_die_together_hold_no_key_up(lost):
    """The caller of a new key is served seconds after the two are back.

    Two of three entries and two controllers die before either has copied the
    claims of the other. The three others hold every claim that a majority
    granted: earlier keys stay refused, also after a third has died since.
    """
    fleet = fleets.Fleet(fleets.WITH_CONTROLS)
    assert fleet.send('e1', 'before') == 'ran'
    fleet.crash_together(lost)
    fleet.settle(fleets.READY_S)
    for name in fleets.WITH_CONTROLS:
        assert fleet.send(name, 'before').outcome == outcomes.Outcome.RAN
        assert fleet.send(name, f'after-{name}') == 'ran'
    third = next(name for name in fleets.WITH_CONTROLS if name not in lost)
    fleet.crash_together([third])
    fleet.settle(fleets.READY_S)
    for name in fleets.WITH_CONTROLS:
        assert fleet.send(name, f'after-{name}').outcome == 'ran'
    assert fleet.send(third, 'last') == 'ran'


def test_newcomers_beside_a_cut_off_voter_do_not_outvote_the_others():
    """The caller that sends again on the smaller side sees no second run.

    e3 is cut off while e1 and e2 run quotes. Two new voters start on its side
    and make three of five with it; none of them knows of the quotes.
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
    """The caller that sends again is refused; new keys are decided.

    e1 restarts and copies two pages of e2's claims; then e2 restarts too and
    numbers its claims anew, which must not be taken for the rest.
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
    for name in fleets.BASE_NAMES:
        assert fleet.entries[name].voter.remembered() == len(quotes)
        assert fleet.send(name, 'quote-8').outcome == outcomes.Outcome.RAN
    assert fleet.send('e2', 'new') == 'ran'


def test_a_claim_that_a_restart_falls_into_is_not_half_forgotten():
    """The caller that sends again is refused; its first send had its votes.

    e1 votes and dies. It is back within a second and looks at the others before
    the votes of e2 and e3 are asked. Had it copied them then, it would let
    e4 and e5 run with it what ran under the votes of e1, e2 and e3.
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


def test_votes_that_come_late_are_not_counted():
    """The caller sees a refusal, and its next send runs.

    The claimant is held up between its questions. A voter that answered first
    may have restarted and copied the others by the time the last is asked.
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
def test_newcomers_do_not_run_what_died_with_an_earlier_majority(
    majority, others, newcomers
):
    """The caller that sends again sees unknown; only the dead knew its quote.

    A majority runs a quote while the others are cut off. Newcomers start on
    their side, then the majority dies and restarts, and all meet. Most have
    lost nothing that their names granted, and none has the quote.
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
        for name in fleet.awake():
            assert fleet.send(name, quote) != 'ran'


def test_newcomers_that_see_only_each_other_are_no_fleet():
    """The caller sends again to a newcomer while all others are paused.

    The newcomers have never met the others and see a fleet of their own. The
    store's names tell them that they are two of five.
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


def test_three_of_nine_that_die_together_hold_only_their_own_keys_up():
    """Callers see unknown only where a majority of a key's voters is lost.

    A data centre of three of nine processes loses its power and comes back.
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
def test_a_lost_majority_decides_again_when_callers_have_given_up(lost):
    """The caller of a key without a time is told unknown for resend_s.

    Three or more of five lose their memory at once: some earlier key may be
    known to nobody. Once no caller sends an earlier key any more, new ones
    run; a key that still comes within that time doesn't run again.
    """
    fleet = fleets.Fleet(fleets.WITH_CONTROLS, resend_s=60)
    assert fleet.send('e1', 'before') == 'ran'
    fleet.crash_together(fleets.WITH_CONTROLS[-lost:])
    fleet.settle(50)
    assert fleet.send('e1', 'before') != 'ran'
    refused = fleet.send('e1', 'new')
    assert refused.outcome == outcomes.Outcome.UNKNOWN
    assert refused.wait_s == 10
    fleet.settle(fleets.READY_S + 2)
    assert fleet.send('e1', 'new') == 'ran'


def test_a_restart_of_the_whole_fleet_forgets_nothing_silently():
    """The caller sees outcome unknown: nobody remembers, so nothing runs.

    All entries restart at once. A key dated after the restart is surely new
    and runs; for any other nobody can know.
    """
    fleet = fleets.Fleet()
    fleet.send('e1', 'old')
    for name in fleets.BASE_NAMES:
        fleet.crash(name)
    for name in fleets.BASE_NAMES:
        fleet.start(name)
    fleet.advance(30)
    assert not fleet.send('e2', 'old').duplicate
    dated = f'at-{int(fleet.clock.wall_s())}-new'
    assert fleet.send('e2', dated) == 'ran'
    assert fleet.send('e3', dated).duplicate


def test_an_issued_key_lives_and_dies_with_its_issuer():
    """The caller sees unknown once the issuer is gone; nothing runs then.

    The key names an entry and incarnation. Another entry may run the request
    after asking it, once; a new incarnation of the same name decides nothing.
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


def test_without_the_safeguard_the_breach_is_found():
    fleet = fleets.Fleet(disabled=(fleets.RUN,))
    assert fleet.send('e1', 'k') == 'ran' == fleet.send('e2', 'k')
    assert len(fleet.runs['k']) == 2


def test_a_voter_that_knows_a_newcomer_is_silent_to_old_voters():
    """The caller sees a refusal and sends again; nothing can run twice.

    A new entry has joined; one voter knows it and has told it its claims, the
    claimant does not. A grant by the old voters after that would be unknown
    to the newcomer, which may then vote for a second run.
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
