"""Replicas after answers of them, by what their heads report."""

import pytest

from redwingvalve.fleet import closing_marks, endpoints, replica_standing
from redwingvalve.platform import endpoint_orders

State, Standing = endpoints.MemberState, replica_standing.Standing
Past = closing_marks.Past
KEY = ('small.1.1', 7)


def member(state, key=KEY):
    return endpoints.Membership(*key, 0, state)


def judge(reported, *, key=KEY, listed=None, past=Past.UNKNOWN):
    return replica_standing.judge(
        key,
        listed=listed,
        report=endpoint_orders.Report(1, reported, ()),
        past=past,
    )


@pytest.mark.parametrize('state', list(State))
@pytest.mark.parametrize('past', list(Past))
def test_a_replica_that_no_longer_serves_may_have_cut_off_its_answer(
    state, past
):
    """Heads that cut off answers live on, and these counted as whole."""
    serves = state in {State.OPEN, State.CLOSING}
    may_finish = {
        Past.CLOSING: {State.READY},
        Past.FINISHED: set(State) - {State.BROKEN},
    }
    finished = state in may_finish.get(past, set())
    is_whole = past is not Past.CUT_OFF and (serves or finished)
    assert judge(member(state), past=past) is (
        Standing.SERVES if is_whole else Standing.CUT_OFF
    )


@pytest.mark.parametrize('reported', [None, member(State.OPEN, (KEY[0], 8))])
def test_a_head_of_another_replica_has_left_that_of_the_answer(reported):
    """It serves again under the same name a moment later."""
    assert judge(reported) is Standing.CUT_OFF
    assert judge(reported, past=Past.FINISHED) is Standing.SERVES


@pytest.mark.parametrize('reported', [None, member(State.OPEN, (KEY[0], 8))])
def test_a_head_that_left_while_it_closed_has_cut_off_its_answer(reported):
    """The start of a stream was taken for the whole of it."""
    assert judge(reported, past=Past.CLOSING) is Standing.CUT_OFF


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
        KEY, listed=None, report=None, past=Past.CLOSING
    )
    assert found is Standing.UNTOLD


OTHER = member(State.JOINING, ('small.1.2', 8))


@pytest.mark.parametrize(
    ('seen', 'past'),
    [
        ((State.READY, State.OPEN), Past.UNKNOWN),
        ((State.READY, State.OPEN, State.CLOSING), Past.CLOSING),
        ((State.CLOSING, State.READY), Past.FINISHED),
        ((State.CLOSING, State.READY, None), Past.FINISHED),
        ((State.CLOSING, State.READY, OTHER), Past.FINISHED),
        ((State.CLOSING, OTHER), Past.CLOSING),
        ((State.CLOSING, None), Past.CLOSING),
        ((State.CLOSING, State.READY, State.OPEN), Past.UNKNOWN),
        ((State.CLOSING, State.READY, State.BROKEN), Past.CUT_OFF),
        ((State.BROKEN, State.CLOSING, State.READY), Past.CUT_OFF),
    ],
)
def test_only_a_replica_that_was_ready_again_has_finished(seen, past):
    """One that broke or was left as it closed looked like it afterwards."""
    marks = closing_marks.ClosingMarks()
    for state in seen:
        membership = member(state) if isinstance(state, State) else state
        marks.observe(
            endpoints.Endpoint(
                'e1', 1, 's', 'h', 1, 'z', 4, False, membership=membership
            )
        )
    assert marks.past_of(('e1', 1), KEY) is past


def test_a_broken_replica_that_reports_to_close_has_cut_off_its_answer():
    """It is told to close when it has broken, and reports that it does."""
    found = replica_standing.judge(
        KEY,
        listed=member(State.CLOSING),
        report=endpoint_orders.Report(1, member(State.CLOSING), ()),
        past=Past.CUT_OFF,
    )
    assert found is Standing.CUT_OFF
