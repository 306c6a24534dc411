"""The platform's list of live and leaving VMs, which may be outdated."""

import abc
import enum

import attrs
from expression import Result

from redwingvalve.platform_api import object_api


class VmState(enum.StrEnum):
    """The state of a VM according to the list, which may be outdated."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Vm:
    """A VM with accelerators; address is host:port of its engine."""

    name: str
    address: str
    data_centre: str
    fabric_domain: str
    region: str = ''
    accelerators: int = 1
    state: VmState = VmState.LIVE


class VmList(abc.ABC):
    """Reads the list; an absent VM may be new, removed or not yet listed."""

    @abc.abstractmethod
    async def read(self) -> Result[tuple[Vm, ...], object_api.Unavailable]:
        """Return all VMs in the list."""
