"""Places are held while their holders say so, and by nobody twice."""

import hypothesis
from hypothesis import strategies

from redwingvalve.allocation import hold_table, messages

NODE = messages.Sender('vm-1', 1)
OTHER = messages.Sender('vm-2', 1)


def test_a_place_is_held_until_it_is_released():
    table = hold_table.HoldTable()
    table.hold((NODE, 1), 'e1', 0.0)
    assert table.count('e1') == 1
    table.release((NODE, 1))
    table.release((NODE, 1))
    assert table.count('e1') == 0


def test_what_a_holder_leaves_out_is_free():
    """A release that was lost costs a place until the next report only."""
    table = hold_table.HoldTable()
    table.hold((NODE, 1), 'e1', 0.0)
    table.hold((NODE, 2), 'e2', 0.0)
    table.confirm(NODE, {2: 'e2'}, 1.0)
    assert (table.count('e1'), table.count('e2')) == (0, 1)


def test_a_place_that_was_granted_after_the_report_was_sent_stays():
    """A report crosses a grant; the endpoint isn't filled twice."""
    table = hold_table.HoldTable()
    table.hold((NODE, 1), 'e1', 0.9)
    table.confirm(NODE, {}, 1.0)
    assert table.count('e1') == 1


def test_a_new_granter_learns_what_is_held():
    """The one who granted it has died, and its places stay taken."""
    table = hold_table.HoldTable()
    table.confirm(NODE, {7: 'e1'}, 0.0)
    assert table.count('e1') == 1


def test_places_of_a_silent_holder_lapse():
    table = hold_table.HoldTable()
    table.hold((NODE, 1), 'e1', 0.0)
    table.hold((OTHER, 1), 'e1', 0.0)
    table.confirm(OTHER, {1: 'e1'}, 1.5)
    table.drop_expired(hold_table.LAPSE_S + 0.1)
    assert table.count('e1') == 1


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['hold', 'release', 'confirm', 'lapse']),
        strategies.sampled_from([NODE, OTHER]),
        strategies.integers(1, 4),
        strategies.sampled_from(['e1', 'e2']),
        strategies.floats(0, 1),
    ),
    max_size=40,
)


@hypothesis.given(STEPS)
def test_counts_are_those_of_the_holds_whatever_comes(steps):
    """Datagrams that are lost, late or repeated leave no place uncounted."""
    table = hold_table.HoldTable()
    now_s = 0.0
    for step, sender, number, endpoint_id, passed_s in steps:
        now_s += passed_s
        if step == 'hold':
            table.hold((sender, number), endpoint_id, now_s)
        elif step == 'release':
            table.release((sender, number))
        elif step == 'confirm':
            table.confirm(sender, {number: endpoint_id}, now_s)
        else:
            table.drop_expired(now_s)
        held = [
            table.find((one, other)).endpoint_id
            for one in (NODE, OTHER)
            for other in range(1, 5)
            if table.find((one, other))
        ]
        assert len(table) == len(held)
        assert all(
            table.count(name) == held.count(name) for name in ('e1', 'e2')
        )
    table.drop_expired(now_s + hold_table.LAPSE_S + 0.1)
    assert not len(table)
