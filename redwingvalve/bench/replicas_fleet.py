"""A fleet of today's size in virtual time, under the real controllers.

Reading of the brief: 60 replicas of 4 VMs with one accelerator each (the
letter's size), in six fabric domains, two in each of three data centres; the
3 application replicas are plain services. "About 45 engines" does not fit
replicas that span VMs and is left aside.
"""

import random

import attrs

from redwingvalve.core import clock
from redwingvalve.declaration import schema
from redwingvalve.platform_api import vm_list
from redwingvalve.replicas import controller, draft, spares, view, witness
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import memory_fleet, memory_store

DOMAINS = 6
STEP_S = 0.5
NOTICED_S = 15.0
LOADS_PER_S = 0.5
LOAD_BURST = 6
SECONDS_PER_MINUTE = 60.0


@attrs.frozen
class Strategy:
    """How a fleet is run; spares None means as advised by the prices."""

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


class EntriesSee(witness.BoundedWitness):
    """Entries probe the serving replicas, as they do beside controllers."""

    def __init__(self, fleet: memory_fleet.MemoryFleet) -> None:
        """See what is alive."""
        self._fleet = fleet

    def shows(
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
        self.deployment = deployment
        self.clock = clock.ManualClock(1000.0)
        self.store = memory_store.make_memory_object_api()
        self.totals = Totals()
        self.per_domain = deployment.replicas // domains
        self.names = tuple(f'd{index}' for index in range(domains))
        self.fleet = memory_fleet.MemoryFleet(
            self._vms(strategy), self.clock, deployment.load_time_s
        )
        self.weights = memory_fleet.MemoryWeights(
            self.clock, LOADS_PER_S, LOAD_BURST
        )
        self.controllers = self._controllers(strategy, seed)
        self._read: dict[str, tuple[str, domain_module.FabricDomain]] = {}

    def _vms(self, strategy: Strategy) -> tuple[vm_list.Vm, ...]:
        need = spares.Need(self.deployment, self.per_domain)
        kept = strategy.spares_per_domain
        if kept is None:
            kept = spares.advise((need,), spares.FailureRates()).spares
        self.spares_per_domain = kept
        return tuple(
            vm_list.Vm(
                f'{name}-vm-{index:03}',
                f'{name}-{index}:80',
                f'hall-{place // 2}',
                name,
            )
            for place, name in enumerate(self.names)
            for index in range(need.vms() + kept)
        )

    def _controllers(
        self, strategy: Strategy, seed: int
    ) -> tuple[controller.DomainController, ...]:
        tools = controller.Tools(
            objects=self.store,
            orders=memory_fleet.MemoryOrders(self.fleet),
            weights=self.weights,
            clock=self.clock,
            entries=EntriesSee(self.fleet),
            chance=random.Random(seed),
            policy=draft.Policy(heal_from_spares=strategy.heal_from_spares),
        )
        return tuple(
            controller.make_domain_controller(name, f'bench-{name}', tools)
            for name in self.names
        )

    async def begin(self) -> None:
        """Form all replicas; the time until then is not counted."""
        for name in self.names:
            empty = domain_module.FabricDomain(name, 'hall')
            await self.store.create(
                domain_module.KIND, name, domain_module.to_body(empty)
            )
        wanted = self.per_domain * len(self.names)
        while self.serving() < wanted:
            await self.step()
        self.totals = Totals()

    async def step(self) -> None:
        """Step every domain and count the time until the next step."""
        share = view.Wanted(
            self.deployment,
            self.per_domain,
            self.deployment.floor_replicas // len(self.names),
        )
        surroundings = controller.Surroundings(self.fleet.vms(), (share,))
        for each in self.controllers:
            await each.step(surroundings)
        self._count(STEP_S)
        self.clock.advance(STEP_S)

    async def run(self, duration_s: float) -> None:
        """Step for a time."""
        for _ in range(int(duration_s / STEP_S)):
            await self.step()

    async def settle(self, longest_s: float) -> float:
        """Step until all serves; return the time that it took."""
        began_s = self.clock.monotonic_s()
        while self.clock.monotonic_s() - began_s < longest_s:
            await self.step()
            passed_s = self.clock.monotonic_s() - began_s
            if not self.changing() or (passed_s > NOTICED_S and self.stuck()):
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
        listed = self.store.list_now(domain_module.KIND).objects
        for stored in listed:
            known = self._read.get(stored.name)
            if known is None or known[0] != stored.version:
                domain = domain_module.from_stored(stored)
                self._read[stored.name] = (stored.version, domain)
        return tuple(self._read[name][1] for name in self.names)

    def stuck(self) -> bool:
        """Tell whether what is broken can only wait for its VMs."""
        states = {
            replica.state
            for domain in self.domains()
            for replica in domain.replicas
        }
        moving = {
            domain_module.ReplicaState.FORMING,
            domain_module.ReplicaState.DRAINING,
        }
        return not states & moving and self._versions_are_current()

    def serving(self) -> int:
        """Return the replicas that truly serve."""
        return len(self._serving_vms()) // self.deployment.vms_per_replica

    def _serving_vms(self) -> set[str]:
        found: set[str] = set()
        for domain in self.domains():
            for replica in domain.replicas:
                if self._serves(replica):
                    found.update(replica.members)
        return found

    def _serves(self, replica: domain_module.DomainReplica) -> bool:
        engines = [self.fleet.engine(name) for name in replica.members]
        return replica.state == domain_module.ReplicaState.SERVING and all(
            engine.alive and engine.state.epoch == replica.epoch
            for engine in engines
        )

    def _count(self, duration_s: float) -> None:
        serving_vms = len(self._serving_vms())
        wanted = self.per_domain * len(self.names)
        down = wanted - serving_vms // self.deployment.vms_per_replica
        stranded = len(self.fleet.engines) - serving_vms
        self.totals.downtime_s += max(down, 0) * duration_s
        self.totals.stranded_s += stranded * duration_s
