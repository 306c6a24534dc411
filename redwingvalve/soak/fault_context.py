"""The context of fault injection, with the records for the checks."""

import itertools
import time
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.soak import (
    breaches,
    callers,
    checker,
    daemons,
    operators,
    platform,
    schedule,
)
from redwingvalve.standins import engine, plain_service

Victim = typing.TypeVar('Victim')
Endpoint = engine.Engine | plain_service.PlainService
FIRST_NUMBER = 2


def _numbers() -> typing.Iterator[int]:
    return itertools.count(FIRST_NUMBER)


@attrs.define
class FaultContext:
    """The components that faults act on, and records of the faults."""

    platform: platform.Platform
    daemons: daemons.Daemons
    journal: breaches.Journal
    bearer: str
    poisoner: callers.Caller
    leaving: list[checker.LeavingPeriod] = attrs.field(factory=list)
    races: list[list[operators.Confirmation]] = attrs.field(factory=list)
    stop_times_s: list[float] = attrs.field(factory=list)
    wish_numbers: typing.Iterator[int] = attrs.field(factory=_numbers)

    def engine(self, fault: schedule.Fault) -> engine.Engine:
        """Return an engine, whether it serves or not."""
        engines = list(self.platform.engines.engines.values())
        return pick(engines, fault.where)

    def endpoint(self, fault: schedule.Fault) -> Endpoint:
        """Return a serving head or a service."""
        endpoints = [*self.platform.serving_heads(), *self.platform.services]
        return pick(endpoints, fault.where)

    def daemon(self, role: str, fault: schedule.Fault) -> daemons.Daemon | None:
        """Return an undisturbed daemon if at least one other remains."""
        found = self.undisturbed(*self.daemons.role(role))
        return pick(found, fault.where) if len(found) > 1 else None

    def undisturbed(self, *present: daemons.Daemon) -> list[daemons.Daemon]:
        """Return those of the daemons that no fault acts on."""
        now_s = time.time()
        return [
            daemon
            for daemon in present
            if not (daemon.stopping or daemon.away)
            and daemon.disturbed_until_s < now_s
        ]


def pick(victims: collections_abc.Sequence[Victim], where: float) -> Victim:
    """Return the item at a relative position, from 0 to 1, in the list."""
    return victims[min(len(victims) - 1, int(where * len(victims)))]


def name_of(context: Endpoint) -> str:
    """Return the name of an endpoint."""
    return (
        context.options.vm
        if isinstance(context, engine.Engine)
        else context.name
    )
