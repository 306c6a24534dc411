"""Nodes that exchange evidence over lossy links, in virtual time."""

import functools
import heapq
import itertools
import random
import types

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from redwingvalve.ingress import (
    crash_blame,
    crash_keys,
    poison,
)
from redwingvalve.node import crash_reports, status_messages
from redwingvalve.node.tests import crashing_parts, crashing_requests

STEP_S = 0.1
CRASH_DELAY_S = 0.05
PROBE_S = 0.01
ENDPOINTS = 60
PARTS = tuple(map(crash_keys.part_key, ('bad', 'first', 'other')))
BAD, FIRST, OTHER = PARTS


class Network:
    """Nodes, endpoints and the messages between them."""

    def __init__(self, monkeypatch, nodes, seed, loss, entry_lapse_s):
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.entry_lapse_s = entry_lapse_s
        self.gone_s = {}
        self.arrivals = {}
        self._events = []
        self._numbers = itertools.count()
        virtual_time = types.SimpleNamespace(monotonic=lambda: self.now_s)
        monkeypatch.setattr(crash_reports, 'time', virtual_time)
        self.nodes = []
        self.nodes += [Node(self, number) for number in range(nodes)]

    def at(self, delay_s, action, *arguments):
        due_s = self.now_s + delay_s
        event = (due_s, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = end_s

    def send_anywhere(self, fingerprint, crashes):
        """Send a request that crashes its endpoint, or whose answer is lost."""
        self.rng.choice(self.nodes).send(fingerprint, crashes)

    def live_endpoints(self):
        return [one for one in range(ENDPOINTS) if one not in self.gone_s]

    def listed(self):
        """Return the endpoints with an entry in the store."""
        return {
            (str(number), 1)
            for number in range(ENDPOINTS)
            if self.gone_s.get(number, self.now_s) + self.entry_lapse_s
            > self.now_s
        }

    def recorded_runs(self):
        """Return what the store holds of requests that aren't served."""
        for node in self.nodes:
            for suspect in node.tracker.not_served():
                yield from node.tracker.blame.decisive_runs(suspect)

    def send_part(self, *parts, crashes):
        """Send a request that is like no other, with some parts."""
        fingerprint = 1_000 + next(self._numbers)
        node = self.rng.choice(self.nodes)
        node.send(fingerprint, crashes, parts=parts)

    def late_arrivals(self, key, crashes=crashing_requests.CRASHES):
        """Return the arrivals when all nodes in touch have to know."""
        ended_s = sorted(self.arrivals.get(key, ()))
        if len(ended_s) < crashes:
            return 0
        decisive_s = ended_s[crashes - 1] + CRASH_DELAY_S
        known_s = decisive_s + crashing_requests.KNOWN_EVERYWHERE_S
        return sum(at_s > known_s for at_s in ended_s)


@attrs.define(eq=False)
class Node:
    network: Network
    number: int
    tracker: poison.PoisonRequestTracker = attrs.field(init=False)
    reports: crash_reports.CrashReports = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.restart()
        self.network.at(self.network.rng.uniform(0, STEP_S), self.step)

    def restart(self):
        network = self.network
        recorded = list(network.recorded_runs())
        self.tracker = poison.PoisonRequestTracker(lambda: network.now_s)
        self.reports = crash_reports.CrashReports(
            self.tracker, lambda: None, lambda: True
        )
        for run in recorded:
            self.tracker.add_recorded_run(run)

    def step(self):
        """Send a status message and look at the entries, as nodes do."""
        network = self.network
        self.tracker.resolve_broken_runs(network.listed())
        message = status_messages.StatusMessage(vm=str(self.number))
        self.reports.next_evidence(None).add_to(message)
        for other in network.nodes:
            if other is not self and network.rng.random() >= network.loss:
                delay_s = network.rng.uniform(0.001, 0.05)
                network.at(delay_s, other.receive, message)
        network.at(STEP_S, self.step)
        for incarnation in self.tracker.evidence.undecided():
            if int(incarnation[0]) not in network.gone_s:
                network.at(PROBE_S, self.answered, incarnation, network.now_s)

    def receive(self, message):
        self.reports.receive(message)

    def answered(self, incarnation, sent_s):
        if int(incarnation[0]) not in self.network.gone_s:
            self.tracker.record_life_sign(incarnation, sent_s)

    def send(self, fingerprint, crashes, sends=2, parts=()):
        network = self.network
        if self.tracker.verdict(fingerprint, *parts) is not (
            crash_blame.Verdict.SERVE
        ):
            return
        endpoint = network.rng.choice(network.live_endpoints())
        for key in (fingerprint, *parts):
            network.arrivals.setdefault(key, []).append(network.now_s)
        network.at(
            CRASH_DELAY_S,
            self.end,
            fingerprint,
            endpoint,
            crashes,
            sends,
            parts,
        )

    def end(self, fingerprint, endpoint, crashes, sends, parts):
        if crashes:
            self.network.gone_s.setdefault(endpoint, self.network.now_s)
        self.tracker.record_broken_run(
            fingerprint,
            (str(endpoint), 1),
            parts,
            self.network.now_s - CRASH_DELAY_S,
        )
        if sends > 1:
            self.send(fingerprint, crashes, sends - 1, parts)

    def ask_sound(self, parts):
        """Send a sound request; return whether it is sent at once."""
        network = self.network
        fingerprint = 1_000 + next(network._numbers)
        if self.tracker.verdict(fingerprint, *parts) is not (
            crash_blame.Verdict.SERVE
        ):
            return False
        network.at(
            network.rng.uniform(0.02, 0.6),
            self.tracker.record_answer,
            fingerprint,
            parts,
            network.now_s,
        )
        return True


def networks(draw, monkeypatch):
    return Network(
        monkeypatch,
        nodes=draw(st.integers(1, 8)),
        seed=draw(st.integers(0, 2**32)),
        loss=draw(st.sampled_from([0.0, 0.1, 0.4])),
        entry_lapse_s=draw(st.floats(0.1, 9)),
    )


TIMES = st.lists(st.floats(0, 12), min_size=1, max_size=25)


@hypothesis.given(data=st.data())
@hypothesis.settings(max_examples=80)
def test_crashing_requests_are_refused_at_any_moment(data):
    """Two at once, in any waves, with lost messages and nodes that restart."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        network = networks(data.draw, monkeypatch)
        for fingerprint in (7, 8):
            for at_s in data.draw(TIMES):
                network.at(at_s, network.send_anywhere, fingerprint, True)
        for at_s in data.draw(st.lists(st.floats(0, 12), max_size=2)):
            network.at(at_s, network.rng.choice(network.nodes).restart)
        network.run(16)
        for fingerprint in (7, 8):
            late = network.late_arrivals(fingerprint)
            assert late <= crashing_requests.MAX_LATE_ARRIVALS


@hypothesis.given(data=st.data())
@hypothesis.settings(max_examples=80)
def test_sound_request_is_served_a_second_after_its_last_lost_answer(data):
    """Beside a crashing one, whose endpoints it shares or not."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        network = networks(data.draw, monkeypatch)
        for at_s in data.draw(TIMES):
            network.at(at_s, network.send_anywhere, 7, True)
        lost_s = data.draw(TIMES)
        for at_s in lost_s:
            network.at(at_s, network.send_anywhere, 9, False)
        network.run(max(lost_s) + 1)
        verdicts = {node.tracker.verdict(9) for node in network.nodes}
        assert verdicts == {crash_blame.Verdict.SERVE}


@hypothesis.given(data=st.data())
@hypothesis.settings(max_examples=80)
def test_crashing_parts_are_refused_at_any_moment(data):
    """Beside a crashing request, with lost messages and restarting nodes."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        network = networks(data.draw, monkeypatch)
        for at_s in data.draw(TIMES):
            network.at(at_s, functools.partial(send_bad_part, network))
        for at_s in data.draw(TIMES):
            network.at(at_s, network.send_anywhere, 8, True)
        sound = data.draw(st.booleans())
        asked = []
        for number in range(160 if sound else 0):
            network.at(number * 0.1, ask_sound, network, asked)
        for at_s in data.draw(st.lists(st.floats(0, 12), max_size=2)):
            network.at(at_s, network.rng.choice(network.nodes).restart)
        network.run(17)
        late = network.late_arrivals(BAD, crashing_parts.CRASHES)
        assert late <= crashing_parts.MAX_LATE_ARRIVALS
        assert network.late_arrivals(8) <= crashing_requests.MAX_LATE_ARRIVALS
        assert not asked or sum(asked) >= 0.9 * len(asked)


def send_bad_part(network):
    network.send_part(FIRST, BAD, OTHER, crashes=True)


def ask_sound(network, asked):
    node = network.rng.choice(network.nodes)
    asked.append(node.ask_sound((FIRST, OTHER)))


# What a datagram holds in one packet, without the fields of an idle node.
EVIDENCE_BYTES = 1_250


@pytest.mark.parametrize('count', [1, 4, poison.MAX_PARTS_PER_RUN])
def test_evidence_of_countless_parts_fits_into_one_packet(count):
    """Each request has parts of its own, which all break off and return."""
    tracker = poison.PoisonRequestTracker()
    reports = crash_reports.CrashReports(tracker, lambda: None, lambda: True)
    for number in range(2_000):
        parts = [crash_keys.part_key(f'{number}-{one}') for one in range(count)]
        tracker.record_answer(number, parts, 0.0)
        incarnation = (f'i-{number:010x}', 1_764_800_000_000)
        tracker.record_broken_run(number + 10_000, incarnation, parts)
        tracker.record_end(incarnation)
    for part in parts:
        reports.suspect_cleared(part)
    message = status_messages.StatusMessage(vm='')
    reports.next_evidence(None).add_to(message)
    assert message.broken_runs
    assert len(status_messages.pack(message)) <= EVIDENCE_BYTES
