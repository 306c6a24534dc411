"""The delivery delay counts in the age of news items."""

import pytest

from redwingvalve.core import clock
from redwingvalve.membership import exchanges, members, table
from redwingvalve.news import bus, gossip_bus
from redwingvalve.wire import messages, packing

EVIDENCE = bus.Channel('evidence', bus.Scope.REGION, 2.5, 100)
ROUNDING_S = 1e-6


class _Known(members.Members):
    def __init__(self, me):
        self.me = me

    def local_member(self):
        return self.me

    def known(self):
        return (self.me,)

    def isolated(self):
        return False


class _Process:
    """One process with its own clock; the clocks are unrelated."""

    def __init__(self, name, start_s):
        self.clock = clock.ManualClock(start_s)
        me = members.Member(name, 1, 'entry', name, 1, 2, 'a', 'r1')
        self.news = gossip_bus.make_gossip_news(_Known(me), self.clock)
        self.exchanges = exchanges.Exchanges(
            table.make_member_table(me, start_s), [self.news]
        )

    def now_s(self):
        return self.clock.monotonic_s()

    def receive(self, message, sent_s=None):
        copied = packing.unpack(
            messages.peer.Exchange(), packing.pack(message)
        ).ok
        self.exchanges.receive(copied, None, self.now_s(), sent_s)
        return copied

    def ages(self):
        return [item.age_s for item in self.news.read(EVIDENCE)]


def _advance(duration_s, *processes):
    for process in processes:
        process.clock.advance(duration_s)


@pytest.mark.parametrize('waits_s', [0.01, 2.0, 2.5])
def test_the_age_of_a_reply_read_late_includes_the_wait(waits_s):
    """An entry pauses after its request; the reply waits in its socket.

    After the pause it reads that a VM was seen a tenth of a second ago. The VM
    may have died meanwhile, so the age has to include the wait.
    """
    requester, replier = _Process('a', 100.0), _Process('b', 7.0)
    replier.news.publish(EVIDENCE, 'k', b'seen')
    _advance(0.1, requester, replier)
    sent_s = requester.now_s()
    received = replier.receive(
        requester.exchanges.make_request('b', 'r1', sent_s)
    )
    reply = replier.exchanges.make_reply(received, replier.now_s())
    _advance(waits_s, requester, replier)
    requester.receive(reply, sent_s)
    assert all(age_s > 0.1 + waits_s - ROUNDING_S for age_s in requester.ages())
    assert bool(requester.ages()) == (waits_s < 2.4)


@pytest.mark.parametrize('waits_s', [0.01, 2.0])
def test_the_age_of_a_follow_up_read_late_includes_the_wait(waits_s):
    """The replier pauses; the follow-up waits in its socket.

    The follow-up returns the replier's own clock, from which it knows when it
    sent the reply.
    """
    requester, replier = _Process('a', 100.0), _Process('b', 7.0)
    requester.news.publish(EVIDENCE, 'k', b'seen')
    _advance(0.1, requester, replier)
    sent_s = requester.now_s()
    received = replier.receive(
        requester.exchanges.make_request('b', 'r1', sent_s)
    )
    reply = replier.exchanges.make_reply(received, replier.now_s())
    follow_up = requester.exchanges.make_follow_up(
        requester.receive(reply, sent_s)
    )
    _advance(waits_s, requester, replier)
    replier.receive(follow_up)
    assert len(replier.ages()) == 1
    assert replier.ages()[0] > 0.1 + waits_s - ROUNDING_S


@pytest.mark.parametrize('clock_ms', [None, 10**12, 0])
def test_a_follow_up_of_unknown_age_brings_no_news(clock_ms):
    """A follow-up for an earlier process at this address arrives.

    Its age is unknown, so its news is dropped until the next exchange.
    """
    requester, replier = _Process('a', 100.0), _Process('b', 700.0)
    requester.news.publish(EVIDENCE, 'k', b'seen')
    received = replier.receive(
        requester.exchanges.make_request('b', 'r1', 100.0)
    )
    reply = replier.exchanges.make_reply(received, replier.now_s())
    follow_up = requester.exchanges.make_follow_up(
        requester.receive(reply, 100.0)
    )
    follow_up.clock_ms = clock_ms
    replier.receive(follow_up)
    assert not replier.ages()
    follow_up.clock_ms = reply.clock_ms
    replier.receive(follow_up)
    assert len(replier.ages()) == 1
