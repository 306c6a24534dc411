"""News does not grow younger while it waits on its way."""

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
    """One process with its own clock; clocks have nothing in common."""

    def __init__(self, name, start_s):
        self.clock = clock.ManualClock(start_s)
        me = members.Member(name, 1, 'entry', name, 1, 2, 'a', 'r1')
        self.news = gossip_bus.make_gossip_news(_Known(me), self.clock)
        self.exchanges = exchanges.Exchanges(
            table.make_member_table(me, start_s), [self.news]
        )

    def now_s(self):
        return self.clock.monotonic_s()

    def receive(self, message, asked_s=None):
        copied = packing.unpack(
            messages.peer.Exchange(), packing.pack(message)
        ).ok
        self.exchanges.receive(copied, None, self.now_s(), asked_s)
        return copied

    def ages(self):
        return [item.age_s for item in self.news.read(EVIDENCE)]


def _pass(duration_s, *processes):
    for process in processes:
        process.clock.advance(duration_s)


@pytest.mark.parametrize('waits_s', [0.01, 2.0, 2.5])
def test_an_answer_read_late_is_as_old_as_it_is(waits_s):
    """An entry is paused just after it asked; the answer waits in its socket.

    It wakes up and reads that a VM was seen a tenth of a second ago. The VM may
    have died meanwhile: the sighting counts from when it was made.
    """
    asker, asked = _Process('a', 100.0), _Process('b', 7.0)
    asked.news.publish(EVIDENCE, 'k', b'seen')
    _pass(0.1, asker, asked)
    asked_s = asker.now_s()
    heard = asked.receive(asker.exchanges.make_request('b', 'r1', asked_s))
    answer = asked.exchanges.make_reply(heard, asked.now_s())
    _pass(waits_s, asker, asked)
    asker.receive(answer, asked_s)
    assert all(age_s > 0.1 + waits_s - ROUNDING_S for age_s in asker.ages())
    assert bool(asker.ages()) == (waits_s < 2.4)


@pytest.mark.parametrize('waits_s', [0.01, 2.0])
def test_a_supplement_read_late_is_as_old_as_it_is(waits_s):
    """The entry that was asked is paused; the supplement waits in its socket.

    It knows from its own clock, given back to it, when it answered.
    """
    asker, asked = _Process('a', 100.0), _Process('b', 7.0)
    asker.news.publish(EVIDENCE, 'k', b'seen')
    _pass(0.1, asker, asked)
    asked_s = asker.now_s()
    heard = asked.receive(asker.exchanges.make_request('b', 'r1', asked_s))
    answer = asked.exchanges.make_reply(heard, asked.now_s())
    supplement = asker.exchanges.make_follow_up(asker.receive(answer, asked_s))
    _pass(waits_s, asker, asked)
    asked.receive(supplement)
    assert len(asked.ages()) == 1
    assert asked.ages()[0] > 0.1 + waits_s - ROUNDING_S


@pytest.mark.parametrize('clock_ms', [None, 10**12, 0])
def test_a_supplement_that_shows_no_age_brings_no_news(clock_ms):
    """A supplement for an earlier process of this address arrives.

    How old it is cannot be told; the news comes with the next exchange.
    """
    asker, asked = _Process('a', 100.0), _Process('b', 700.0)
    asker.news.publish(EVIDENCE, 'k', b'seen')
    heard = asked.receive(asker.exchanges.make_request('b', 'r1', 100.0))
    answer = asked.exchanges.make_reply(heard, asked.now_s())
    supplement = asker.exchanges.make_follow_up(asker.receive(answer, 100.0))
    supplement.clock_ms = clock_ms
    asked.receive(supplement)
    assert not asked.ages()
    supplement.clock_ms = answer.clock_ms
    asked.receive(supplement)
    assert len(asked.ages()) == 1
