"""Member tables that exchange in virtual time over a faulty network."""

import random

import attrs

from redwingvalve.membership import (
    bounds,
    exchanges,
    gossip_targets,
    member_status,
    members,
    table,
)
from redwingvalve.wire import messages, packing

State = members.MemberState
STEP_S = 0.35


def make_member(name, incarnation=1, region='r1'):
    return members.Member(name, incarnation, 'entry', name, 1, 2, 'a', region)


@attrs.define
class Process:
    """One simulated process: its exchanges and its peer rotation."""

    exchanges: exchanges.Exchanges
    rotation: gossip_targets.Rotation
    contact: str | None = None
    reconnect_at_s: float = 0.0
    paused_until_s: float = 0.0

    @property
    def table(self):
        return self.exchanges.members


class Network:
    """Delivers packed exchanges; links can be cut in one direction."""

    def __init__(
        self, seed=0, member_bounds=bounds.DEFAULT_BOUNDS, switches=None
    ):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.processes = {}
        self.cut = set()
        self.loss = 0.0
        self.bounds = member_bounds
        self.switches = switches
        self.late = []
        self.deaths = set()

    def start(self, name, incarnation=1, region='r1', contact=None):
        member = make_member(name, incarnation, region)
        started = Process(
            exchanges.Exchanges(
                table.make_member_table(
                    member, self.now_s, self.bounds, self.switches
                )
            ),
            gossip_targets.Rotation(self.rng),
            contact,
            self.now_s + self.bounds.reconnect_interval_s,
        )
        self.processes[name] = started
        if contact is not None:
            self.run_exchange(name, contact)
        started.table.own.mark_joined()

    def step(self, count=1):
        """Run one round of each process that isn't paused."""
        for _ in range(count):
            self.now_s += STEP_S
            for name, process in tuple(self.processes.items()):
                if process.paused_until_s > self.now_s:
                    continue
                process.table.tick(self.now_s)
                self._round(name, process)
                self._reconnect(name, process)
            self._record_deaths()

    def run_exchange(self, requester, replier):
        """Run one exchange; return False if no reply arrived."""
        first, second = (
            self.processes.get(requester),
            self.processes.get(replier),
        )
        request = first.exchanges.make_request(
            replier, self._region(second), self.now_s
        )
        if second is None or not self._is_delivered(requester, replier):
            return False
        reply = self._deliver(second, request)
        if not self._is_delivered(replier, requester):
            return False
        first.exchanges.receive(self._copy(reply), None, self.now_s)
        follow_up = first.exchanges.make_follow_up(reply)
        if follow_up is not None and self._is_delivered(requester, replier):
            self._deliver(second, follow_up)
        return True

    def deliver_late(self, count):
        """Deliver copies of earlier messages in random order."""
        self.rng.shuffle(self.late)
        for receiver, packed in self.late[:count]:
            if receiver in self.processes:
                received = packing.unpack(messages.peer.Exchange(), packed).ok
                self._deliver(
                    self.processes[receiver], received, record_copy=False
                )

    def states(self, name):
        return {
            other: process.table.statuses.get(name).state
            for other, process in self.processes.items()
            if process.table.statuses.get(name) is not None
        }

    def _round(self, name, process):
        statuses, me = (
            process.table.statuses.all(),
            process.table.own.member(),
        )
        chosen = [process.rotation.next(gossip_targets.regional(statuses, me))]
        if self.rng.random() < 0.2:
            chosen.append(gossip_targets.pick_remote(statuses, me, self.rng))
            chosen.append(gossip_targets.pick_dead(statuses, self.rng))
        for member in chosen:
            if member is None or self.run_exchange(name, member.name):
                continue
            if not self._reached_by_others(name, member.name):
                refused = member.name not in self.processes
                process.table.suspect(member.name, self.now_s, refused=refused)

    def _reconnect(self, name, process):
        """Ask the contact while it is unknown, like GossipMembers."""
        if process.contact is None or process.reconnect_at_s > self.now_s:
            return
        process.reconnect_at_s = self.now_s + self.bounds.reconnect_interval_s
        if process.table.statuses.get(process.contact) is None:
            self.run_exchange(name, process.contact)

    def _reached_by_others(self, requester, target):
        others = sorted(set(self.processes) - {requester, target})
        for other in self.rng.sample(others, min(2, len(others))):
            received = self._is_delivered(
                requester, other
            ) and self._is_delivered(other, requester)
            if (
                received
                and target in self.processes
                and self.run_exchange(other, target)
            ):
                return True
        return False

    def _deliver(self, receiver, message, record_copy=True):
        received = self._copy(message)
        name = receiver.table.own.member().name
        if record_copy:
            self.late = [*self.late[-40:], (name, packing.pack(message))]
        receiver.exchanges.receive(received, None, self.now_s)
        return self._copy(receiver.exchanges.make_reply(received, self.now_s))

    def _is_delivered(self, sender, receiver):
        if (sender, receiver) in self.cut:
            return False
        for name in (sender, receiver):
            process = self.processes.get(name)
            if process is None or process.paused_until_s > self.now_s:
                return False
        return self.rng.random() >= self.loss

    def _record_deaths(self):
        for process in self.processes.values():
            for status in process.table.statuses.all().values():
                if status.state is State.DEAD:
                    self.deaths.add((status.name, status.member.incarnation))

    def _copy(self, message):
        packed = packing.pack(message)
        return packing.unpack(messages.peer.Exchange(), packed).ok

    def _region(self, process):
        return process.table.own.member().region if process else ''


def make_status(member):
    return member_status.MemberStatus(member, 0)
