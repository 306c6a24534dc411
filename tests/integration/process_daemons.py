"""Daemons of a soak run as real processes: SIGKILL, SIGSTOP, SIGTERM.

Only for tests. The stand-ins stay in the process of the run, so that its
checks read their ledgers directly.
"""

import time

import anyio
import attrs

from redwingvalve.soak import breaches, daemons
from tests.integration import processes

END_TIMEOUT_S = 60.0
LISTENING_TIMEOUT_S = 20.0
BREACH_MARK = 'InvariantBreachError'


class ProcessDaemons(daemons.Daemons):
    """Each daemon is a child process, ended and frozen by its id."""

    can_pause = True

    def __init__(self, children: processes.Processes) -> None:
        super().__init__()
        self._children = children

    async def start(self, daemon: daemons.Daemon) -> None:
        plain = attrs.asdict(
            daemon.settings,
            value_serializer=lambda _, __, value: (
                list(value) if isinstance(value, tuple) else value
            ),
        )
        file = self._children.write_yaml(daemon.name, plain)
        self._children.start(daemon.name, 'redwingvalve', daemon.role, file)

    async def wait_listening(self, daemon: daemons.Daemon) -> None:
        # A SIGTERM before the daemon has its handler just ends the process.
        host, _, port = daemon.address.rpartition(':')
        with anyio.move_on_after(LISTENING_TIMEOUT_S):
            while not await listens(host, int(port)):
                await anyio.sleep(0.05)

    async def end_now(self, daemon: daemons.Daemon) -> None:
        self._children.children[daemon.name].kill()

    async def end_gracefully(self, daemon: daemons.Daemon) -> None:
        child = self._children.children[daemon.name]
        child.resume()
        child.stop()
        status = await child.wait(END_TIMEOUT_S)
        if status != 0:
            self._note_breach(daemon, RuntimeError(f'it ended with {status}'))

    async def freeze(self, daemon: daemons.Daemon, duration_s: float) -> None:
        child = self._children.children[daemon.name]
        child.pause()
        await anyio.sleep(duration_s)
        child.resume()

    async def end_all(self) -> None:
        await super().end_all()
        for daemon in self.by_name.values():
            child = self._children.children[daemon.name]
            if BREACH_MARK in child.text():
                lines = child.text().splitlines()
                marked = [line for line in lines if BREACH_MARK in line]
                self.breaches.append(
                    breaches.Breach(
                        breaches.Promise.INVARIANT,
                        daemon.name,
                        marked[0][-500:],
                        time.time(),
                    )
                )


async def listens(host: str, port: int) -> bool:
    """Tell whether a port accepts connections."""
    try:
        stream = await anyio.connect_tcp(host, port)
    except OSError:
        return False
    await stream.aclose()
    return True
