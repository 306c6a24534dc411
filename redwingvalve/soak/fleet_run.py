"""The fleet of one soak run, from its start to the comparison of records."""

import contextlib
import random
from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.soak import (
    breaches,
    callers,
    checker,
    daemon_settings,
    daemons,
    fault_context,
    observer,
    operators,
    platform,
    records,
    schedule,
    workload,
)

CALLERS = 10
READY_TIMEOUT_S = 60.0
POLL_S = 0.2
TARGET = workload.Target(
    operators.DEPLOYMENT, operators.PREFIX, operators.NON_IDEMPOTENT
)

Faults = tuple[schedule.Fault, ...]
MakeDaemons = collections_abc.Callable[..., daemons.Daemons]
# Returns the YAML text for a spec, service addresses and a load time.
Declare = collections_abc.Callable[
    [operators.DeclarationSpec, tuple[str, ...], float], str
]


@attrs.frozen
class Options:
    """Options of a run; excluded_faults are not scheduled.

    start_proxy puts a proxy before an endpoint and returns its address.
    """

    seed: int
    duration_s: float
    callers: int = CALLERS
    excluded_faults: frozenset[schedule.FaultName] = schedule.NO_FAULTS
    disabled: tuple[str, ...] = ()
    only: frozenset[schedule.FaultName] = schedule.NO_FAULTS
    size: platform.Size = attrs.field(factory=platform.Size)
    spans_folder: str = ''
    start_proxy: platform.StartProxy | None = None
    declare: Declare = operators.make_declaration
    replicas: int = 4
    credential: str = operators.CREDENTIAL


@attrs.frozen
class Outcome:
    """The result of a run."""

    options: Options
    schedule: tuple[schedule.Fault, ...]
    breaches: tuple[breaches.Breach, ...]
    journal: breaches.Journal
    records: tuple[records.Record, ...]
    generations: tuple[observer.Generation, ...]
    stop_times_s: tuple[float, ...]
    capacity_samples: tuple[tuple[float, int, int], ...]
    runs: int


class FleetRun:
    """The components of a run in progress."""

    def __init__(
        self,
        options: Options,
        small: platform.Platform,
        fleet: daemons.Daemons,
    ) -> None:
        """Store the components without starting them."""
        self.options = options
        self.platform = small
        self.daemons = fleet
        self.journal = breaches.Journal()
        self.observer = observer.Observer(small, fleet, self.journal)
        self.bearer = ''

    def operator(self) -> operators.Operator:
        """Return an operator client of a running controller."""
        api = self.daemons.role(daemons.CONTROL)[0].address
        return operators.Operator(api, self.bearer)

    def make_fault_context(
        self, poisoner: callers.Caller
    ) -> fault_context.FaultContext:
        """Return the context that faults act on."""
        return fault_context.FaultContext(
            self.platform, self.daemons, self.journal, self.bearer, poisoner
        )

    async def start(self) -> None:
        """Start the daemons, confirm a declaration, wait for readiness."""
        self.bearer = await operators.issue_token(self.platform.store.store)
        for daemon in daemon_settings.make_daemons(
            self.platform,
            self.options.seed,
            self.options.disabled,
            self.options.spans_folder,
            own_hosts=self.daemons.can_cut,
        ):
            self.daemons.by_name[daemon.name] = daemon
            await self.daemons.start(daemon)
        spec = operators.DeclarationSpec(1, replicas=self.options.replicas)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self.operator().reachable():
                await anyio.sleep(POLL_S)
            await self.declare(spec)
            await self._wait_serving(spec)

    async def declare(self, spec: operators.DeclarationSpec) -> None:
        """Plan and confirm at any controller until a confirmation succeeds."""
        text = self.options.declare(
            spec,
            self.platform.service_addresses,
            self.platform.size.load_time_s,
        )
        while True:
            name, why = await self.operator().plan(text)
            if name:
                done = await self.operator().confirm(spec, name)
                why = done.message
                if done.status == operators.OK_STATUS:
                    return
            self.journal.note(
                f'declaration {spec.number} not confirmed yet: {why}'
            )
            await anyio.sleep(POLL_S)

    async def _wait_serving(self, spec: operators.DeclarationSpec) -> None:
        while len(self.platform.serving_heads()) < spec.replicas:
            await anyio.sleep(POLL_S)
        asking = self.make_caller('first', 0)
        for daemon in self.daemons.role(daemons.ENTRY):
            while not await asking.probe(daemon.address):
                await anyio.sleep(POLL_S)
        self.journal.note('fleet is ready')

    def compare(
        self,
        planned: Faults,
        acting: fault_context.FaultContext,
        calling: collections_abc.Iterable[callers.Caller],
    ) -> Outcome:
        """Compare the data of callers, endpoints and the observer."""
        runs = self.platform.runs()
        seen = [record for caller in calling for record in caller.records]
        evidence = checker.Evidence(
            seen,
            runs,
            tuple(acting.leaving),
            frozenset(self.observer.versions),
        )
        found = (
            *self.observer.found,
            *checker.compare(evidence, checker.Bounds()),
            *checker.double_wins(acting.races),
            *self.daemons.breaches,
        )
        return Outcome(
            options=self.options,
            schedule=planned,
            breaches=tuple(sorted(found, key=lambda breach: breach.at_s)),
            journal=self.journal,
            records=tuple(seen),
            generations=tuple(self.observer.generations),
            stop_times_s=tuple(acting.stop_times_s),
            capacity_samples=tuple(self.observer.capacity_samples),
            runs=len(runs),
        )

    def make_caller(
        self, name: str, index: int, credential: str = ''
    ) -> callers.Caller:
        """Return a caller whose random choices derive from the seed.

        Every second one keeps its connection to an entry until that is gone.
        """
        settings = callers.CallerSettings(
            credential or self.options.credential,
            TARGET,
            tuple(
                daemon.address
                for daemon in self.daemons.by_name.values()
                if daemon.role == daemons.ENTRY
            ),
            self.daemons.disturbed,
            clings=bool(index % 2),
        )
        rng = random.Random(self.options.seed * 1000 + index)
        return callers.Caller(name, settings, rng)


@contextlib.asynccontextmanager
async def open_run(
    options: Options, make_daemons: MakeDaemons
) -> collections_abc.AsyncIterator[FleetRun]:
    """Yield a ready fleet; make_daemons is called with a task group."""
    async with (
        platform.run_platform(options.size, options.start_proxy) as small,
        anyio.create_task_group() as group,
    ):
        run = FleetRun(options, small, make_daemons(group))
        await run.start()
        async with anyio.create_task_group() as watching:
            watching.start_soon(run.observer.run)
            yield run
            watching.cancel_scope.cancel()
        await run.daemons.shut_down_all()
        group.cancel_scope.cancel()
