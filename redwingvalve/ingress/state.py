"""What the request path of a node shares between its requests."""

import abc
import functools
import random
import time
from collections import abc as collections_abc

import attrs

from redwingvalve.http1 import pool
from redwingvalve.ingress import (
    capacity,
    observed,
    placing,
    retry_window,
    returners,
    routes,
    waiting,
)
from redwingvalve.ingress import poison as poison_module
from redwingvalve.ingress import (
    silence as silence_module,
)


class OpenSend(abc.ABC):
    """A send under way."""

    @abc.abstractmethod
    def head_is_silent(self) -> None:
        """End the send, to go on elsewhere."""


class Targets(abc.ABC):
    """Knows which endpoints take requests now."""

    @abc.abstractmethod
    def of(self, service: str, model: str) -> tuple[placing.Target, ...]:
        """Return the targets for a model, or of a plain service."""

    @abc.abstractmethod
    def suspect(self, endpoint_id: str, reason: str) -> None:
        """Take an endpoint out of use until it is known to be sound."""

    @abc.abstractmethod
    def doubt(self, endpoint_id: str, reason: str) -> None:
        """Find out whether an endpoint is sound; use it meanwhile."""

    @abc.abstractmethod
    def is_suspect(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is out of use."""


@attrs.define(eq=False)
class IngressState:
    """Everything that one request needs of the node."""

    targets: Targets
    allowance: retry_window.RetryAllowance
    configuration: routes.Configuration | None = None
    is_leaving: bool = False
    loads: placing.Loads = attrs.field(factory=placing.Loads)
    connections: pool.Pool = attrs.field(factory=pool.Pool)
    silence: silence_module.SilenceWatch = attrs.field(
        factory=silence_module.SilenceWatch
    )
    chance: random.Random = attrs.field(factory=random.Random)
    poison: poison_module.PoisonBook = attrs.field(
        factory=poison_module.PoisonBook
    )
    first_deadlines: returners.FirstDeadlines = attrs.field(
        factory=returners.FirstDeadlines
    )
    # Tells a node of a place that came free here: its name and the endpoint.
    on_handoff: collections_abc.Callable[[str, str], None] | None = None
    # Sends that end when their head falls silent, by endpoint.
    open_sends: dict[str, set['OpenSend']] = attrs.field(factory=dict)
    _rooms: dict[tuple[str, str], waiting.WaitingRoom] = attrs.field(
        factory=dict
    )
    _places: dict[tuple[str, str], capacity.ModelPlaces] = attrs.field(
        factory=dict
    )
    _times: dict[tuple[str, str], observed.PlaceTimes] = attrs.field(
        factory=dict
    )
    _prompts: dict[str, silence_module.PromptSizes] = attrs.field(factory=dict)
    _windows: dict[str, retry_window.RetryWindow] = attrs.field(factory=dict)

    @property
    def node_count(self) -> int:
        """Return how many nodes serve callers, this one included."""
        return self.loads.node_count

    def room(self, service: str, model: str) -> waiting.WaitingRoom:
        """Return where requests for a model wait."""
        key = (service, model)
        if key not in self._rooms:
            places = self.places(service, model)
            self._rooms[key] = waiting.WaitingRoom(time.monotonic, places)
        return self._rooms[key]

    def places(self, service: str, model: str) -> capacity.ModelPlaces:
        """Return the places of a model."""
        key = (service, model)
        if key not in self._places:
            self._places[key] = capacity.ModelPlaces(
                name=f'{service}/{model}',
                targets=functools.partial(self.targets.of, service, model),
                loads=self.loads,
                times=self.times(service, model),
                chance=self.chance,
                clock=time.monotonic,
                send_handoff=self._send_handoff,
            )
        return self._places[key]

    def take_handoff(self, endpoint_id: str) -> None:
        """Take a place that came free at another node, if one is wanted."""
        for key, room in self._rooms.items():
            for target in self.targets.of(*key):
                if target.endpoint_id == endpoint_id and room.wanting():
                    room.poke(target)

    def wanting(self) -> dict[str, int]:
        """Return how many requests want a place here, by what they want."""
        wanting = {
            self.places(*key).name: room.wanting()
            for key, room in self._rooms.items()
        }
        return {name: count for name, count in wanting.items() if count}

    def times(self, service: str, model: str) -> observed.PlaceTimes:
        """Return how long requests for a model take."""
        key = (service, model)
        if key not in self._times:
            self._times[key] = observed.make_place_times()
        return self._times[key]

    def under_way(self, service: str, model: str) -> int:
        """Return the requests at a model's targets, those of all nodes."""
        targets = self.targets.of(service, model)
        return sum(self.loads.of(one.endpoint_id) for one in targets)

    def _send_handoff(self, node: str, endpoint_id: str) -> None:
        if self.on_handoff is not None:
            self.on_handoff(node, endpoint_id)

    def in_use(self, service: str, model: str) -> float:
        """Return the places in use in the whole fleet, and those wanted.

        Other nodes have about as many requests that wait as this one.
        """
        taken = self.under_way(service, model)
        return taken + len(self.room(service, model)) * self.node_count

    def window(self, service: str) -> retry_window.RetryWindow:
        """Return the retries of a service."""
        if service not in self._windows:
            self._windows[service] = retry_window.RetryWindow(self.allowance)
        return self._windows[service]

    def prompts(self, model: str) -> silence_module.PromptSizes:
        """Return how long prompts of a model were lately."""
        if model not in self._prompts:
            self._prompts[model] = silence_module.PromptSizes()
        return self._prompts[model]

    def poke(self) -> None:
        """Let waiting requests look for a place again."""
        for room in self._rooms.values():
            room.poke()
