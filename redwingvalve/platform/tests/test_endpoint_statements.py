"""What answers of endpoints say about the endpoints themselves."""

import pytest

from redwingvalve.http1 import messages
from redwingvalve.platform import endpoint_statements


def read(*headers, status=200):
    return endpoint_statements.read_statement(
        messages.ResponseHead(status, list(headers), True)
    )


@pytest.mark.parametrize(
    ('text', 'requests_per_s'), [(b'1', 1.0), (b'0.25', 0.25), (b'0', 0.0)]
)
def test_a_rate_limit_is_read(text, requests_per_s):
    assert read((b'server-limit', text)).requests_per_s == requests_per_s


def test_an_answer_without_statements_states_no_rate_limit():
    assert read() == endpoint_statements.NOTHING


@pytest.mark.parametrize('text', [b'', b'many', b'-1', b'nan', b'inf', b'\xff'])
def test_an_unreadable_rate_limit_says_nothing(text):
    """It must not be taken for the end of a limit."""
    assert read((b'server-limit', text)) is None


def test_an_answer_from_another_endpoint_at_the_address_says_nothing():
    assert read((b'server-limit', b'1'), status=421) is None


@pytest.mark.parametrize(
    ('status', 'rest_s'), [(503, 2.5), (429, 2.5), (500, None), (200, None)]
)
def test_an_endpoint_asks_for_rest_only_when_it_turns_a_request_away(
    status, rest_s
):
    statement = read((b'retry-after', b'2.5'), status=status)
    assert statement.rest_s == rest_s


@pytest.mark.parametrize(
    ('headers', 'is_leaving'),
    [([(b'server-leaving', b'1')], True), ([(b'server-leaving', b'0')], False)],
)
def test_an_endpoint_says_that_it_leaves(headers, is_leaving):
    assert read(*headers).is_leaving is is_leaving


def test_an_endpoint_says_how_much_longer_it_is_cold():
    assert read((b'x-cold-ms', b'1500')).cold_left_s == 1.5
    assert read((b'x-cold-ms', b'soon')) is None
    assert read().cold_left_s is None
