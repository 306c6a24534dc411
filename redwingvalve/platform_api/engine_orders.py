"""Orders to the engine of a VM, and its real state read back.

An order states the desired end, never a step, so that a repeated or late
order does no harm beyond what its fencing number permits.
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
    """A VM that took part in this epoch of its head's replica age_s ago."""

    vm: str
    age_s: float


@attrs.frozen
class EngineState:
    """What an engine says of itself; incarnation changes on every start.

    members_seen is what a head vouches for: VMs that are ready in the same
    epoch, by the engines' own protocol. Engines without such a protocol leave
    it empty; that a head makes tokens does not show that its members are there.
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
    """The engine refuses: its highest fencing number is greater."""

    highest_fencing_number: int


@attrs.frozen
class EngineUnreachable:
    """No answer; the order may or may not have arrived."""

    message: str
    surely_not_received: bool = False


OrderError = OrderRefused | EngineUnreachable


class EngineOrders(abc.ABC):
    """Sends orders to engines and reads their state."""

    @abc.abstractmethod
    async def send(
        self, address: str, order: EngineOrder, timeout_s: float
    ) -> Result[EngineState, OrderError]:
        """Send an order; the answer is the state right after accepting it."""

    @abc.abstractmethod
    async def read_state(
        self, address: str, timeout_s: float
    ) -> Result[EngineState, EngineUnreachable]:
        """Read the engine's real state; also the probe for evidence."""
