"""Simulates client accounts, kinds and prompt sizes that compete for slots.

Callers differ in account, kind of request and size of the prompt. The results
say for each of these groups how many callers were served, in time or late.
"""

import collections
import functools

import anyio
import attrs

from redwingvalve.ingress import refusals, reservations, wait_queue
from redwingvalve.ingress.tests import load_simulation, simulated_node

MIN_PATIENCE_S = simulated_node.CALLER_PATIENCE_S
# Median and spread of the time to read a prompt: the largest tenth takes over
# 3.6 times the median.
PROMPT_READ_S = 0.02
PROMPT_SPREAD = 1.0


@attrs.frozen
class Kind:
    """A kind of request: its share of the load, its urgency and its goal."""

    name: str
    share: float
    urgency: int
    goal_s: float


@attrs.frozen
class Mix:
    """What callers ask for, and how often each account asks."""

    kinds: tuple[Kind, ...]
    # Share of the load by account in and outside of the burst.
    burst: dict[str, float]
    calm: dict[str, float]
    # Whether the configuration names several accounts.
    is_competing: bool = True
    # Priorities of accounts that take precedence over those of the kinds.
    priorities: dict[str, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Caller:
    """One caller and what became of its request."""

    account: str
    kind: Kind
    urgency: int
    prompt_read_s: float
    arrived_s: float
    size_rank: int = 0
    # 'on time', 'late' or 'lost'.
    outcome: str = ''
    refusals: int = 0


@attrs.frozen
class Tally:
    """Outcomes of a group of callers, as shares."""

    callers: int
    on_time: float
    late: float
    lost: float

    @property
    def served(self):
        """Return the share that was answered."""
        return self.on_time + self.late


def tally(callers):
    """Return the outcomes of callers."""
    outcomes = collections.Counter(caller.outcome for caller in callers)
    count = max(len(callers), 1)
    return Tally(
        len(callers),
        outcomes['on time'] / count,
        outcomes['late'] / count,
        outcomes['lost'] / count,
    )


def by_group(callers, group):
    """Return the tally of each group; group maps a caller to its name."""
    groups = {}
    for caller in callers:
        groups.setdefault(group(caller), []).append(caller)
    return {name: tally(found) for name, found in sorted(groups.items())}


class CompetingNode(simulated_node.Node):
    """A node whose requests have an account, a kind and a prompt size."""

    async def ask_for(self, caller, *, has_returned):
        """Handle one attempt; return the time to the retry if refused."""
        simulation = self._simulation
        route = load_simulation.make_route(caller.kind.goal_s)
        started_s = anyio.current_time()
        estimate_s = self.first_event_estimate.seconds + caller.prompt_read_s
        left_s = (
            caller.arrived_s + simulated_node.DEADLINE_S - anyio.current_time()
        )
        need = wait_queue.SlotRequest(
            urgency=caller.urgency,
            on_time_s=refusals.on_time_wait_s(route, estimate_s),
            wait_s=refusals.wait_s(route, left_s),
            has_returned=has_returned,
            **simulation.competing_fields(caller),
        )
        found = await self.reserver.reserve('s', 'model', need, (), ())
        if isinstance(found, reservations.NoSlot):
            simulation.held_s.append(anyio.current_time() - started_s)
            return refusals.with_jitter_s(found.retry_after_s, simulation.rng)
        sent_s = anyio.current_time()
        patience_s = max(MIN_PATIENCE_S, 4 * caller.kind.goal_s)
        with anyio.move_on_after(patience_s - (sent_s - started_s)) as scope:
            await simulation.heads[found.target.endpoint_id].serve(
                self,
                simulation.deployment.first_event_s + caller.prompt_read_s,
                simulation.sample_service_s() + caller.prompt_read_s,
                functools.partial(self._on_event, caller, sent_s, scope),
            )
        found.release(reservations.ReleaseState.FREE)
        if scope.cancelled_caught:
            caller.outcome = 'lost'
        return None

    def _on_event(self, caller, sent_s, scope):
        now_s = anyio.current_time()
        scope.deadline = float('inf')
        self.first_event_estimate.observe(now_s - sent_s - caller.prompt_read_s)
        is_on_time = now_s - caller.arrived_s <= caller.kind.goal_s
        caller.outcome = 'on time' if is_on_time else 'late'


class CompetingSimulation(load_simulation.Simulation):
    """A load of several accounts on a deployment."""

    mix = None
    burst = (2.0, 10.0)

    def __init__(self, *arguments, **more):
        """Start without callers."""
        super().__init__(*arguments, **more)
        self.callers = []
        self.held_s = []

    def make_node(self, name):
        """Return a node of the fleet."""
        return CompetingNode(name, self)

    def competing_fields(self, caller):
        """Return what a request says about who competes."""
        if not self.mix.is_competing:
            return {}
        return {
            'account': caller.account,
            'kind': caller.kind.name,
            'size_rank': caller.size_rank,
        }

    async def run(self):
        """Run the load and return the callers."""
        await super().run()
        return self.callers

    async def _caller(self):
        caller = self._make_caller()
        self.callers.append(caller)
        node = self.rng.choice(self.nodes)
        retry_after_s = await node.ask_for(caller, has_returned=False)
        if retry_after_s is None:
            return
        caller.refusals += 1
        left_s = simulated_node.DEADLINE_S - (
            anyio.current_time() - caller.arrived_s
        )
        share = load_simulation.MAX_RETRY_AFTER_SHARE
        await anyio.sleep(min(retry_after_s, left_s * share))
        node = self.rng.choice(self.nodes)
        if await node.ask_for(caller, has_returned=True) is not None:
            caller.refusals += 1
            caller.outcome = 'lost'

    def _make_caller(self):
        now_s = anyio.current_time()
        is_burst = self.burst[0] <= now_s < self.burst[1]
        shares = self.mix.burst if is_burst else self.mix.calm
        [account] = self.rng.choices(list(shares), list(shares.values()))
        [kind] = self.rng.choices(
            self.mix.kinds, [kind.share for kind in self.mix.kinds]
        )
        deviation = self.rng.gauss(0, 1)
        # The largest tenth, and the fifth below it.
        size_rank = (deviation > 0.5244) + (deviation > 1.2816)
        return Caller(
            account=account,
            kind=kind,
            urgency=self.mix.priorities.get(account, kind.urgency),
            prompt_read_s=PROMPT_READ_S * 2.718 ** (PROMPT_SPREAD * deviation),
            arrived_s=now_s,
            size_rank=size_rank,
        )


def simulate(deployment, mix, load, seconds=8.0, seed=1):
    """Run a burst between two calm phases; return its callers."""
    end_s = 2.0 + seconds
    phases = [
        load_simulation.LoadPhase(0.6, 0.0, 2.0),
        load_simulation.LoadPhase(load, 2.0, end_s),
        load_simulation.LoadPhase(0.6, end_s, end_s + 2.0),
    ]

    def make(*arguments):
        made = CompetingSimulation(*arguments)
        made.mix = mix
        made.burst = (2.0, end_s)
        return made

    return load_simulation.simulate(deployment, phases, seed, make)
