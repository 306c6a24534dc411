"""Nodes, and endpoints that end after answers broke, in virtual time."""

import enum
import heapq
import itertools
import random
import types

import attrs

from redwingvalve.ingress import (
    crash_blame,
    crash_keys,
    crash_probes,
    poison,
)
from redwingvalve.node import crash_reports, status_messages

STEP_S = 0.1
PROBE_S = 0.005
ENTRY_LAPSE_S = 3.6
RETURN_S = 3.0
KNOWN_EVERYWHERE_S = 3.0
SOUND_S = 0.1
NODES = 4
ENDPOINTS = 60
BAD, FIRST, OTHER = map(crash_keys.part_key, ('bad', 'first', 'other'))


class Suspect(enum.Enum):
    """What comes again; the value is the number of crashes that tell of it."""

    REQUEST = 3
    PART = 5


@attrs.define(eq=False)
class Endpoint:
    endpoint_id: str
    born_ms: int
    ended_s: float | None = None
    # It breaks off what it answers, and lives on.
    breaks_off: bool = False

    @property
    def incarnation(self):
        return self.endpoint_id, self.born_ms


class Fleet:
    """Nodes that send sound requests, and one kind of crashing ones."""

    def __init__(self, monkeypatch, draw_delay_s, suspect, runs_s, seed=0):
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.draw_delay_s = draw_delay_s
        self.suspect = suspect
        # From the start of a crashing run to the break of its answer.
        self.runs_s = runs_s
        self.is_open_end = False
        self.arrivals_s = []
        self.crashes_s = []
        # Whether sound requests were sent at once, and when.
        self.sound = []
        self._events = []
        self._numbers = itertools.count(1)
        virtual_time = types.SimpleNamespace(monotonic=lambda: self.now_s)
        monkeypatch.setattr(crash_reports, 'time', virtual_time)
        self.endpoints = {
            one.incarnation: one
            for one in (
                Endpoint(f'e{number}', 1) for number in range(ENDPOINTS)
            )
        }
        self.nodes = [Node(self) for _ in range(NODES)]

    def at(self, delay_s, action, *arguments):
        event = (self.now_s + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def send_bad(self, gap_s, sends=2):
        node = self.rng.choice(self.nodes)
        fingerprint, parts = 7, ()
        if self.suspect is Suspect.PART:
            fingerprint = 1_000 + next(self._numbers)
            parts = (FIRST, BAD, OTHER)
        node.send_bad(fingerprint, parts, sends)
        self.at(gap_s * self.rng.uniform(0.7, 1.3), self.send_bad, gap_s)

    def send_sound(self, gap_s):
        self.rng.choice(self.nodes).send_sound()
        self.at(gap_s, self.send_sound, gap_s)

    def draw_endpoint(self):
        live = [one for one in self.endpoints.values() if one.ended_s is None]
        return self.rng.choice(live)

    def end(self, endpoint):
        if endpoint.ended_s is not None:
            return
        endpoint.ended_s = self.now_s
        self.crashes_s.append(self.now_s)
        self.at(RETURN_S, self.bring_back, endpoint)

    def bring_back(self, endpoint):
        again = Endpoint(endpoint.endpoint_id, endpoint.born_ms + 1)
        self.endpoints[again.incarnation] = again

    def listed(self):
        return {
            one.incarnation
            for one in self.endpoints.values()
            if one.ended_s is None or one.ended_s + ENTRY_LAPSE_S > self.now_s
        }

    @property
    def known_s(self):
        """Return from when on sends are late."""
        return self.crashes_s[self.suspect.value - 1] + KNOWN_EVERYWHERE_S

    def late_arrivals(self):
        return sum(at_s > self.known_s for at_s in self.arrivals_s)

    def served_share(self, since_s):
        sent = [is_sent for at_s, is_sent in self.sound if at_s >= since_s]
        return sum(sent) / len(sent)


@attrs.define(eq=False)
class Node:
    fleet: Fleet
    tracker: poison.PoisonRequestTracker = attrs.field(init=False)
    reports: crash_reports.CrashReports = attrs.field(init=False)
    # When each endpoint may be asked again, and the interval that follows.
    _probes: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        fleet = self.fleet
        self.tracker = poison.PoisonRequestTracker(lambda: fleet.now_s)
        self.reports = crash_reports.CrashReports(
            self.tracker, lambda: None, lambda: True
        )
        fleet.at(fleet.rng.uniform(0, STEP_S), self.step)

    def step(self):
        fleet = self.fleet
        self.tracker.resolve_broken_runs(fleet.listed())
        message = status_messages.StatusMessage(vm='node')
        self.reports.next_evidence(None).add_to(message)
        for other in fleet.nodes:
            if other is not self:
                delay_s = fleet.rng.uniform(0.001, 0.05)
                fleet.at(delay_s, other.reports.receive, message)
        for incarnation in self.tracker.undecided():
            self.ask(incarnation)
        fleet.at(STEP_S, self.step)

    def ask(self, incarnation):
        """Probe an endpoint as CrashChecker does, if it is due."""
        now_s = self.fleet.now_s
        first = (0, crash_probes.MIN_INTERVAL_S)
        next_s, interval_s = self._probes.get(incarnation, first)
        if incarnation not in self.fleet.listed() or now_s < next_s:
            return
        if crash_probes.is_due(self.tracker, incarnation, now_s):
            longer_s = min(2 * interval_s, crash_probes.MAX_INTERVAL_S)
            self._probes[incarnation] = (now_s + interval_s, longer_s)
            self.fleet.at(PROBE_S, self.asked, incarnation, now_s)

    def asked(self, incarnation, sent_s):
        if self.fleet.endpoints[incarnation].ended_s is None:
            self._probes.pop(incarnation, None)
            self.tracker.record_life_sign(incarnation, sent_s)
        else:
            self.tracker.record_silence(incarnation)

    def may_send(self, fingerprint, parts):
        verdict = self.tracker.verdict(fingerprint, *parts)
        return verdict is crash_blame.Verdict.SERVE

    def send_bad(self, fingerprint, parts, sends):
        if not sends or not self.may_send(fingerprint, parts):
            return
        fleet = self.fleet
        endpoint = fleet.draw_endpoint()
        fleet.arrivals_s.append(fleet.now_s)
        keys = crash_keys.RequestKeys(fingerprint, parts)
        fleet.at(
            fleet.runs_s, self.break_bad, endpoint, keys, fleet.now_s, sends
        )

    def break_bad(self, endpoint, keys, sent_s, sends):
        fleet = self.fleet
        if fleet.is_open_end and endpoint.ended_s is None:
            self.tracker.record_open_end(keys, endpoint.incarnation, sent_s)
        else:
            self.break_off(endpoint, keys, sent_s)
            self.send_bad(keys.fingerprint, keys.parts, sends - 1)
        fleet.at(fleet.draw_delay_s(fleet.rng), fleet.end, endpoint)

    def break_off(self, endpoint, keys, sent_s):
        self.tracker.record_broken_run(
            keys.fingerprint, endpoint.incarnation, keys.parts, sent_s
        )

    def send_sound(self):
        fleet = self.fleet
        keys = crash_keys.RequestKeys(
            1_000 + next(fleet._numbers), (FIRST, OTHER)
        )
        is_sent = self.may_send(keys.fingerprint, keys.parts)
        fleet.sound.append((fleet.now_s, is_sent))
        if is_sent:
            endpoint = fleet.draw_endpoint()
            fleet.at(SOUND_S, self.end_sound, endpoint, keys, fleet.now_s)

    def end_sound(self, endpoint, keys, sent_s):
        if endpoint.ended_s is not None or endpoint.breaks_off:
            self.break_off(endpoint, keys, sent_s)
            return
        self.tracker.record_life_sign(endpoint.incarnation, sent_s)
        if self.fleet.is_open_end:
            self.tracker.record_open_end(keys, endpoint.incarnation, sent_s)
        else:
            self.tracker.record_answer(keys.fingerprint, keys.parts, sent_s)
