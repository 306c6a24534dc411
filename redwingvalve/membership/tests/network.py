"""Tables that exchange in virtual time over a network with faults."""

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
    """One process: its table and whom it meets next."""

    exchanges: exchanges.Exchanges
    rotation: gossip_targets.Rotation
    paused_until_s: float = 0.0

    @property
    def table(self):
        return self.exchanges.members


class Network:
    """Carries packed exchanges; links may be cut in one direction."""

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
        )
        self.processes[name] = started
        if contact is not None:
            self.meet(name, contact)
        started.table.local.mark_joined()

    def step(self, count=1):
        """Let each process that runs do one round."""
        for _ in range(count):
            self.now_s += STEP_S
            for name, process in tuple(self.processes.items()):
                if process.paused_until_s > self.now_s:
                    continue
                process.table.tick(self.now_s)
                self._round(name, process)
            self._note_deaths()

    def meet(self, asker, asked):
        """Carry an exchange; False when no answer came back."""
        first, second = self.processes.get(asker), self.processes.get(asked)
        question = first.exchanges.make_request(
            asked, self._region(second), self.now_s
        )
        if second is None or not self._carries(asker, asked):
            return False
        answer = self._deliver(second, question)
        if not self._carries(asked, asker):
            return False
        first.exchanges.receive(self._copy(answer), None, self.now_s)
        supplement = first.exchanges.make_follow_up(answer)
        if supplement is not None and self._carries(asker, asked):
            self._deliver(second, supplement)
        return True

    def deliver_late(self, count):
        """Deliver copies of earlier messages again, in any order."""
        self.rng.shuffle(self.late)
        for receiver, packed in self.late[:count]:
            if receiver in self.processes:
                received = packing.unpack(messages.peer.Exchange(), packed).ok
                self._deliver(self.processes[receiver], received, keep=False)

    def states(self, name):
        return {
            other: process.table.statuses.get(name).state
            for other, process in self.processes.items()
            if process.table.statuses.get(name) is not None
        }

    def _round(self, name, process):
        statuses, me = (
            process.table.statuses.all(),
            process.table.local.member(),
        )
        chosen = [process.rotation.next(gossip_targets.regional(statuses, me))]
        if self.rng.random() < 0.2:
            chosen.append(gossip_targets.pick_remote(statuses, me, self.rng))
            chosen.append(gossip_targets.pick_dead(statuses, self.rng))
        for member in chosen:
            if member is None or self.meet(name, member.name):
                continue
            if not self._reached_by_others(name, member.name):
                refused = member.name not in self.processes
                process.table.suspect(member.name, self.now_s, refused=refused)

    def _reached_by_others(self, asker, wanted):
        others = sorted(set(self.processes) - {asker, wanted})
        for other in self.rng.sample(others, min(2, len(others))):
            received = self._carries(asker, other) and self._carries(
                other, asker
            )
            if (
                received
                and wanted in self.processes
                and self.meet(other, wanted)
            ):
                return True
        return False

    def _deliver(self, receiver, message, keep=True):
        received = self._copy(message)
        name = receiver.table.local.member().name
        if keep:
            self.late = [*self.late[-40:], (name, packing.pack(message))]
        receiver.exchanges.receive(received, None, self.now_s)
        return self._copy(receiver.exchanges.make_reply(received, self.now_s))

    def _carries(self, sender, receiver):
        if (sender, receiver) in self.cut:
            return False
        for name in (sender, receiver):
            process = self.processes.get(name)
            if process is None or process.paused_until_s > self.now_s:
                return False
        return self.rng.random() >= self.loss

    def _note_deaths(self):
        for process in self.processes.values():
            for status in process.table.statuses.all().values():
                if status.state is State.DEAD:
                    self.deaths.add((status.name, status.member.incarnation))

    def _copy(self, message):
        packed = packing.pack(message)
        return packing.unpack(messages.peer.Exchange(), packed).ok

    def _region(self, process):
        return process.table.local.member().region if process else ''


def from_records(member):
    return member_status.MemberStatus(member, 0)
