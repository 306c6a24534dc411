"""Starts, stops and disturbs the daemons of a soak run."""

import abc
import asyncio
import random
import signal
import time

import anyio
import attrs
from anyio import abc as anyio_abc

from redwingvalve.core import invariants
from redwingvalve.entry import daemon as entry_daemon
from redwingvalve.process import control, entry
from redwingvalve.settings import schema
from redwingvalve.soak import breaches

ENTRY = 'entry'
CONTROL = 'control'
SETTLING_S = 3.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@attrs.frozen
class SignalSeries:
    """Signals that a daemon gets until it has ended, gap_s apart on average."""

    rng: random.Random
    gap_s: float

    def draw(self) -> tuple[float, signal.Signals]:
        """Return the time until the next signal, and the signal."""
        pause_s = self.rng.expovariate(1 / self.gap_s)
        return pause_s, self.rng.choice((*STOP_SIGNALS, signal.SIGHUP))


@attrs.define
class Daemon:
    """One daemon; disturbed_until_s is wall-clock, inf while it is frozen."""

    name: str
    role: str
    settings: schema.Settings
    disturbed_until_s: float = 0.0
    stopping: bool = False
    away: bool = False
    # Away after a planned stop, which excuses no request that it cuts.
    was_stopped: bool = False

    @property
    def address(self) -> str:
        """Return host:port of the HTTP server."""
        return f'{self.settings.node.host}:{self.settings.listen.http_port}'

    @property
    def stop_timeout_s(self) -> float:
        """Return within which time the process ends after a signal."""
        if self.role == CONTROL:
            return control.STOP_TIMEOUT_S
        return entry_daemon.stop_timeout_s(self.settings.requests)


class Daemons(abc.ABC):
    """All daemons of a run by name."""

    can_pause = False
    can_cut = False

    def __init__(self) -> None:
        """Create the set without daemons."""
        self.by_name: dict[str, Daemon] = {}
        self.breaches: list[breaches.Breach] = []

    def role(self, role: str) -> list[Daemon]:
        """Return the daemons of a role that are not down."""
        return [
            daemon
            for daemon in self.by_name.values()
            if daemon.role == role and not daemon.away
        ]

    def disturbed(self, address: str, since_s: float) -> bool:
        """Tell whether a fault hit the daemon at or after a wall-clock time."""
        return any(
            daemon.address == address
            and (
                (daemon.away and not daemon.was_stopped)
                or daemon.disturbed_until_s >= since_s
            )
            for daemon in self.by_name.values()
        )

    async def kill(self, name: str, away_s: float) -> None:
        """Kill a daemon and start it again after away_s."""
        daemon = self.by_name[name]
        daemon.away = True
        await self.kill_now(daemon)
        await anyio.sleep(away_s)
        await self.start(daemon)
        await self.wait_listening(daemon)
        self._came_back(daemon)

    async def stop(
        self, name: str, away_s: float, series: SignalSeries | None = None
    ) -> float:
        """Shut a daemon down, restart it and return the shutdown time."""
        daemon = self.by_name[name]
        daemon.stopping = True
        daemon.was_stopped = True
        began_s = time.monotonic()
        async with anyio.create_task_group() as group:
            if series is not None:
                group.start_soon(self._send_series, daemon, series)
            await self.shut_down(daemon)
            group.cancel_scope.cancel()
        took_s = time.monotonic() - began_s
        daemon.away = True
        daemon.stopping = False
        await anyio.sleep(away_s)
        await self.start(daemon)
        await self.wait_listening(daemon)
        self._came_back(daemon)
        return took_s

    async def pause(self, name: str, duration_s: float) -> None:
        """Freeze a daemon for duration_s."""
        daemon = self.by_name[name]
        daemon.disturbed_until_s = float('inf')
        await self.freeze(daemon, duration_s)
        self._came_back(daemon)

    async def cut(
        self, name: str, duration_s: float, *, from_others: bool
    ) -> None:
        """Block requests of a daemon to its peers; from_others: also theirs.

        The platform, the endpoints and the callers stay reachable, so that
        every guarantee still holds.
        """
        daemon = self.by_name[name]
        await self.cut_links(daemon, from_others=from_others)
        await anyio.sleep(duration_s)
        await self.heal_links(daemon)

    async def _send_series(self, daemon: Daemon, series: SignalSeries) -> None:
        while True:
            pause_s, number = series.draw()
            await anyio.sleep(pause_s)
            self.send_signal(daemon, number)

    def _note_breach(self, daemon: Daemon, error: BaseException) -> None:
        self.breaches.append(
            breaches.Breach(
                breaches.Guarantee.INVARIANT,
                daemon.name,
                repr(error)[:500],
                time.time(),
            )
        )

    async def shut_down_all(self) -> None:
        """Shut all daemons down gracefully, the controllers last."""
        for role in (ENTRY, CONTROL):
            async with anyio.create_task_group() as group:
                for daemon in self.role(role):
                    group.start_soon(self.shut_down, daemon)

    @abc.abstractmethod
    async def start(self, daemon: Daemon) -> None:
        """Start a daemon at the addresses in its settings."""

    @abc.abstractmethod
    async def kill_now(self, daemon: Daemon) -> None:
        """Kill a daemon without a graceful shutdown."""

    @abc.abstractmethod
    async def shut_down(self, daemon: Daemon) -> None:
        """Shut a daemon down gracefully and wait for its end."""

    @abc.abstractmethod
    def send_signal(self, daemon: Daemon, number: signal.Signals) -> None:
        """Send a signal, unless the daemon has ended."""

    async def wait_listening(self, daemon: Daemon) -> None:
        """Wait until a restarted daemon can handle a stop request."""

    async def freeze(self, daemon: Daemon, duration_s: float) -> None:
        """Suspend a daemon for duration_s, then resume it."""
        raise NotImplementedError

    async def cut_links(self, daemon: Daemon, *, from_others: bool) -> None:
        """Hold back all data between a daemon and its peers."""
        raise NotImplementedError

    async def heal_links(self, daemon: Daemon) -> None:
        """Deliver the data that was held back."""
        raise NotImplementedError

    def _came_back(self, daemon: Daemon) -> None:
        daemon.away = False
        daemon.was_stopped = False
        daemon.disturbed_until_s = time.time() + SETTLING_S


class LocalDaemons(Daemons):
    """Daemons as tasks of this event loop; a kill cancels the task."""

    def __init__(self, group: anyio_abc.TaskGroup) -> None:
        """Run all daemons in group."""
        super().__init__()
        self._group = group
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._stops: dict[str, anyio.Event] = {}
        self._ended: dict[str, anyio.Event] = {}

    async def start(self, daemon: Daemon) -> None:
        """Start a daemon as a task."""
        self._scopes[daemon.name] = anyio.CancelScope()
        self._stops[daemon.name] = anyio.Event()
        self._ended[daemon.name] = anyio.Event()
        self._group.start_soon(self._run, daemon)

    async def kill_now(self, daemon: Daemon) -> None:
        """Cancel the task and wait for its end."""
        self._scopes[daemon.name].cancel()
        await self._ended[daemon.name].wait()

    async def shut_down(self, daemon: Daemon) -> None:
        """Set the stop event, as SIGTERM does in a process."""
        self._stops[daemon.name].set()
        await self._ended[daemon.name].wait()

    def send_signal(self, daemon: Daemon, number: signal.Signals) -> None:
        """Do what a process does at a signal."""
        if number in STOP_SIGNALS:
            self._stops[daemon.name].set()

    async def _run(self, daemon: Daemon) -> None:
        ended = self._ended[daemon.name]
        scope = self._scopes[daemon.name]
        try:
            await self._run_to_its_end(daemon)
        except asyncio.CancelledError:
            # hypercorn cancels its own tasks while it is cancelled. This must
            # not propagate as if the whole run were cancelled.
            if not scope.cancel_called:
                raise
        finally:
            ended.set()

    async def _run_to_its_end(self, daemon: Daemon) -> None:
        stop = self._stops[daemon.name]
        run = entry.run_entry if daemon.role == ENTRY else control.run_control
        try:
            with self._scopes[daemon.name]:
                await run(daemon.settings, stop)
        except* invariants.InvariantBreachError as breached:
            self._note_breach(daemon, breached)
        except* asyncio.InvalidStateError:
            # hypercorn's server raises this when its task is cancelled with
            # connections open, as a kill does.
            stop.set()
