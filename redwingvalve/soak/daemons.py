"""How a soak run starts and ends the daemons, behind one base class."""

import abc
import asyncio
import time

import anyio
import attrs
from anyio import abc as anyio_abc

from redwingvalve.core import invariants
from redwingvalve.process import control, entry
from redwingvalve.settings import schema
from redwingvalve.soak import breaches

ENTRY = 'entry'
CONTROL = 'control'
SETTLING_S = 3.0


@attrs.define
class Daemon:
    """One daemon; disturbed_until_s is wall time, inf while it is away."""

    name: str
    role: str
    settings: schema.Settings
    disturbed_until_s: float = 0.0
    stopping: bool = False
    away: bool = False

    @property
    def address(self) -> str:
        """Return host:port of its HTTP side."""
        return f'{self.settings.node.host}:{self.settings.listen.http_port}'


class Daemons(abc.ABC):
    """All daemons of a run by name."""

    can_pause = False
    can_cut = False

    def __init__(self) -> None:
        """Start without any."""
        self.by_name: dict[str, Daemon] = {}
        self.breaches: list[breaches.Breach] = []

    def role(self, role: str) -> list[Daemon]:
        """Return the daemons of a role that have not been taken away."""
        return [
            daemon
            for daemon in self.by_name.values()
            if daemon.role == role and not daemon.away
        ]

    def disturbed(self, address: str, since_s: float) -> bool:
        """Tell whether a fault hit the daemon at or after a wall time."""
        return any(
            daemon.address == address
            and (daemon.away or daemon.disturbed_until_s >= since_s)
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

    async def stop(self, name: str, away_s: float) -> float:
        """Stop a daemon gracefully, start it again; return how long it took."""
        daemon = self.by_name[name]
        daemon.stopping = True
        began_s = time.monotonic()
        await self.shut_down(daemon)
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
        """Lose what a daemon asks its peers, and what they ask it too.

        It still reaches the platform, the endpoints and its callers, so that
        it stays bound by every promise.
        """
        daemon = self.by_name[name]
        await self.cut_links(daemon, from_others=from_others)
        await anyio.sleep(duration_s)
        await self.heal_links(daemon)

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
        """End all daemons gracefully, the controllers last."""
        for role in (ENTRY, CONTROL):
            async with anyio.create_task_group() as group:
                for daemon in self.role(role):
                    group.start_soon(self.shut_down, daemon)

    @abc.abstractmethod
    async def start(self, daemon: Daemon) -> None:
        """Start a daemon at its old addresses."""

    @abc.abstractmethod
    async def kill_now(self, daemon: Daemon) -> None:
        """End a daemon without warning."""

    @abc.abstractmethod
    async def shut_down(self, daemon: Daemon) -> None:
        """Ask a daemon to end and wait until it has."""

    async def wait_listening(self, daemon: Daemon) -> None:
        """Return once a restarted daemon can be told to stop again."""

    async def freeze(self, daemon: Daemon, duration_s: float) -> None:
        """Stop a daemon in its tracks and let it go on."""
        raise NotImplementedError

    async def cut_links(self, daemon: Daemon, *, from_others: bool) -> None:
        """Hold back all bytes between a daemon and its peers."""
        raise NotImplementedError

    async def heal_links(self, daemon: Daemon) -> None:
        """Let the bytes that were held back flow again, late."""
        raise NotImplementedError

    def _came_back(self, daemon: Daemon) -> None:
        daemon.away = False
        daemon.disturbed_until_s = time.time() + SETTLING_S


class LocalDaemons(Daemons):
    """Daemons as tasks of this loop; a kill cancels the task."""

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

    async def _run(self, daemon: Daemon) -> None:
        ended = self._ended[daemon.name]
        scope = self._scopes[daemon.name]
        try:
            await self._run_to_its_end(daemon)
        except asyncio.CancelledError:
            # hypercorn cancels tasks of its own while it is cancelled; that
            # must not spread to the whole run, as if the run were cancelled.
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
