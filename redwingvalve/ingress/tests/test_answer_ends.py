"""Answers without a length, by what is known of their endpoints."""

import pytest

from redwingvalve.ingress import answer_ends, load_balancing

End, Life = answer_ends.AnswerEnd, answer_ends.Life
Standing = answer_ends.Standing
TARGET = load_balancing.Target('e1', '127.0.0.1', 1, 4, 'zone-1')


def judge(life, *, is_stream=False, transfer_s=0.01, **evidence):
    answer = answer_ends.EndedAnswer(TARGET, is_stream, 10 - transfer_s, 10)
    return answer_ends.judge(answer, answer_ends.Evidence(life, **evidence))


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize(
    ('life', 'evidence', 'end'),
    [
        (Life.ALIVE, {}, End.OPEN),
        (Life.ALIVE, {'is_leaving': True}, End.UNTRACKED),
        (Life.REACHED_BY_OTHERS, {}, End.UNTRACKED),
        (Life.ENDED, {'is_leaving': True}, End.CRASH),
        (Life.SILENT, {'has_open_connection': True}, End.UNKNOWN),
        (Life.NOT_LISTENING, {}, End.CRASH),
        (Life.NOT_LISTENING, {'stopped_s': 9}, End.CRASH),
        (Life.NOT_LISTENING, {'is_leaving': True}, End.UNKNOWN),
        (Life.NOT_LISTENING, {'has_open_connection': True}, End.OPEN),
    ],
)
def test_only_what_an_endpoint_has_outlived_is_whole(
    is_stream, life, evidence, end
):
    """Half an answer of an endpoint that was ended looked whole."""
    assert judge(life, is_stream=is_stream, **evidence) is end


@pytest.mark.parametrize(
    ('stopped_s', 'transfer_s', 'is_stream', 'end'),
    [
        (9.5, 0.05, False, End.UNTRACKED),
        # As if the process had been ended.
        (9.95, 0.01, False, End.UNKNOWN),
        # Ended while it sent the body.
        (9.5, 0.4, False, End.UNKNOWN),
        (9.5, 0.05, True, End.UNKNOWN),
    ],
)
def test_a_body_at_once_after_an_endpoint_stopped_listening_is_whole(
    stopped_s, transfer_s, is_stream, end
):
    """The last answers of an endpoint that leaves weren't passed on."""
    found = judge(
        Life.NOT_LISTENING,
        is_stream=is_stream,
        transfer_s=transfer_s,
        is_leaving=True,
        stopped_s=stopped_s,
    )
    assert found is end


@pytest.mark.parametrize('is_leaving', [False, True])
@pytest.mark.parametrize('life', [Life.ALIVE, Life.REACHED_BY_OTHERS])
@pytest.mark.parametrize('standing', [Standing.CUT_OFF, Standing.UNTOLD])
def test_a_process_that_lives_tells_nothing_of_its_replica(
    life, standing, is_leaving
):
    """Heads that cut off answers live on, and these counted as whole."""
    found = judge(life, standing=standing, is_leaving=is_leaving)
    assert found is End.UNKNOWN


@pytest.mark.parametrize('life', [Life.ENDED, Life.SILENT])
def test_the_end_of_a_process_counts_whatever_its_replica_is(life):
    """Crashes weren't counted as such."""
    assert judge(life, standing=Standing.CUT_OFF) is judge(life)


def test_an_open_connection_tells_of_a_head_that_can_not_be_asked():
    """The last answers of heads that leave weren't passed on."""
    found = judge(
        Life.NOT_LISTENING,
        standing=Standing.UNTOLD,
        has_open_connection=True,
        is_stream=True,
    )
    assert found is End.OPEN
