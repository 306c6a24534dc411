"""Takes VMs that leave from the platform's list to the entries, past the store.

Two controllers read the list every second and tell the names as news; see
evidence.leaving for why the store's way is not enough.
"""

from redwingvalve.administration import drains
from redwingvalve.evidence import leaving, serving_permits
from redwingvalve.platform_api import vm_list
from redwingvalve.process import dependencies as process_dependencies
from redwingvalve.process import duty_assignment

LOOK_EVERY_S = 0.25
DUTY = 'leaving-vms'


class LeavingTeller:
    """One controller's part in telling which VMs leave."""

    def __init__(
        self,
        dependencies: process_dependencies.ProcessDependencies,
        reader: drains.DrainReader,
    ) -> None:
        """Know of none; drains come from reader, which nobody waits for.

        A silent store must not hold up the platform's list.
        """
        self._parts = dependencies
        self._reader = reader
        self._told: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Tell until cancelled."""
        interval_s = self._parts.settings.platform.vm_list_interval_s
        while True:
            if self._on_duty():
                await self._tell()
            await self._parts.clock.sleep(interval_s)

    async def _tell(self) -> None:
        listed = await self._parts.vms.read()
        if listed.is_error():
            # The last word holds until it is too old.
            return
        gone = {
            vm.name for vm in listed.ok if vm.state == vm_list.VmState.LEAVING
        }
        self._told = leaving.publish(
            self._parts.node.news, gone | self._reader.vms, self._told
        )

    def _on_duty(self) -> bool:
        return duty_assignment.is_mine(self._parts, DUTY)


async def follow(
    dependencies: process_dependencies.ProcessDependencies,
    permits: serving_permits.EvidencePermits,
) -> None:
    """Keep an entry's permits up to date until cancelled."""
    while True:
        permits.replace_leaving(leaving.read(dependencies.node.news))
        await dependencies.clock.sleep(LOOK_EVERY_S)
