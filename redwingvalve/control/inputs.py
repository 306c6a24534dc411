"""Reads once what all domain controllers of a process work from.

Load pattern: 150 domains stepped twice a second by a few hundred controllers.
Were each step to read the VM list and the allocation itself, the store would
see a thousand reads a second for answers that change a few times a minute.
Read every 2 s, a process costs one read a second of the store, and a changed
allocation is acted on within the 4 s that configuration may take.
"""

from expression import Error, Ok, Result

from redwingvalve.core import clock
from redwingvalve.declaration import schema
from redwingvalve.plans import fleet_state, objects
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import controller, shares
from redwingvalve.replicas import view as view_module

READ_EVERY_S = 2.0
NO_DEPLOYMENTS: frozenset[str] = frozenset()

Deployments = dict[str, schema.ModelDeployment]


class InputReader:
    """Keeps the last good answers; an outage leaves what was known."""

    def __init__(
        self,
        store: object_api.ObjectApi,
        vms: vm_list.VmList,
        time_source: clock.Clock,
    ) -> None:
        """Know nothing yet."""
        self._store = store
        self._vm_list = vms
        self._clock = time_source
        self._read_s: float | None = None
        self._deployments: Deployments | None = None
        self._shares: shares.Allocation | None = None
        self.vms: tuple[vm_list.Vm, ...] | None = None

    async def refresh(self) -> None:
        """Read again when the answers are old enough."""
        now_s = self._clock.monotonic_s()
        if self._read_s is not None and now_s - self._read_s < READ_EVERY_S:
            return
        self._read_s = now_s
        listed = await self._vm_list.read()
        if listed.is_ok():
            self.vms = listed.ok
        agreed = await fleet_state.read_allocation(self._store)
        if agreed.is_error():
            return
        # A share whose deployment is not known yet must not read as "none
        # wanted": its replicas would be drained. Both are taken together.
        declared = await read_deployments(self._store)
        if declared.is_ok():
            self._deployments = declared.ok
            self._shares = agreed.ok[0]

    def inputs_for(
        self, domain: str, without_room: frozenset[str] = NO_DEPLOYMENTS
    ) -> controller.ControllerInputs:
        """Return what the controller of a domain works from.

        without_room names deployments whose change found no VMs anywhere.
        """
        if self._deployments is None or self._shares is None:
            return controller.ControllerInputs(self.vms, None)
        wanted = wanted_of(
            domain, self._shares, self._deployments, without_room
        )
        return controller.ControllerInputs(self.vms, wanted)

    def desired_state(self) -> tuple[Deployments, shares.Allocation | None]:
        """Return what is declared and allocated, as far as it is known."""
        return self._deployments or {}, self._shares


def wanted_of(
    domain: str,
    agreed: shares.Allocation,
    deployments: Deployments,
    without_room: frozenset[str],
) -> tuple[view_module.DesiredShare, ...]:
    """Return the shares of one domain."""
    return tuple(
        view_module.DesiredShare(
            deployments[share.deployment],
            share.replicas,
            share.floor_replicas,
            in_place=share.deployment in without_room
            and deployments[share.deployment].accepts_change_in_place,
        )
        for share in agreed.shares
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
