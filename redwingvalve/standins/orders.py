"""How an engine applies orders: fencing, desired state and load time."""

import uuid
from collections import abc as collections_abc

import attrs
from expression import Error, Ok, Result

from redwingvalve.platform_api import engine_orders

ADAPTER_LOAD_TIME_RATIO = 0.1
WEIGHT_FIELDS = ('model', 'version', 'members')


class OrderedState:
    """The state that an engine has reached by its orders."""

    def __init__(self, vm: str, load_time_s: float) -> None:
        """Start idle, as a new incarnation."""
        self.vm = vm
        self.load_time_s = load_time_s
        self.ignores_fencing = False
        self.orders_accepted = 0
        self.stale_orders_accepted = 0
        self._ready_at_s = 0.0
        self._state = _initial_state(vm)

    @property
    def assigned_state(self) -> engine_orders.EngineState:
        """Return the state without current readiness and load."""
        return self._state

    def restart(self) -> None:
        """Lose all state, including the highest fencing number."""
        self._state = _initial_state(self.vm)
        self._ready_at_s = 0.0

    def current(
        self, now_s: float, in_flight: int
    ) -> engine_orders.EngineState:
        """Return the state that the engine reports now."""
        return attrs.evolve(
            self._state, ready=self.ready(now_s), in_flight=in_flight
        )

    def ready(self, now_s: float) -> bool:
        """Whether the weights are loaded."""
        return now_s >= self._ready_at_s

    def apply(
        self, order: engine_orders.EngineOrder, now_s: float
    ) -> Result[bool, engine_orders.OrderRefused]:
        """Apply an order; return True if it interrupts active runs."""
        highest = self._state.highest_fencing_number
        if order.fencing_number < highest:
            if not self.ignores_fencing:
                return Error(engine_orders.OrderRefused(highest))
            self.stale_orders_accepted += 1
        self.orders_accepted += 1
        before = self._state
        self._state = attrs.evolve(
            before,
            replica=order.replica,
            epoch=order.epoch,
            model=order.model,
            version=order.version,
            role=order.role,
            members=order.members,
            adapters=order.adapters,
            highest_fencing_number=max(highest, order.fencing_number),
        )
        self._begin_load(before, now_s)
        return Ok(_identity(before) != _identity(self._state))

    def _begin_load(
        self, before: engine_orders.EngineState, now_s: float
    ) -> None:
        after = self._state
        if not after.model:
            self._ready_at_s = now_s
            return
        if _weights(before) != _weights(after):
            self._ready_at_s = now_s + self.load_time_s
            return
        if set(after.adapters) - set(before.adapters):
            self._ready_at_s = max(
                self._ready_at_s,
                now_s + self.load_time_s * ADAPTER_LOAD_TIME_RATIO,
            )


def _initial_state(vm: str) -> engine_orders.EngineState:
    return engine_orders.EngineState(
        vm=vm, incarnation=uuid.uuid4().hex[:12], ready=True
    )


def _identity(state: engine_orders.EngineState) -> tuple[object, ...]:
    return (
        state.replica,
        state.epoch,
        state.role,
        *(_weights(state)),
    )


def _weights(state: engine_orders.EngineState) -> tuple[object, ...]:
    return tuple(getattr(state, name) for name in WEIGHT_FIELDS)


def parse_order(
    raw: collections_abc.Mapping[str, object],
) -> engine_orders.EngineOrder:
    """Parse a JSON body; ValueError or TypeError if it is malformed."""
    known = {field.name for field in attrs.fields(engine_orders.EngineOrder)}
    unknown = set(raw) - known
    if unknown:
        raise ValueError(f'unknown fields {sorted(unknown)}')
    fields = dict(raw)
    for name in ('members', 'adapters'):
        fields[name] = tuple(fields.get(name, ()))  # type: ignore[arg-type]
    return engine_orders.EngineOrder(**fields)  # type: ignore[arg-type]
