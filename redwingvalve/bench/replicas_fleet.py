"""A fleet of today's size in virtual time, under the real controllers.

Reading of the brief: 60 replicas of 4 VMs with one accelerator each (the
letter's size), in six fabric domains, two in each of three data centres; the
3 application replicas are plain services. "About 45 engines" does not fit
replicas that span VMs and is left aside.
"""

import random

import attrs

from redwingvalve.control import inputs, moves
from redwingvalve.core import clock
from redwingvalve.declaration import schema
from redwingvalve.plans import objects
from redwingvalve.platform_api import vm_list
from redwingvalve.replicas import (
    codec,
    controller,
    draft,
    entry_reports,
    shares,
    spares,
)
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import fake_fleet, memory_store

DOMAINS = 6
STEP_S = 0.5
# Where no loss has to be timed, and in quiet domains, controllers step less
# often, but still before they would take the gap for a pause of their own.
COARSE_STEP_S = 1.5
QUIET_STEPS = 3
BEGIN_LOAD_S = 5.0
# A change that waits for VMs for so long waits for ever here.
WAITING_S = 120.0
NOTICED_S = 15.0
LOADS_PER_S = 0.5
LOAD_BURST = 6
SECONDS_PER_MINUTE = 60.0


@attrs.frozen
class Strategy:
    """How a fleet is run; spares None means as advised by the prices.

    Without heal_from_spares a replica waits for its own VMs and nothing moves.
    """

    name: str
    spares_per_domain: int | None = None
    heal_from_spares: bool = True


@attrs.define
class Totals:
    """Seconds of downtime by replica and of stranding by accelerator."""

    downtime_s: float = 0.0
    stranded_s: float = 0.0

    def price(self, prices: schema.Prices) -> float:
        """Return the operator's price of both."""
        downtime_minutes = self.downtime_s / SECONDS_PER_MINUTE
        stranded_minutes = self.stranded_s / SECONDS_PER_MINUTE
        return (
            downtime_minutes * prices.downtime_per_replica_minute
            + stranded_minutes * prices.stranded_per_accelerator_minute
        )


class EntriesSee(entry_reports.NoEntryReports):
    """Entries probe the serving replicas, as they do beside controllers."""

    def __init__(self, fleet: fake_fleet.FakeFleet) -> None:
        """See what is alive."""
        self._fleet = fleet

    def confirms_ready(
        self, vm: str, replica: domain_module.DomainReplica, now_s: float
    ) -> bool:
        """Tell whether the VM is ready in this epoch."""
        engine = self._fleet.engine(vm)
        return engine.alive and engine.state.epoch == replica.epoch


class BenchFleet:
    """All domains with one controller each."""

    def __init__(
        self,
        deployment: schema.ModelDeployment,
        strategy: Strategy,
        seed: int,
        domains: int = DOMAINS,
    ) -> None:
        """Lay out the VMs; nothing is formed yet."""
        # The bench lays out halls of its own.
        self.deployment = attrs.evolve(deployment, data_centres=())
        self.clock = clock.ManualClock(1000.0)
        self.store = memory_store.make_memory_object_api()
        self.totals = Totals()
        self.per_domain = deployment.replicas // domains
        self.names = tuple(f'd{index}' for index in range(domains))
        self.decided_after_s: float | None = None
        self._lost_s = 0.0
        self._steps = 0
        self._read_at_write = 0
        self.step_s = STEP_S
        self.quiet_steps = QUIET_STEPS
        self.fleet = fake_fleet.FakeFleet(
            self._vms(strategy), self.clock, deployment.load_time_s
        )
        self.weights = fake_fleet.FakeWeightStore(
            self.clock, LOADS_PER_S, LOAD_BURST
        )
        self.controllers = self._controllers(strategy, seed)
        self._chance = random.Random(seed)
        self._movers = {
            name: moves.make_move_reconciler(
                self.store, self.fleet, self.clock, self._chance
            )
            for name in self.names
            if strategy.heal_from_spares
        }
        self._reader = inputs.InputReader(self.store, self.fleet, self.clock)
        self._read: dict[str, tuple[str, domain_module.FabricDomain]] = {}

    def _vms(self, strategy: Strategy) -> tuple[vm_list.Vm, ...]:
        needs = (spares.DeploymentDemand(self.deployment, self.per_domain),)
        kept = (strategy.spares_per_domain or 0,) * len(self.names)
        if strategy.spares_per_domain is None:
            domains = (needs,) * len(self.names)
            kept = spares.advise_pool(domains, schema.FailureFigures()).spares
        self.spares = sum(kept)
        return tuple(
            vm_list.Vm(
                f'{name}-vm-{index:03}',
                f'{name}-{index}:80',
                f'hall-{place // 2}',
                name,
            )
            for place, name in enumerate(self.names)
            for index in range(needs[0].vms() + kept[place])
        )

    def _controllers(
        self, strategy: Strategy, seed: int
    ) -> dict[str, controller.DomainController]:
        tools = controller.Dependencies(
            objects=self.store,
            orders=fake_fleet.FakeEngineOrders(self.fleet),
            weights=self.weights,
            clock=self.clock,
            entries=EntriesSee(self.fleet),
            rng=random.Random(seed),
            policy=draft.PlacementPolicy(
                heal_from_spares=strategy.heal_from_spares
            ),
        )
        return {
            name: controller.make_domain_controller(
                name, f'bench-{name}', tools
            )
            for name in self.names
        }

    async def begin(self) -> None:
        """Form all replicas; the time until then is not counted."""
        for name in self.names:
            empty = domain_module.FabricDomain(name, 'hall')
            await self.store.create(
                domain_module.KIND, name, domain_module.to_body(empty)
            )
        agreed = shares.Allocation(
            1,
            tuple(
                shares.Share(
                    place,
                    self.deployment.name,
                    self.per_domain,
                    self.deployment.floor_replicas // len(self.names),
                )
                for place in self.names
            ),
        )
        await self.store.create(shares.KIND, shares.NAME, codec.to_body(agreed))
        await self.declare(self.deployment)
        self.step_s = COARSE_STEP_S
        self.fleet.load_time_s = BEGIN_LOAD_S
        while self.serving() < self.per_domain * len(self.names):
            await self.step()
        self.fleet.load_time_s = self.deployment.load_time_s
        self.step_s = STEP_S
        self.totals = Totals()
        self.lose()

    async def declare(self, deployment: schema.ModelDeployment) -> None:
        """Put a deployment in force, as an applied plan would."""
        self.deployment = deployment
        body = objects.declared_body(1, deployment)
        name = deployment.name
        found = await self.store.get(objects.DEPLOYMENTS, name)
        if found.is_ok():
            changed = attrs.evolve(found.ok, body=body)
            await self.store.update(changed)
            return
        await self.store.create(objects.DEPLOYMENTS, name, body)

    def lose(self) -> None:
        """Time the next decision from now on."""
        self.decided_after_s = None
        self._lost_s = self.clock.monotonic_s()

    async def step(self) -> None:
        """Step every domain and count the time until the next step."""
        await self._reader.refresh()
        self._steps += 1
        for domain in self.domains():
            coarse = self.step_s > STEP_S or self._steps % self.quiet_steps == 0
            if coarse or not _is_quiet(self.fleet, domain, self.per_domain):
                await self._step_domain(domain.name)
        if self.decided_after_s is None and self.moving():
            self.decided_after_s = self.clock.monotonic_s() - self._lost_s
        self._count(self.step_s)
        self.clock.advance(self.step_s)

    async def _step_domain(self, name: str) -> None:
        each = self.controllers[name]
        mover = self._movers.get(name)
        without_room = frozenset((self.deployment.name,))
        if mover is not None:
            without_room = mover.without_room
        await each.step(self._reader.inputs_for(name, without_room))
        place = each.domain_state()
        deployments, agreed = self._reader.desired_state()
        if mover is not None and place is not None and agreed is not None:
            await mover.step(place, deployments, agreed)

    def moves(self) -> tuple[shares.Move, ...]:
        """Return the open moves of replicas."""
        stored = self.store.list_now(shares.KIND).objects[0]
        return codec.from_body(stored.body, shares.Allocation).moves

    async def run(self, duration_s: float) -> None:
        """Step for a time."""
        for _ in range(int(duration_s / self.step_s)):
            await self.step()

    async def settle(self, longest_s: float) -> float:
        """Step until all serves; return the time that it took."""
        began_s = self.clock.monotonic_s()
        moved_s = began_s
        while self.clock.monotonic_s() - began_s < longest_s:
            await self.step()
            now_s = self.clock.monotonic_s()
            if self.moving():
                moved_s = now_s
            if not self.changing() or now_s - moved_s > WAITING_S:
                break
            if now_s - began_s > NOTICED_S and self.stuck():
                break
        return self.clock.monotonic_s() - began_s

    def jump(self, duration_s: float) -> None:
        """Let time pass in which nothing changes."""
        self._count(duration_s)
        self.clock.advance(duration_s)

    def changing(self) -> bool:
        """Tell whether some domain is not as it should be yet."""
        wanted = self.per_domain * len(self.names)
        return (
            self.serving() != wanted
            or bool(self.moves())
            or not self._versions_are_current()
            or any(
                replica.state != domain_module.ReplicaState.SERVING
                for domain in self.domains()
                for replica in domain.replicas
            )
        )

    def _versions_are_current(self) -> bool:
        return all(
            replica.version == self.deployment.version
            for domain in self.domains()
            for replica in domain.replicas
        )

    def domains(self) -> tuple[domain_module.FabricDomain, ...]:
        """Return the domains as the store has them."""
        writes = self.store.calls.writes
        if writes != self._read_at_write:
            self._read_at_write = writes
            for stored in self.store.list_now(domain_module.KIND).objects:
                known = self._read.get(stored.name)
                if known is None or known[0] != stored.version:
                    domain = domain_module.from_stored(stored)
                    self._read[stored.name] = (stored.version, domain)
        return tuple(self._read[name][1] for name in self.names)

    def stuck(self) -> bool:
        """Tell whether what is broken can only wait for its VMs."""
        return not self.moving() and self._versions_are_current()

    def moving(self) -> bool:
        """Tell whether something is formed, drained or moved."""
        moving = {
            domain_module.ReplicaState.FORMING,
            domain_module.ReplicaState.DRAINING,
        }
        return bool(self.moves()) or any(
            replica.state in moving
            for domain in self.domains()
            for replica in domain.replicas
        )

    def serving(self) -> int:
        """Return the replicas that truly serve."""
        return len(self._serving_vms()) // self.deployment.vms_per_replica

    def _serving_vms(self) -> set[str]:
        found: set[str] = set()
        for domain in self.domains():
            for replica in domain.replicas:
                if _serves(self.fleet, replica):
                    found.update(replica.members)
        return found

    def _count(self, duration_s: float) -> None:
        serving_vms = len(self._serving_vms())
        wanted = self.per_domain * len(self.names)
        down = wanted - serving_vms // self.deployment.vms_per_replica
        stranded = len(self.fleet.engines) - serving_vms
        self.totals.downtime_s += max(down, 0) * duration_s
        self.totals.stranded_s += stranded * duration_s


def _serves(
    fleet: fake_fleet.FakeFleet, replica: domain_module.DomainReplica
) -> bool:
    engines = [fleet.engine(name) for name in replica.members]
    return replica.state == domain_module.ReplicaState.SERVING and all(
        engine.alive and engine.state.epoch == replica.epoch
        for engine in engines
    )


def _is_quiet(
    fleet: fake_fleet.FakeFleet,
    domain: domain_module.FabricDomain,
    replicas: int,
) -> bool:
    return (
        len(domain.replicas) >= replicas
        and all(fleet.engine(vm.name).alive for vm in domain.vms)
        and all(_serves(fleet, replica) for replica in domain.replicas)
    )
