"""Which connection gives way, by a clock that the test sets."""

import gc
import weakref

import pytest

from redwingvalve.http1 import connection_limit

MAX_CONNECTIONS = 3


class Connection(connection_limit.Closable):
    def __init__(self, limit):
        self.limit = limit
        self.is_aborted = False
        limit.opened(self)

    def abort(self):
        self.is_aborted = True
        self.limit.closed(self)


@pytest.fixture
def now_s():
    return [0.0]


@pytest.fixture
def limit(now_s):
    return connection_limit.ConnectionLimit(MAX_CONNECTIONS, lambda: now_s[0])


def test_a_new_connection_takes_the_place_of_the_longest_unused(limit, now_s):
    """Guards against callers that connect, send nothing and stay."""
    first, second, _ = (Connection(limit) for _ in range(MAX_CONNECTIONS))
    limit.request_started(first)
    now_s[0] = 2 * connection_limit.MIN_FREE_S
    newest = Connection(limit)
    assert second.is_aborted
    assert not newest.is_aborted and not first.is_aborted
    assert limit.count == MAX_CONNECTIONS


def test_recent_connections_are_not_closed_for_another_one(limit):
    """Their requests may still be on their way."""
    before = [Connection(limit) for _ in range(MAX_CONNECTIONS)]
    assert Connection(limit).is_aborted
    assert not any(one.is_aborted for one in before)


def test_a_connection_that_was_just_answered_is_not_the_longest_unused(
    limit, now_s
):
    """Guards against answers to unfinished requests that keep a place."""
    answered, unused, _ = (Connection(limit) for _ in range(MAX_CONNECTIONS))
    now_s[0] = 2 * connection_limit.MIN_FREE_S
    limit.request_ended(answered)
    assert not Connection(limit).is_aborted
    assert unused.is_aborted and not answered.is_aborted


def test_connections_with_requests_are_not_closed(limit, now_s):
    before = [Connection(limit) for _ in range(MAX_CONNECTIONS)]
    for one in before:
        limit.request_started(one)
    now_s[0] = 10
    assert Connection(limit).is_aborted
    limit.request_ended(before[1])
    now_s[0] = 20
    assert not Connection(limit).is_aborted
    assert [one.is_aborted for one in before] == [False, True, False]


def test_connections_without_a_limit_are_not_kept():
    """Those of loops that had ended kept their descriptors for good."""
    unlimited = connection_limit.ConnectionLimit()
    connection = Connection(unlimited)
    unlimited.request_started(connection)
    unlimited.request_ended(connection)
    kept = weakref.ref(connection)
    del connection
    gc.collect()
    assert kept() is None
