"""Replicas after answers of them, by what their heads report."""

import pytest

from redwingvalve.fleet import closing_marks, endpoints, replica_standing
from redwingvalve.platform import endpoint_orders

State, Standing = endpoints.MemberState, replica_standing.Standing
KEY = ('small.1.1', 7)


def member(state, key=KEY):
    return endpoints.Membership(*key, 0, state)


def judge(reported, *, key=KEY, listed=None, was_closing=False):
    return replica_standing.judge(
        key,
        listed=listed,
        report=endpoint_orders.Report(1, reported, ()),
        was_closing=was_closing,
    )


@pytest.mark.parametrize('state', list(State))
@pytest.mark.parametrize('was_closing', [False, True])
def test_a_replica_that_no_longer_serves_may_have_cut_off_its_answer(
    state, was_closing
):
    """Heads that cut off answers live on, and these counted as whole."""
    serves = state in {State.OPEN, State.CLOSING}
    finished = was_closing and state is not State.BROKEN
    assert judge(member(state), was_closing=was_closing) is (
        Standing.SERVES if serves or finished else Standing.CUT_OFF
    )


@pytest.mark.parametrize('reported', [None, member(State.OPEN, (KEY[0], 8))])
def test_a_head_of_another_replica_has_left_that_of_the_answer(reported):
    """It serves again under the same name a moment later."""
    assert judge(reported) is Standing.CUT_OFF
    assert judge(reported, was_closing=True) is Standing.SERVES


def test_an_entry_shows_a_broken_replica_whose_report_is_older():
    """Reports lag behind by some hundred milliseconds."""
    listed = member(State.BROKEN)
    assert judge(member(State.OPEN), listed=listed) is Standing.CUT_OFF


def test_plain_endpoints_cut_nothing_off():
    """They report no replica."""
    assert judge(None, key=('', 0)) is Standing.SERVES


def test_without_report_nothing_is_known():
    """An answer that shows life only says nothing of the replica."""
    found = replica_standing.judge(
        KEY, listed=None, report=None, was_closing=True
    )
    assert found is Standing.UNTOLD


def test_a_replica_that_broke_while_it_closed_has_not_finished():
    """Its later states look like those of one that has."""
    marks = closing_marks.ClosingMarks()
    for state, has in (
        (State.OPEN, False),
        (State.CLOSING, True),
        (State.READY, True),
        (State.BROKEN, False),
        (State.CLOSING, False),
        (State.READY, False),
    ):
        marks.observe(
            endpoints.Endpoint(
                'e1', 1, 's', 'h', 1, 'z', 4, False, membership=member(state)
            )
        )
        assert marks.has(('e1', 1), KEY) is has
    assert marks.has_broken(('e1', 1), KEY)


def test_a_broken_replica_that_reports_to_close_has_cut_off_its_answer():
    """It is told to close when it has broken, and reports that it does."""
    found = replica_standing.judge(
        KEY,
        listed=member(State.CLOSING),
        report=endpoint_orders.Report(1, member(State.CLOSING), ()),
        was_closing=True,
        has_broken=True,
    )
    assert found is Standing.CUT_OFF
