"""Reads the inputs that all domain controllers of a process share.

Load pattern: 150 domains reconciled twice a second by a few hundred
controllers. If each step read the VM list and the allocation itself, the store
would get a thousand reads a second for data that changes a few times a minute.
With one refresh every 2 s each process costs one store read a second, and a
changed allocation takes effect within the 4 s allowed for configuration.
"""

from expression import Error, Ok, Result

from redwingvalve.core import clock
from redwingvalve.declaration import schema
from redwingvalve.plans import fleet_state, objects
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import controller, shares
from redwingvalve.replicas import view as view_module

READ_INTERVAL_S = 2.0
NO_DEPLOYMENTS: frozenset[str] = frozenset()

Deployments = dict[str, schema.ModelDeployment]


class InputReader:
    """Caches the inputs; during an outage the last ones remain valid."""

    def __init__(
        self,
        store: object_api.ObjectApi,
        vms: vm_list.VmList,
        time_source: clock.Clock,
    ) -> None:
        """Start without inputs."""
        self._store = store
        self._vm_list = vms
        self._clock = time_source
        self._read_s: float | None = None
        self._deployments: Deployments | None = None
        self._allocation: shares.Allocation | None = None
        self.vms: tuple[vm_list.Vm, ...] | None = None

    async def refresh(self) -> None:
        """Read the inputs again if READ_INTERVAL_S has passed."""
        now_s = self._clock.monotonic_s()
        if self._read_s is not None and now_s - self._read_s < READ_INTERVAL_S:
            return
        self._read_s = now_s
        listed = await self._vm_list.read()
        if listed.is_ok():
            self.vms = listed.ok
        allocation = await fleet_state.read_allocation(self._store)
        if allocation.is_error():
            return
        # A share whose deployment is not known yet must not be taken for a
        # share of zero, which would drain its replicas. Deployments and
        # allocation are therefore replaced together.
        declared = await read_deployments(self._store)
        if declared.is_ok():
            self._deployments = declared.ok
            self._allocation = allocation.ok[0]

    def inputs_for(
        self, domain: str, without_room: frozenset[str] = NO_DEPLOYMENTS
    ) -> controller.ControllerInputs:
        """Return the inputs for the controller of a domain.

        without_room names the deployments whose change has room in no domain.
        """
        if self._deployments is None or self._allocation is None:
            return controller.ControllerInputs(self.vms, None)
        desired = desired_shares(
            domain, self._allocation, self._deployments, without_room
        )
        return controller.ControllerInputs(self.vms, desired)

    def desired_state(self) -> tuple[Deployments, shares.Allocation | None]:
        """Return the declared deployments and the allocation, if known."""
        return self._deployments or {}, self._allocation


def desired_shares(
    domain: str,
    allocation: shares.Allocation,
    deployments: Deployments,
    without_room: frozenset[str],
) -> tuple[view_module.DesiredShare, ...]:
    """Return the replicas that one domain should hold."""
    return tuple(
        view_module.DesiredShare(
            deployments[share.deployment],
            share.replicas,
            share.floor_replicas,
            in_place=share.deployment in without_room
            and deployments[share.deployment].accepts_change_in_place,
        )
        for share in allocation.shares
        if share.domain == domain and share.deployment in deployments
    )


async def read_deployments(
    store: object_api.ObjectApi,
) -> Result[Deployments, object_api.ObjectError]:
    """Read the declared deployments by name."""
    listed = await store.list(objects.DEPLOYMENTS)
    if listed.is_error():
        return Error(listed.error)
    declared = (
        objects.read_declared(stored, schema.ModelDeployment)
        for stored in listed.ok.objects
    )
    return Ok({each.name: each for each in declared if each is not None})
