"""Answers without a length, by what is known of their endpoints."""

import pytest

from redwingvalve.ingress import answer_ends, load_balancing

End, Life = answer_ends.AnswerEnd, answer_ends.Life
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
