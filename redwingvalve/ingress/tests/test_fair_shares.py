"""Decisions over what client accounts hold and what they wait for."""

import random
import statistics

from redwingvalve.ingress import (
    fair_shares,
    prompt_sizes,
    served_shares,
    waiting_lines,
)

RANK = (True, False, 1, True)


def place(account, rank=RANK):
    return waiting_lines.Place(rank, account, (('account', account),))


def serve(lines, uses, now_s):
    """Serve the first request; return it."""
    waiter, found = next(lines.in_order(now_s))
    uses.change_held(found.account, 1, now_s)
    uses.record_grant(found.account)
    lines.remove(waiter)
    return waiter


def test_an_account_with_little_use_passes_one_that_holds_many_slots():
    """Ordered by age, small accounts wait for all requests of a large one."""
    uses = fair_shares.AccountUses()
    lines = waiting_lines.WaitingLines(uses)
    uses.change_held('large', 20, 0.0)
    for number in range(30):
        lines.add(f'large {number}', place('large'))
    lines.add('small', place('small'))
    assert lines.ahead_of('small', 1.0) == 0
    assert serve(lines, uses, 1.0) == 'small'
    assert serve(lines, uses, 1.0) == 'large 0'


def test_an_account_that_held_many_slots_still_gives_way_after_them():
    """An account whose slots are freed at once would begin anew."""
    uses = fair_shares.AccountUses()
    uses.change_held('large', 20, 0.0)
    uses.change_held('large', -20, 3.0)
    uses.change_held('small', 1, 3.0)
    assert uses.use('large', 3.5) > uses.use('small', 3.5)
    uses.drop_unused(60.0)
    assert len(uses) == 1


def test_an_account_below_its_share_waits_for_one_request_of_each_other():
    """Ordered by use alone, it waits until each new account has caught up."""
    rng = random.Random(1)
    for _ in range(200):
        uses = fair_shares.AccountUses()
        lines = waiting_lines.WaitingLines(uses)
        names = 'abcdef'
        for name in names:
            uses.change_held(name, rng.randint(0, 9), 0.0)
        waited = {}
        for number in range(120):
            now_s = number * 0.01
            name = rng.choice(names)
            lines.add((name, number), place(name))
            if rng.random() < 0.5:
                continue
            share = uses.equal_share(lines.accounts(), now_s)
            below = {
                name
                for name in lines.accounts_of(RANK)
                if uses.use(name, now_s) < share
            }
            served, _ = serve(lines, uses, now_s)
            for name in names:
                if name == served or name not in below:
                    waited.pop(name, None)
                    continue
                waited.setdefault(name, []).append(served)
                assert len(waited[name]) == len(set(waited[name]))


def test_expected_position_is_the_one_at_which_a_request_is_served():
    """A wrong position lets requests wait that will be late."""
    rng = random.Random(2)
    errors = []
    for _ in range(100):
        uses = fair_shares.AccountUses()
        lines = waiting_lines.WaitingLines(uses)
        for name in 'abcd':
            uses.change_held(name, rng.randint(0, 9), 0.0)
            for number in range(rng.randint(0, 9)):
                lines.add((name, number), place(name))
        waiter = ('new', 0)
        lines.add(waiter, place(rng.choice('abcd')))
        ahead = lines.ahead_of(waiter, 0.0)
        served = 0
        while serve(lines, uses, 0.0) != waiter:
            served += 1
        errors.append(abs(served - ahead))
    assert statistics.mean(errors) <= 1


def test_groups_served_too_seldom_are_found():
    """Ordered by urgency alone, less urgent kinds get no slot in a burst."""
    shares = served_shares.ServedShares()
    urgent, other = ('kind', 'urgent'), ('kind', 'other')
    for number in range(40):
        shares.record_offered([urgent], 0, 1.0)
        shares.record_offered([other], 2, 1.0)
        if number % 2:
            shares.record_served([urgent], 1.0)
    missing = shares.missing([urgent, other], 1.0)
    assert set(missing) == {other}
    assert missing[other] >= 40 * 0.25 / 4


def test_a_less_urgent_kind_is_not_served_more_often_than_a_more_urgent_one():
    """A kind with a long goal outlasts others in the queue and gets more."""
    shares = served_shares.ServedShares()
    urgent, other = ('kind', 'urgent'), ('kind', 'other')
    for _ in range(20):
        shares.record_offered([urgent], 1, 1.0)
        shares.record_offered([other], 2, 1.0)
        shares.record_served([other], 1.0)
    assert shares.kinds_ahead(1.0) == {other}


def test_ranks_of_prompts_follow_those_of_their_kind():
    sizes = prompt_sizes.PromptSizes()
    rng = random.Random(3)
    ranks = [sizes.rank('kind', rng.random()) for _ in range(1000)]
    assert 70 <= ranks[200:].count(2) <= 110
    assert 120 <= ranks[200:].count(1) <= 220
    assert sizes.rank('other', 5.0) == 0
