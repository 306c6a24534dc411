"""Runs the domain controllers of one process.

Every controller process could manage every domain; which ones it watches
follows from rendezvous hashing over the live controllers. The lease alone
decides who orders, so two processes that see different members do no harm.
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

STEP_EVERY_S = 0.5
FINISH_EVERY_S = 5.0
# A plan that was marked by a process that died before its second write waits
# this long; 50 plans of 20 KB listed each 5 s would be 200 KB a second.
LIST_PLANS_EVERY_S = 30.0
CANDIDATES = 2
CONTROL_ROLE = 'control'
LOG = logs.make_logger('control')


@attrs.define
class _Domain:
    """One domain that this process watches."""

    controller: controller.DomainController
    mover: moves.MoveReconciler
    created: bool = False


class ControlLoop:
    """Steps the domains of which this process is a candidate."""

    def __init__(
        self,
        owner: str,
        tools: controller.Dependencies,
        vms: vm_list.VmList,
        members: members_module.Members | None = None,
    ) -> None:
        """Own leases as owner, unique to this incarnation."""
        self._owner = owner
        self._tools = tools
        self._vm_list = vms
        self._members = members
        self._plan_manager = manager.make_plan_manager(
            tools.objects, vms, tools.clock
        )
        self._reader = inputs_module.InputReader(
            tools.objects, vms, tools.clock
        )
        self._domains: dict[str, _Domain] = {}
        self._finish_from_s = 0.0
        self._list_plans_from_s = 0.0

    async def run(self) -> None:
        """Step until cancelled, then give the leases back."""
        try:
            while True:
                started_s = self._tools.clock.monotonic_s()
                await self.step()
                spent_s = self._tools.clock.monotonic_s() - started_s
                await self._tools.clock.sleep(max(STEP_EVERY_S - spent_s, 0.05))
        finally:
            with anyio.CancelScope(shield=True):
                await self.release()

    async def step(self) -> None:
        """Make one pass over all domains."""
        await self._reader.refresh()
        await self._finish_plans()
        self._choose_domains()
        with invariants.unwrap_breaches():
            async with anyio.create_task_group() as group:
                for name, watched in self._domains.items():
                    group.start_soon(self._step_domain, name, watched)

    async def release(self) -> None:
        """Give all leases back."""
        for watched in self._domains.values():
            await watched.controller.release()

    def status(self) -> tuple[controller.DomainStatus, ...]:
        """Return the status of each watched domain."""
        return tuple(
            watched.controller.status() for watched in self._domains.values()
        )

    async def _finish_plans(self) -> None:
        now_s = self._tools.clock.monotonic_s()
        if now_s < self._finish_from_s:
            return
        # Jitter keeps the controllers from all reading at one moment.
        jitter = self._tools.rng.uniform(0.75, 1.25)
        self._finish_from_s = now_s + FINISH_EVERY_S * jitter
        if not self._is_candidate('plans'):
            return
        include_uncommitted = now_s >= self._list_plans_from_s
        if include_uncommitted:
            self._list_plans_from_s = now_s + LIST_PLANS_EVERY_S * jitter
        done = await recovery.resume_confirmations(
            self._tools.objects,
            self._plan_manager,
            include_uncommitted=include_uncommitted,
        )
        if done.is_error():
            LOG.warning('Plans wait', extra={'reason': str(done.error)})

    def _choose_domains(self) -> None:
        # Regions lose each other for an hour now and then; from another
        # region every VM of this one would then look lost.
        near = {
            vm.fabric_domain
            for vm in self._reader.vms or ()
            if self._is_near(vm)
        }
        for name in sorted(near - set(self._domains)):
            if self._is_candidate(name):
                self._domains[name] = self._watch(name)
        for name in tuple(self._domains):
            holds = self._domains[name].controller.status().holds_lease
            if not holds and not self._is_candidate(name):
                self._domains.pop(name)

    def _watch(self, name: str) -> _Domain:
        tools = self._tools
        return _Domain(
            controller.make_domain_controller(name, self._owner, tools),
            moves.make_move_reconciler(
                tools.objects, self._vm_list, tools.clock, tools.rng
            ),
        )

    def _is_candidate(self, duty: str) -> bool:
        if self._members is None:
            return True
        myself = self._members.local_member()
        near = {
            each.name
            for each in self._members.alive(CONTROL_ROLE)
            if each.region == myself.region
        }
        near.add(myself.name)
        return myself.name in rendezvous.select(near, duty, CANDIDATES)

    def _is_near(self, vm: vm_list.Vm) -> bool:
        if self._members is None or not vm.region:
            return True
        return vm.region == self._members.local_member().region

    async def _step_domain(self, name: str, watched: _Domain) -> None:
        if not watched.created:
            watched.created = await self._create(name)
        await watched.controller.step(
            self._reader.inputs_for(name, watched.mover.without_room)
        )
        domain_state = watched.controller.domain_state()
        deployments, agreed = self._reader.desired_state()
        if domain_state is None or agreed is None:
            return
        if await watched.mover.step(domain_state, deployments, agreed):
            LOG.info('Moves of replicas changed', extra={'domain': name})

    async def _create(self, name: str) -> bool:
        """Create the domain's object; tell whether it is there."""
        vm = next(
            vm for vm in self._reader.vms or () if vm.fabric_domain == name
        )
        fresh = domain_module.FabricDomain(
            name=name, data_centre=vm.data_centre, region=vm.region
        )
        found = await self._tools.objects.get(domain_module.KIND, name)
        if found.is_ok():
            return True
        if not isinstance(found.error, object_api.NotFound):
            return False
        made = await self._tools.objects.create(
            domain_module.KIND, name, domain_module.to_body(fresh)
        )
        return made.is_ok() or isinstance(made.error, object_api.Conflict)


def make_control_loop(
    owner: str,
    tools: controller.Dependencies,
    vms: vm_list.VmList,
    members: members_module.Members | None = None,
) -> ControlLoop:
    """Return the loop of one process."""
    return ControlLoop(owner, tools, vms, members)
