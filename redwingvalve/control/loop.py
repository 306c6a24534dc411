"""Runs the domain controllers of one process.

Any controller process can manage any domain. Rendezvous hashing over the live
controllers chooses the domains that a process works on. Only the lease decides
which process sends orders, so different views of the membership do no harm.
"""

import anyio
import attrs

from redwingvalve.control import inputs as inputs_module
from redwingvalve.control import moves
from redwingvalve.core import invariants
from redwingvalve.membership import members as members_module
from redwingvalve.membership import rendezvous
from redwingvalve.observability import logs
from redwingvalve.plans import manager, recovery
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import controller
from redwingvalve.replicas import domain as domain_module

STEP_INTERVAL_S = 0.5
FINISH_PLANS_INTERVAL_S = 5.0
# A plan whose confirmation was interrupted, because the process died after it
# marked the plan and before its second write, waits for up to this long. To
# list 50 plans of 20 KB every 5 s instead would read 200 KB a second.
LIST_PLANS_INTERVAL_S = 30.0
CANDIDATES_PER_DUTY = 2
# A lease that isn't released by then expires.
RELEASE_TIMEOUT_S = 3.0
CONTROL_ROLE = 'control'
LOG = logs.make_logger('control')


@attrs.define
class _ManagedDomain:
    """One domain for which this process is a candidate."""

    controller: controller.DomainController
    reconciler: moves.MoveReconciler
    created: bool = False


class ControlLoop:
    """Reconciles the domains for which this process is a candidate."""

    def __init__(
        self,
        owner: str,
        dependencies: controller.Dependencies,
        vms: vm_list.VmList,
        members: members_module.Members | None = None,
    ) -> None:
        """Acquire leases as owner, which is unique to this incarnation."""
        self._owner = owner
        self._dependencies = dependencies
        self._vm_list = vms
        self._members = members
        self._plan_manager = manager.make_plan_manager(
            dependencies.objects, vms, dependencies.clock
        )
        self._reader = inputs_module.InputReader(
            dependencies.objects, vms, dependencies.clock
        )
        self._domains: dict[str, _ManagedDomain] = {}
        self._next_finish_s = 0.0
        self._next_list_plans_s = 0.0

    async def run(self) -> None:
        """Reconcile until cancelled, then release the leases."""
        try:
            while True:
                started_s = self._dependencies.clock.monotonic_s()
                await self.step()
                spent_s = self._dependencies.clock.monotonic_s() - started_s
                await self._dependencies.clock.sleep(
                    max(STEP_INTERVAL_S - spent_s, 0.05)
                )
        finally:
            with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
                await self.release()

    async def step(self) -> None:
        """Reconcile all domains once."""
        await self._reader.refresh()
        await self._finish_plans()
        self._choose_domains()
        with invariants.unwrap_breaches():
            async with anyio.create_task_group() as group:
                for name, managed in self._domains.items():
                    group.start_soon(self._step_domain, name, managed)

    async def release(self) -> None:
        """Release all leases."""
        async with anyio.create_task_group() as group:
            for managed in self._domains.values():
                group.start_soon(managed.controller.release)

    def status(self) -> tuple[controller.DomainStatus, ...]:
        """Return the status of each domain of this process."""
        return tuple(
            managed.controller.status() for managed in self._domains.values()
        )

    async def _finish_plans(self) -> None:
        now_s = self._dependencies.clock.monotonic_s()
        if now_s < self._next_finish_s:
            return
        # Jitter keeps the controllers from all reading at the same time.
        jitter = self._dependencies.rng.uniform(0.75, 1.25)
        self._next_finish_s = now_s + FINISH_PLANS_INTERVAL_S * jitter
        if not self._is_candidate('plans'):
            return
        include_uncommitted = now_s >= self._next_list_plans_s
        if include_uncommitted:
            self._next_list_plans_s = now_s + LIST_PLANS_INTERVAL_S * jitter
        done = await recovery.resume_confirmations(
            self._dependencies.objects,
            self._plan_manager,
            include_uncommitted=include_uncommitted,
        )
        if done.is_error():
            LOG.warning(
                'confirmed plans not applied; trying again later',
                extra={'reason': str(done.error)},
            )

    def _choose_domains(self) -> None:
        # Connections between regions can fail for an hour. A controller in
        # another region would then consider every VM of a domain lost.
        in_region = {
            vm.fabric_domain
            for vm in self._reader.vms or ()
            if self._is_in_own_region(vm)
        }
        for name in sorted(in_region - set(self._domains)):
            if self._is_candidate(name):
                self._domains[name] = self._manage(name)
        for name in tuple(self._domains):
            holds = self._domains[name].controller.status().holds_lease
            if not holds and not self._is_candidate(name):
                self._domains.pop(name)

    def _manage(self, name: str) -> _ManagedDomain:
        dependencies = self._dependencies
        return _ManagedDomain(
            controller.make_domain_controller(name, self._owner, dependencies),
            moves.make_move_reconciler(
                dependencies.objects,
                self._vm_list,
                dependencies.clock,
                dependencies.rng,
            ),
        )

    def _is_candidate(self, duty: str) -> bool:
        if self._members is None:
            return True
        myself = self._members.local_member()
        in_region = {
            each.name
            for each in self._members.alive(CONTROL_ROLE)
            if each.region == myself.region
        }
        in_region.add(myself.name)
        return myself.name in rendezvous.select(
            in_region, duty, CANDIDATES_PER_DUTY
        )

    def _is_in_own_region(self, vm: vm_list.Vm) -> bool:
        if self._members is None or not vm.region:
            return True
        return vm.region == self._members.local_member().region

    async def _step_domain(self, name: str, managed: _ManagedDomain) -> None:
        if not managed.created:
            managed.created = await self._create(name)
        await managed.controller.step(
            self._reader.inputs_for(name, managed.reconciler.without_room)
        )
        domain_state = managed.controller.domain_state()
        deployments, allocation = self._reader.desired_state()
        if domain_state is None or allocation is None:
            return
        if await managed.reconciler.step(domain_state, deployments, allocation):
            LOG.info('replica moves updated', extra={'domain': name})

    async def _create(self, name: str) -> bool:
        """Create the domain's object; tell whether it exists now."""
        vm = next(
            vm for vm in self._reader.vms or () if vm.fabric_domain == name
        )
        fresh = domain_module.FabricDomain(
            name=name, data_centre=vm.data_centre, region=vm.region
        )
        found = await self._dependencies.objects.get(domain_module.KIND, name)
        if found.is_ok():
            return True
        if not isinstance(found.error, object_api.NotFound):
            return False
        made = await self._dependencies.objects.create(
            domain_module.KIND, name, domain_module.to_body(fresh)
        )
        return made.is_ok() or isinstance(made.error, object_api.Conflict)


def make_control_loop(
    owner: str,
    dependencies: controller.Dependencies,
    vms: vm_list.VmList,
    members: members_module.Members | None = None,
) -> ControlLoop:
    """Return the control loop of one process."""
    return ControlLoop(owner, dependencies, vms, members)
