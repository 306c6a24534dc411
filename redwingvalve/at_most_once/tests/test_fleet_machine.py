"""A fleet of voters under faults in any order."""

import itertools
import random

import anyio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from redwingvalve.at_most_once import (
    claims,
)
from redwingvalve.at_most_once.tests import fleet as fleets

# Small pages apply in this module too.
small_pages = fleets.small_pages


class FleetMachine(stateful.RuleBasedStateMachine):
    """Callers repeat the same few keys at all entries."""

    def __init__(self):
        super().__init__()
        self.fleet = fleets.Fleet()
        self.grants = []
        self.new_key_numbers = itertools.count()

    @stateful.initialize(resend_s=st.sampled_from((600, fleets.RETENTION_S)))
    def declare(self, resend_s):
        self.fleet = fleets.Fleet(resend_s=resend_s)

    def pick(self, number):
        names = self.fleet.running_names()
        return names[number % len(names)]

    @stateful.rule(number=st.integers(0, 9), key=st.sampled_from(fleets.KEYS))
    def send(self, number, key):
        self.fleet.send(self.pick(number), key)

    @stateful.rule(number=st.integers(0, 9), key=st.sampled_from(fleets.KEYS))
    def claim_and_pause(self, number, key):
        name = self.pick(number)
        asked = self.fleet.ask(name, key)
        if asked.is_ok():
            self.grants.append((name, asked.ok))

    @stateful.rule()
    def wake_up(self):
        for name, grant in self.grants:
            if name in self.fleet.running_names():
                self.fleet.run(name, grant)
        self.grants.clear()

    @stateful.rule(
        number=st.integers(0, 9), restart=st.booleans(), store=st.booleans()
    )
    def crash(self, number, restart, store):
        if len(self.fleet.running_names()) < 2:
            return
        name = self.pick(number)
        self.fleet.crash(name)
        self.grants = [held for held in self.grants if held[0] != name]
        if restart:
            self.fleet.start(name, store)

    def pick_several(self, seed):
        """Return some running voters, mostly a majority, but not all."""
        names = self.fleet.running_names()
        rng = random.Random(seed)
        most = len(names) - 1
        return rng.sample(names, min(most, rng.choice((2, 3, 3, 4))))

    @stateful.rule(seed=st.integers(0, 999))
    def crash_together(self, seed):
        crashed = self.pick_several(seed)
        self.fleet.crash_together(crashed)
        self.grants = [held for held in self.grants if held[0] not in crashed]

    @stateful.rule(seed=st.integers(0, 999))
    def pause_together(self, seed):
        self.fleet.paused.update(self.pick_several(seed))

    @stateful.rule()
    def resume(self):
        self.fleet.paused.clear()

    @stateful.rule(number=st.integers(0, 9))
    def new_keys_run_after_all_were_up_for_resend_s(self, number):
        self.restore_all()
        self.fleet.advance(self.fleet.resend_s + fleets.READY_S)
        assert self.fleet.send(self.pick(number), self.new_key()) == 'ran'

    @stateful.rule(seed=st.integers(0, 999))
    def two_simultaneous_crashes_block_nothing(self, seed):
        self.restore_all()
        self.fleet.advance(self.fleet.resend_s + fleets.READY_S)
        crashed = random.Random(seed).sample(self.fleet.running_names(), 2)
        self.fleet.crash_together(crashed)
        self.grants = [held for held in self.grants if held[0] not in crashed]
        self.fleet.settle(fleets.READY_S)
        for name in self.fleet.running_names():
            assert self.fleet.send(name, self.new_key()) == 'ran'

    def restore_all(self):
        self.fleet.paused.clear()
        self.heal()
        for name in self.fleet.incarnations.keys() - self.fleet.entries.keys():
            self.fleet.start(name)

    def new_key(self):
        return f'fresh-{next(self.new_key_numbers)}'

    @stateful.rule(store=st.booleans())
    def replace(self, store):
        if len(self.fleet.incarnations) < 9:
            self.fleet.start(f'n{len(self.fleet.incarnations)}', store)

    @stateful.rule(seed=st.integers(0, 999))
    def partition(self, seed):
        rng = random.Random(seed)
        for name in self.fleet.side:
            self.fleet.side[name] = rng.choice((0, 0, 1))

    @stateful.rule()
    def heal(self):
        self.fleet.side = dict.fromkeys(self.fleet.side, 0)

    @stateful.rule()
    def settle(self):
        self.fleet.settle()

    @stateful.rule(number=st.integers(0, 9))
    def one_syncs(self, number):
        self.fleet.clock.advance(0.5)
        anyio.run(self.fleet.entries[self.pick(number)].sync_once)

    @stateful.rule(duration_s=st.sampled_from((10, 1000, 4000)))
    def advance(self, duration_s):
        self.fleet.advance(duration_s)

    @stateful.invariant()
    def no_key_runs_twice_while_it_is_remembered(self):
        min_interval_s = self.fleet.resend_s - claims.GRANT_VALIDITY_S
        for times in self.fleet.runs.values():
            for earlier, later in itertools.pairwise(times):
                assert later - earlier > min_interval_s


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
test_no_key_runs_twice = FleetMachine.TestCase
