"""In-memory engines, VM list and weight store that use virtual time."""

import attrs
from expression import Error, Ok, Result

from redwingvalve.core import clock
from redwingvalve.platform_api import (
    engine_orders,
    object_api,
    vm_list,
    weight_store,
)

EngineState = engine_orders.EngineState
ORDER_HISTORY_SIZE = 1000


@attrs.define
class FakeEngine:
    """The engine of one VM.

    interrupted_requests counts requests that were in flight when an order
    replaced the replica; applied_orders holds the latest applied orders, the
    oldest first.
    """

    vm: vm_list.Vm
    checks_fencing: bool = True
    alive: bool = True
    starts: int = 1
    state: EngineState = attrs.field(init=False)
    ready_at_s: float = 0.0
    interrupted_requests: int = 0
    loads: int = 0
    applied_orders: list[engine_orders.EngineOrder] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start idle."""
        self.state = self._initial_state()

    def restart(self) -> None:
        """Restart as idle, as a new incarnation."""
        self.starts += 1
        self.alive = True
        self.state = self._initial_state()

    def apply(
        self, order: engine_orders.EngineOrder, now_s: float, load_time_s: float
    ) -> Result[EngineState, engine_orders.OrderError]:
        """Apply an order; weights load for load_time_s.

        An order for the current replica and epoch only raises the highest
        fencing number.
        """
        if self.checks_fencing and (
            order.fencing_number < self.state.highest_fencing_number
        ):
            return Error(
                engine_orders.OrderRefused(self.state.highest_fencing_number)
            )
        self.applied_orders = [*self.applied_orders, order][
            -ORDER_HISTORY_SIZE:
        ]
        highest = max(order.fencing_number, self.state.highest_fencing_number)
        same = (order.replica, order.epoch) == (
            self.state.replica,
            self.state.epoch,
        )
        if same:
            self.state = attrs.evolve(
                self.state, highest_fencing_number=highest
            )
            return Ok(self.state)
        self.interrupted_requests += self.state.in_flight
        self.loads += bool(order.replica)
        self.ready_at_s = now_s + load_time_s * bool(order.replica)
        self.state = EngineState(
            vm=self.vm.name,
            incarnation=self.state.incarnation,
            ready=False,
            replica=order.replica,
            epoch=order.epoch,
            model=order.model,
            version=order.version,
            role=order.role,
            members=order.members,
            adapters=order.adapters,
            highest_fencing_number=highest,
        )
        return Ok(self.state)

    def state_at(self, now_s: float) -> EngineState:
        """Return the state at a time; ready once loading is complete."""
        self.state = attrs.evolve(self.state, ready=now_s >= self.ready_at_s)
        return self.state

    def _initial_state(self) -> EngineState:
        return EngineState(self.vm.name, f'{self.vm.name}/{self.starts}', True)


class FakeFleet(vm_list.VmList):
    """All VMs and their engines; VM list changes are visible at once."""

    def __init__(
        self,
        vms: tuple[vm_list.Vm, ...],
        time_source: clock.Clock,
        load_time_s: float,
    ) -> None:
        """Start with all engines idle."""
        self.engines = {vm.address: FakeEngine(vm) for vm in vms}
        self._by_name = {
            engine.vm.name: engine for engine in self.engines.values()
        }
        self.clock = time_source
        self.load_time_s = load_time_s

    async def read(
        self,
    ) -> Result[tuple[vm_list.Vm, ...], object_api.Unavailable]:
        """Return all VMs, including dead ones, as a lagging list does."""
        return Ok(self.vms())

    def vms(self) -> tuple[vm_list.Vm, ...]:
        """Return all VMs as the VM list reports them."""
        return tuple(engine.vm for engine in self.engines.values())

    def engine(self, name: str) -> FakeEngine:
        """Return the engine of a VM."""
        return self._by_name[name]

    def set_leaving(self, name: str) -> None:
        """Set the state of a VM to leaving."""
        engine = self.engine(name)
        engine.vm = attrs.evolve(engine.vm, state=vm_list.VmState.LEAVING)


class FakeEngineOrders(engine_orders.EngineOrders):
    """A process's connection to the engines, except unreachable_vms."""

    def __init__(self, fleet: FakeFleet) -> None:
        """Start with every engine reachable."""
        self.fleet = fleet
        self.unreachable_vms: set[str] = set()
        self.probes = 0
        self.sent = 0

    async def send(
        self, address: str, order: engine_orders.EngineOrder, timeout_s: float
    ) -> Result[EngineState, engine_orders.OrderError]:
        """Apply an order at the engine, if it is reachable."""
        self.sent += 1
        engine = self._reach(address)
        if engine is None:
            return Error(engine_orders.EngineUnreachable('no answer'))
        return engine.apply(
            order, self.fleet.clock.monotonic_s(), self.fleet.load_time_s
        )

    async def read_state(
        self, address: str, timeout_s: float
    ) -> Result[EngineState, engine_orders.EngineUnreachable]:
        """Return the state of the engine, if it is reachable."""
        self.probes += 1
        engine = self._reach(address)
        if engine is None:
            return Error(engine_orders.EngineUnreachable('no answer'))
        return Ok(engine.state_at(self.fleet.clock.monotonic_s()))

    def _reach(self, address: str) -> FakeEngine | None:
        engine = self.fleet.engines.get(address)
        if engine is None or not engine.alive:
            return None
        return None if engine.vm.name in self.unreachable_vms else engine


class FakeWeightStore(weight_store.WeightStore):
    """Grants loads_per_s loads on average, and burst at once."""

    def __init__(
        self, time_source: clock.Clock, loads_per_s: float, burst: float = 1.0
    ) -> None:
        """Start with a full bucket."""
        self._clock = time_source
        self._loads_per_s = loads_per_s
        self._burst = burst
        self._level = burst
        self._filled_s = time_source.monotonic_s()
        self.granted = 0

    async def reserve_load(
        self, model: str, version: str
    ) -> Result[weight_store.LoadTicket, object_api.Unavailable]:
        """Grant a load, or return when to retry."""
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._filled_s) * self._loads_per_s
        self._level = min(self._level + gained, self._burst)
        self._filled_s = now_s
        if self._level < 1:
            wait_s = (1 - self._level) / self._loads_per_s
            return Error(
                object_api.Unavailable(
                    'too many loads', maybe_applied=False, retry_after_s=wait_s
                )
            )
        self._level -= 1
        self.granted += 1
        return Ok(weight_store.LoadTicket(f'load-{self.granted}', 60.0))
