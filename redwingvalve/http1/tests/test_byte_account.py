"""Room for requests and answers, by a clock that the test sets."""

import attrs
import pytest

from redwingvalve.http1 import byte_account

CAPACITY_BYTES = 100 * byte_account.SHORT_BYTES
LONG = byte_account.Part.LONG_REQUESTS
LONG_BYTES = int(LONG.value * CAPACITY_BYTES)
HALF_BYTES = LONG_BYTES // 2


@attrs.define
class Clock:
    now_s: float = 0.0

    def __call__(self):
        return self.now_s


class Holder(byte_account.Holder):
    """A request that has received so much and can be evicted."""

    def __init__(self, account, received_bytes=0):
        self.received_bytes = received_bytes
        self.is_evicted = False
        self.hold = account.open(LONG, self)

    def moved_bytes(self):
        return self.received_bytes

    def evict(self):
        self.is_evicted = True


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def account(clock):
    return byte_account.ByteAccount(CAPACITY_BYTES, clock)


def test_what_does_not_fit_is_refused(account):
    first, second, third = (account.open(LONG) for _ in range(3))
    assert first.grow_to(HALF_BYTES) and second.grow_to(HALF_BYTES)
    assert not third.grow_to(HALF_BYTES)
    first.release()
    assert third.grow_to(HALF_BYTES)
    assert account.held_bytes(LONG) == 2 * HALF_BYTES


def test_long_requests_leave_room_for_short_ones(account):
    """Guards against ordinary callers that a crowd of long bodies keeps out."""
    crowd = [account.open(LONG) for _ in range(1000)]
    taken = [hold for hold in crowd if hold.grow_to(HALF_BYTES)]
    assert len(taken) == 2
    assert account.open(LONG).grow_to(byte_account.SHORT_BYTES)


def test_a_single_request_always_fits(account):
    """Guards against a small process that refuses the longest body."""
    assert account.open(LONG).grow_to(3 * LONG_BYTES)
    assert not account.open(LONG).grow_to(HALF_BYTES)


def test_the_slowest_request_gives_way(account, clock):
    """Guards against bodies that stop just short of their ends."""
    stopped, arriving = Holder(account), Holder(account)
    for holder in (stopped, arriving):
        assert holder.hold.grow_to(HALF_BYTES)
    clock.now_s = 2 * byte_account.SLOW_AFTER_S
    stopped.received_bytes = byte_account.MIN_BYTES_PER_S
    arriving.received_bytes = HALF_BYTES
    assert account.open(LONG).grow_to(HALF_BYTES)
    assert stopped.is_evicted and not arriving.is_evicted
    assert not account.open(LONG).grow_to(HALF_BYTES)
    assert not arriving.is_evicted


def test_a_new_request_does_not_give_way(account):
    """Its first bytes may still be on their way."""
    holders = [Holder(account) for _ in range(2)]
    assert all(holder.hold.grow_to(HALF_BYTES) for holder in holders)
    assert not account.open(LONG).grow_to(HALF_BYTES)
    assert not any(holder.is_evicted for holder in holders)


def test_a_whole_request_does_not_give_way(account, clock):
    """It may already run."""
    holder = Holder(account)
    assert holder.hold.grow_to(LONG_BYTES)
    holder.hold.settle()
    clock.now_s = 10
    assert not account.open(LONG).grow_to(HALF_BYTES)
    assert not holder.is_evicted


def test_a_body_that_grows_moves_to_the_long_ones(account):
    hold = account.open(LONG)
    assert hold.grow_to(byte_account.SHORT_BYTES)
    assert account.held_bytes(byte_account.Part.SHORT)
    assert hold.grow_to(HALF_BYTES)
    assert not account.held_bytes(byte_account.Part.SHORT)
    hold.release()
    assert not account.held_bytes(LONG)


def test_what_is_there_already_counts_in_any_case(account):
    hold = account.open(LONG)
    hold.hold(3 * LONG_BYTES)
    hold.hold(HALF_BYTES)
    assert account.held_bytes(LONG) == HALF_BYTES


def test_a_slow_request_is_not_dropped_for_itself(account, clock):
    """Its room was counted once more, for good."""
    holder = Holder(account)
    assert holder.hold.grow_to(HALF_BYTES)
    assert account.open(LONG).grow_to(HALF_BYTES)
    clock.now_s = 10
    assert not holder.hold.grow_to(2 * HALF_BYTES)
    assert not holder.is_evicted
    holder.hold.release()
    assert account.held_bytes(LONG) == HALF_BYTES
