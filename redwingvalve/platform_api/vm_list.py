"""The platform's lagging list of live and leaving VMs."""

import abc
import enum

import attrs
from expression import Result

from redwingvalve.platform_api import object_api


class VmState(enum.StrEnum):
    """What the list says of a VM; it lags behind the truth."""

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
    """Reads the list; a VM that is absent may be new, gone or late."""

    @abc.abstractmethod
    async def read(self) -> Result[tuple[Vm, ...], object_api.Unavailable]:
        """Return all VMs that the list shows now."""
