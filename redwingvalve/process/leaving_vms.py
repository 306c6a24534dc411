"""Publishes leaving VMs of the platform's list to entries, without the store.

Two controllers read the list every second and publish the names as news;
evidence.leaving says why the path through the store is not enough.
"""

from redwingvalve.administration import drains
from redwingvalve.evidence import leaving, serving_permits
from redwingvalve.platform_api import vm_list
from redwingvalve.process import dependencies as process_dependencies
from redwingvalve.process import duty_assignment

READ_INTERVAL_S = 0.25
DUTY = 'leaving-vms'


class LeavingVmPublisher:
    """Publishes which VMs leave while this controller holds the duty."""

    def __init__(
        self,
        dependencies: process_dependencies.ProcessDependencies,
        reader: drains.DrainReader,
    ) -> None:
        """Publish the drained VMs of reader too, without waiting for it.

        A store that does not answer must not delay the platform's list.
        """
        self._dependencies = dependencies
        self._reader = reader
        self._published: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Publish until cancelled."""
        interval_s = self._dependencies.settings.platform.vm_list_interval_s
        while True:
            if self._is_assigned():
                await self._publish()
            await self._dependencies.clock.sleep(interval_s)

    async def _publish(self) -> None:
        listing = await self._dependencies.vms.read()
        if listing.is_error():
            # The last published item stays valid until its maximum age.
            return
        gone = {
            vm.name for vm in listing.ok if vm.state == vm_list.VmState.LEAVING
        }
        self._published = leaving.publish(
            self._dependencies.node.news,
            gone | self._reader.vms,
            self._published,
        )

    def _is_assigned(self) -> bool:
        return duty_assignment.is_assigned(self._dependencies, DUTY)


async def follow(
    dependencies: process_dependencies.ProcessDependencies,
    permits: serving_permits.EvidencePermits,
) -> None:
    """Update an entry's permits from the news until cancelled."""
    while True:
        permits.replace_leaving(leaving.read(dependencies.node.news))
        await dependencies.clock.sleep(READ_INTERVAL_S)
