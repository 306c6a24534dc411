"""Orders to the engine of a VM, and reads of its actual state.

An order has the desired state and not a step towards it, so a repeated or
late order does no harm beyond what its fencing number permits.
"""

import abc

import attrs
from expression import Result


@attrs.frozen
class EngineOrder:
    """The state that one VM's engine should reach.

    role is 'head', 'worker' or 'idle'; members are VM names, head first.
    """

    vm: str
    fencing_number: int
    replica: str
    epoch: int
    model: str
    version: str
    role: str
    members: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


@attrs.frozen
class MemberSeen:
    """A VM that took part in the current epoch of its replica age_s ago."""

    vm: str
    age_s: float


@attrs.frozen
class EngineState:
    """The state reported by an engine; incarnation changes on every start.

    members_seen has the VMs that a head attests to be ready in the same epoch,
    according to the engines' own protocol. Engines without such a protocol
    leave it empty. Tokens from a head do not prove that its members are
    reachable.
    """

    vm: str
    incarnation: str
    ready: bool
    replica: str = ''
    epoch: int = 0
    model: str = ''
    version: str = ''
    role: str = 'idle'
    members: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    highest_fencing_number: int = 0
    in_flight: int = 0
    members_seen: tuple[MemberSeen, ...] = ()


@attrs.frozen
class OrderRefused:
    """The engine refused the order: its highest fencing number is greater."""

    highest_fencing_number: int


@attrs.frozen
class EngineUnreachable:
    """No response; the order may have arrived unless surely_not_received."""

    message: str
    surely_not_received: bool = False


OrderError = OrderRefused | EngineUnreachable


class EngineOrders(abc.ABC):
    """Sends orders to engines and reads their state."""

    @abc.abstractmethod
    async def send(
        self, address: str, order: EngineOrder, timeout_s: float
    ) -> Result[EngineState, OrderError]:
        """Send an order; return the state right after it was accepted."""

    @abc.abstractmethod
    async def read_state(
        self, address: str, timeout_s: float
    ) -> Result[EngineState, EngineUnreachable]:
        """Read the engine's actual state; also used to probe it."""
