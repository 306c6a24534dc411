"""Slots stay held while their holders report them, and are counted once."""

import hypothesis
from hypothesis import strategies

from redwingvalve.allocation import hold_table, messages

NODE = messages.Sender('vm-1', 1)
OTHER = messages.Sender('vm-2', 1)


def test_a_slot_is_held_until_it_is_released():
    table = hold_table.HoldTable()
    table.add((NODE, 1), 'e1', 0.0)
    assert table.count('e1') == 1
    table.release((NODE, 1))
    table.release((NODE, 1))
    assert table.count('e1') == 0


def test_a_slot_missing_from_a_report_is_freed():
    """A lost release costs a slot only until the next report."""
    table = hold_table.HoldTable()
    table.add((NODE, 1), 'e1', 0.0)
    table.add((NODE, 2), 'e2', 0.0)
    table.reconcile(NODE, {2: 'e2'}, 1.0)
    assert (table.count('e1'), table.count('e2')) == (0, 1)


def test_a_slot_granted_after_a_report_was_sent_stays_held():
    """A report that crosses a grant must not free the granted slot."""
    table = hold_table.HoldTable()
    table.add((NODE, 1), 'e1', 0.9)
    table.reconcile(NODE, {}, 1.0)
    assert table.count('e1') == 1


def test_a_new_owner_learns_of_held_slots_from_reports():
    """The previous owner has died; its slots must stay held."""
    table = hold_table.HoldTable()
    table.reconcile(NODE, {7: 'e1'}, 0.0)
    assert table.count('e1') == 1


def test_slots_of_a_silent_holder_expire():
    table = hold_table.HoldTable()
    table.add((NODE, 1), 'e1', 0.0)
    table.add((OTHER, 1), 'e1', 0.0)
    table.reconcile(OTHER, {1: 'e1'}, 1.5)
    table.drop_expired(hold_table.HOLD_TIMEOUT_S + 0.1)
    assert table.count('e1') == 1


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['add', 'release', 'reconcile', 'expire']),
        strategies.sampled_from([NODE, OTHER]),
        strategies.integers(1, 4),
        strategies.sampled_from(['e1', 'e2']),
        strategies.floats(0, 1),
    ),
    max_size=40,
)


@hypothesis.given(STEPS)
def test_counts_match_the_holds_after_any_sequence_of_steps(steps):
    """Lost, late or repeated datagrams must not make the counts drift."""
    table = hold_table.HoldTable()
    now_s = 0.0
    for step, sender, number, endpoint_id, passed_s in steps:
        now_s += passed_s
        if step == 'add':
            table.add((sender, number), endpoint_id, now_s)
        elif step == 'release':
            table.release((sender, number))
        elif step == 'reconcile':
            table.reconcile(sender, {number: endpoint_id}, now_s)
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
    table.drop_expired(now_s + hold_table.HOLD_TIMEOUT_S + 0.1)
    assert not len(table)
