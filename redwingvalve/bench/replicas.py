"""Group downtime and stranded accelerators, for both users and baselines.

Seeded, in virtual time, with the real controllers over fakes of the platform.
Each scenario is run for every strategy; the prices are those of the example
declarations.
"""

import pathlib
import random
import time
import types
from collections import abc as collections_abc

import attrs

from redwingvalve.bench import replicas_fleet
from redwingvalve.core import invariants
from redwingvalve.declaration import reader, schema
from redwingvalve.platform_api import engine_orders
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import draft, placement, view

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
USERS = ('lonestar', 'tapiceria')
FIGURES = schema.FailureFigures()
REPAIR_S = FIGURES.vm_repair_time_s
RACK_REPAIR_S = FIGURES.rack_repair_time_s
DARK_S = FIGURES.domain_repair_time_s
RACK_VMS = FIGURES.rack_vms
DAY_S = 86400.0
LONGEST_CHANGE_S = 14400.0
WARM_UP_S = 20.0
OUTAGES_PER_VM_DAY = (
    FIGURES.vm_failures_per_vm_day + FIGURES.vm_restarts_per_vm_day
)
DOMAIN_VMS = 64

Fleet = replicas_fleet.BenchFleet
Strategy = replicas_fleet.Strategy
STRATEGIES = (
    Strategy('redwingvalve'),
    Strategy('no spares', spares_per_domain=0),
    Strategy('one spare a domain', spares_per_domain=1),
    Strategy('one spare a replica', spares_per_domain=10),
    Strategy('rebuild in place', spares_per_domain=0, heal_from_spares=False),
)


@attrs.frozen
class Row:
    """One scenario under one strategy; extra_* are beyond a quiet fleet."""

    user: str
    scenario: str
    strategy: str
    spares: int
    downtime_s: float
    stranded_s: float
    price: float
    whole_again_s: float
    decided_after_s: float


Scenario = collections_abc.Callable[
    [Fleet, random.Random], collections_abc.Awaitable[float]
]


async def one_vm_lost(fleet: Fleet, chance: random.Random) -> float:
    """Lose one VM of a replica; it is back after the repair time."""
    used = [
        name for domain in fleet.domains() for name in sorted(domain.used_vms())
    ]
    return await _lose(fleet, [chance.choice(used)], REPAIR_S)


async def rack_lost(fleet: Fleet, chance: random.Random) -> float:
    """Lose VMs with consecutive names in one domain."""
    domain = chance.choice(fleet.domains())
    names = [vm.name for vm in domain.vms]
    first = chance.randrange(len(names) - RACK_VMS)
    return await _lose(fleet, names[first : first + RACK_VMS], RACK_REPAIR_S)


async def domain_dark(fleet: Fleet, chance: random.Random) -> float:
    """Cut a whole domain off; its engines come back as they were."""
    domain = chance.choice(fleet.domains())
    engines = [fleet.fleet.engine(vm.name) for vm in domain.vms]
    fleet.lose()
    for engine in engines:
        engine.alive = False
    # Until what can be formed elsewhere serves there.
    passed_s = await fleet.settle(DARK_S - WARM_UP_S)
    fleet.jump(DARK_S - WARM_UP_S - passed_s)
    await fleet.run(WARM_UP_S)
    for engine in engines:
        engine.alive = True
    return DARK_S + await fleet.settle(REPAIR_S)


async def day_of_failures(fleet: Fleet, chance: random.Random) -> float:
    """Fail and restart VMs for 24 hours at the letter's rate a VM."""
    names = [engine.vm.name for engine in fleet.fleet.engines.values()]
    rate = OUTAGES_PER_VM_DAY * len(names) / DAY_S
    began_s = fleet.clock.monotonic_s()
    next_s = chance.expovariate(rate)
    while next_s < DAY_S:
        passed_s = fleet.clock.monotonic_s() - began_s
        if next_s - passed_s > 2 * WARM_UP_S:
            fleet.jump(next_s - passed_s - WARM_UP_S)
            await fleet.run(WARM_UP_S)
        await _lose(fleet, [chance.choice(names)], REPAIR_S)
        next_s += chance.expovariate(rate)
    fleet.jump(max(DAY_S - (fleet.clock.monotonic_s() - began_s), 0.0))
    return fleet.clock.monotonic_s() - began_s


async def rolling_change(fleet: Fleet, chance: random.Random) -> float:
    """Declare another version and wait until all replicas serve it."""
    await fleet.declare(attrs.evolve(fleet.deployment, version='next'))
    fleet.step_s = replicas_fleet.COARSE_STEP_S
    return await fleet.settle(LONGEST_CHANGE_S)


SCENARIOS = types.MappingProxyType(
    {
        'one VM lost': one_vm_lost,
        'rack lost': rack_lost,
        'domain dark': domain_dark,
        '24 h of failures': day_of_failures,
        'rolling change': rolling_change,
    }
)
SCENARIO_NAMES = tuple(SCENARIOS)


async def _lose(fleet: Fleet, names: list[str], repair_s: float) -> float:
    """Lose VMs that come back empty after repair_s; settle both times."""
    began_s = fleet.clock.monotonic_s()
    fleet.lose()
    for name in names:
        fleet.fleet.engine(name).alive = False
    whole_s = await fleet.settle(repair_s)
    whole = not fleet.changing()
    passed_s = fleet.clock.monotonic_s() - began_s
    if passed_s < repair_s - WARM_UP_S:
        fleet.jump(repair_s - WARM_UP_S - passed_s)
        await fleet.run(WARM_UP_S)
    for name in names:
        fleet.fleet.engine(name).restart()
    if whole:
        return whole_s
    return repair_s + await fleet.settle(repair_s)


async def run_rows(
    users: collections_abc.Iterable[str] = USERS,
    scenarios: collections_abc.Iterable[str] = SCENARIO_NAMES,
    seed: int = 1,
    strategies: collections_abc.Iterable[Strategy] = STRATEGIES,
) -> collections_abc.AsyncIterator[Row]:
    """Run scenarios for users under each strategy."""
    for user in users:
        deployment = read_deployment(user)
        for name in scenarios:
            for strategy in strategies:
                yield await _run_row(user, deployment, name, strategy, seed)


async def _run_row(
    user: str,
    deployment: schema.ModelDeployment,
    scenario: str,
    strategy: Strategy,
    seed: int,
) -> Row:
    fleet = replicas_fleet.BenchFleet(deployment, strategy, seed)
    await fleet.begin()
    whole_again_s = await SCENARIOS[scenario](fleet, random.Random(seed))
    return Row(
        user=user,
        scenario=scenario,
        strategy=strategy.name,
        spares=fleet.spares,
        downtime_s=fleet.totals.downtime_s,
        stranded_s=fleet.totals.stranded_s,
        price=fleet.totals.price(deployment.prices),
        whole_again_s=whole_again_s,
        decided_after_s=fleet.decided_after_s or 0.0,
    )


def read_deployment(user: str) -> schema.ModelDeployment:
    """Return the model deployment of an example declaration."""
    declared = reader.read_file(str(EXAMPLES / f'{user}.yaml'))
    return declared.ok.content.deployments[0]


@attrs.frozen
class WriteRate:
    """Calls to the store in a quiet minute of virtual time."""

    domains: int
    replicas: int
    writes_per_minute: float
    reads_per_minute: float


async def measure_writes(domains: int) -> WriteRate:
    """Count the store's calls over ten quiet minutes."""
    deployment = attrs.evolve(
        read_deployment('lonestar'), replicas=10 * domains
    )
    fleet = replicas_fleet.BenchFleet(
        deployment, Strategy('quiet', 2), 1, domains
    )
    await fleet.begin()
    # Renewals are counted, so every domain is stepped as often as in truth.
    fleet.quiet_steps = 1
    before = attrs.evolve(fleet.store.calls)
    await fleet.run(DAY_S / 144)
    minutes = DAY_S / 144 / replicas_fleet.SECONDS_PER_MINUTE
    return WriteRate(
        domains,
        deployment.replicas,
        (fleet.store.calls.writes - before.writes) / minutes,
        (fleet.store.calls.reads - before.reads) / minutes,
    )


def measure_decision_s(domains: int, repeats: int = 20) -> float:
    """Return the mean time to decide for so many domains of 64 VMs.

    Each domain has 15 replicas and four spares, and has just lost one VM.
    """
    looked_at = [_view_with_loss(index) for index in range(domains)]
    switches = invariants.SafeguardSwitches()
    policy = draft.PlacementPolicy()
    began_s = time.perf_counter()
    for _ in range(repeats):
        for each in looked_at:
            placement.next_domain(each, switches, policy)
    return (time.perf_counter() - began_s) / repeats


def _view_with_loss(index: int) -> view.DomainView:
    deployment = attrs.evolve(read_deployment('lonestar'), replicas=15)
    vms = tuple(
        domain_module.DomainVm(f'vm-{number}', 'h:1')
        for number in range(DOMAIN_VMS)
    )
    replicas = tuple(
        domain_module.DomainReplica(
            name=f'r-{number}',
            deployment=deployment.name,
            epoch=number + 1,
            state=domain_module.ReplicaState.SERVING,
            members=tuple(vm.name for vm in vms[4 * number : 4 * number + 4]),
            model=deployment.model,
            version=deployment.version,
            adapters=deployment.adapters,
        )
        for number in range(15)
    )
    domain = domain_module.FabricDomain(
        f'd{index}', 'hall', next_epoch=16, vms=vms, replicas=replicas
    )
    views = {
        vm.name: view.VmView(
            vm.name, reachable=True, state=_state(vm.name, replicas)
        )
        for vm in vms
    }
    views['vm-1'] = view.VmView('vm-1', reachable=False)
    return view.DomainView(
        domain, views, (view.DesiredShare(deployment, 15, 12),)
    )


def _state(
    vm: str, replicas: tuple[domain_module.DomainReplica, ...]
) -> engine_orders.EngineState:
    for replica in replicas:
        if vm in replica.members:
            return engine_orders.EngineState(
                vm=vm,
                incarnation='1',
                ready=True,
                replica=replica.name,
                epoch=replica.epoch,
                model=replica.model,
                version=replica.version,
                role=view.role_of(replica, vm),
                members=replica.members,
                adapters=replica.adapters,
            )
    return engine_orders.EngineState(vm, '1', ready=True)
