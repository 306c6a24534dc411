"""One soak run: a fleet, callers, faults, and the comparison at the end."""

import random
import time
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.soak import (
    attack,
    breaches,
    callers,
    comparing,
    daemons,
    observing,
    operators,
    platform,
    records,
    schedule,
    targets,
    wiring,
    work,
)

CALLERS = 10
READY_TIMEOUT_S = 60.0
LAST_ANSWERS_S = callers.DEADLINE_S + callers.GRACE_S + 2.0
POLL_S = 0.2
PAUSES = frozenset(
    (schedule.FaultName.ENTRY_PAUSES, schedule.FaultName.CONTROL_PAUSES)
)
TARGET = work.Target(
    operators.DEPLOYMENT, operators.PREFIX, operators.NON_IDEMPOTENT
)

Faults = tuple[schedule.Fault, ...]
MakeDaemons = collections_abc.Callable[..., daemons.Daemons]


@attrs.frozen
class Options:
    """What a run is made of; left_out faults are not scheduled."""

    seed: int
    duration_s: float
    callers: int = CALLERS
    left_out: frozenset[schedule.FaultName] = schedule.NOTHING
    disabled: tuple[str, ...] = ()
    only: frozenset[schedule.FaultName] = schedule.NOTHING
    size: platform.Size = attrs.field(factory=platform.Size)
    spans_folder: str = ''


@attrs.frozen
class Outcome:
    """Everything that a run found."""

    options: Options
    schedule: tuple[schedule.Fault, ...]
    breaches: tuple[breaches.Breach, ...]
    journal: breaches.Journal
    records: tuple[records.Record, ...]
    generations: tuple[observing.Generation, ...]
    stop_times_s: tuple[float, ...]
    moments: tuple[tuple[float, int, int], ...]
    runs: int


def plan_faults(options: Options, *, can_pause: bool) -> Faults:
    """Return the schedule of a run."""
    left_out = set(options.left_out)
    if options.only:
        left_out |= set(schedule.FaultName) - set(options.only)
    if not can_pause:
        left_out |= PAUSES
    return schedule.make_schedule(
        options.seed, options.duration_s, frozenset(left_out)
    )


async def run_soak(options: Options, make_daemons: MakeDaemons) -> Outcome:
    """Run a fleet through its schedule; make_daemons gets a task group."""
    async with (
        platform.run_platform(options.size) as small,
        anyio.create_task_group() as group,
    ):
        fleet = make_daemons(group)
        run = _Run(options, small, fleet)
        await run.start()
        outcome = await run.be_attacked()
        await fleet.end_all()
        group.cancel_scope.cancel()
    return outcome


class _Run:
    """The parts of one run while it goes on."""

    def __init__(
        self,
        options: Options,
        small: platform.Platform,
        fleet: daemons.Daemons,
    ) -> None:
        self._options = options
        self._platform = small
        self._fleet = fleet
        self._journal = breaches.Journal()
        self._observer = observing.Observer(small, fleet, self._journal)
        self._bearer = ''
        self._breaches: list[breaches.Breach] = []

    async def start(self) -> None:
        """Start the daemons, declare, and wait until all serves."""
        self._bearer = await operators.issue_token(self._platform.store.store)
        for daemon in wiring.make_daemons(
            self._platform,
            self._options.seed,
            self._options.disabled,
            self._options.spans_folder,
        ):
            self._fleet.by_name[daemon.name] = daemon
            await self._fleet.start(daemon)
        wish = operators.Wish(1)
        api = self._fleet.role(daemons.CONTROL)[0].address
        operator = operators.Operator(api, self._bearer)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await operator.reachable():
                await anyio.sleep(POLL_S)
            await self._declare(operator, wish)
            await self._wait_serving(wish)

    async def _declare(
        self, operator: operators.Operator, wish: operators.Wish
    ) -> None:
        text = operators.declaration_of(
            wish,
            self._platform.service_addresses,
            self._platform.size.load_time_s,
        )
        while True:
            name, why = await operator.plan(text)
            if name:
                done = await operator.confirm(wish, name)
                why = done.message
                if done.status == operators.OK_STATUS:
                    return
            self._journal.note(f'the first plan waits: {why}')
            await anyio.sleep(POLL_S)

    async def _wait_serving(self, wish: operators.Wish) -> None:
        while len(self._platform.serving_heads()) < wish.replicas:
            await anyio.sleep(POLL_S)
        asking = self._make_caller('first', 0)
        for daemon in self._fleet.role(daemons.ENTRY):
            while not await asking.probe(daemon.address):
                await anyio.sleep(POLL_S)
        self._journal.note('the fleet serves')

    async def be_attacked(self) -> Outcome:
        """Let callers, faults and operators act; compare at the end."""
        planned = plan_faults(self._options, can_pause=self._fleet.can_pause)
        ends_at_s = time.monotonic() + self._options.duration_s
        calling = [
            self._make_caller(f'c{index}', index)
            for index in range(self._options.callers)
        ]
        poisoner = self._make_caller('poison', self._options.callers)
        acting = targets.Targets(
            self._platform,
            self._fleet,
            self._journal,
            self._bearer,
            poisoner,
        )
        async with anyio.create_task_group() as watching:
            watching.start_soon(self._observer.run)
            async with anyio.create_task_group() as group:
                for caller in calling:
                    group.start_soon(caller.run, ends_at_s)
                group.start_soon(attack.carry_out, acting, planned)
            watching.cancel_scope.cancel()
        self._journal.note('the last answers are in')
        return self._compare(planned, acting, [*calling, poisoner])

    def _compare(
        self,
        planned: tuple[schedule.Fault, ...],
        acting: targets.Targets,
        calling: list[callers.Caller],
    ) -> Outcome:
        runs = self._platform.runs()
        seen = [record for caller in calling for record in caller.records]
        evidence = comparing.Evidence(
            seen,
            runs,
            tuple(acting.leaving),
            frozenset(self._observer.versions),
        )
        found = (
            *self._observer.found,
            *comparing.compare(evidence, comparing.Bounds()),
            *comparing.double_wins(acting.races),
            *self._fleet.breaches,
        )
        return Outcome(
            options=self._options,
            schedule=planned,
            breaches=tuple(sorted(found, key=lambda breach: breach.at_s)),
            journal=self._journal,
            records=tuple(seen),
            generations=tuple(self._observer.generations),
            stop_times_s=tuple(acting.stop_times_s),
            moments=tuple(self._observer.moments),
            runs=len(runs),
        )

    def _make_caller(self, name: str, index: int) -> callers.Caller:
        settings = callers.CallerSettings(
            operators.CREDENTIAL,
            TARGET,
            tuple(
                daemon.address
                for daemon in self._fleet.by_name.values()
                if daemon.role == daemons.ENTRY
            ),
            self._fleet.disturbed,
        )
        chance = random.Random(self._options.seed * 1000 + index)
        return callers.Caller(name, settings, chance)
