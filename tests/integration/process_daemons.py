"""Daemons of a soak run as real processes: SIGKILL, SIGSTOP, SIGTERM.

Only for tests. The stand-ins stay in the process of the run, so that its
checks read their ledgers directly.
"""

import time

import anyio
import attrs
from anyio import abc as anyio_abc

from redwingvalve.soak import breaches, daemons
from tests.integration import fault_proxy, processes

END_TIMEOUT_S = 60.0
LISTENING_TIMEOUT_S = 20.0
BREACH_MARK = 'InvariantBreachError'


class ProcessDaemons(daemons.Daemons):
    """Each daemon is a child process, ended and frozen by its id."""

    can_pause = True

    def __init__(
        self,
        children: processes.Processes,
        group: anyio_abc.TaskGroup | None = None,
    ) -> None:
        """With a group, a proxy stands before each daemon's peer port."""
        super().__init__()
        self._children = children
        self._group = group
        self.can_cut = group is not None
        self.proxies: dict[str, fault_proxy.FaultProxy] = {}
        self._cuts: list[tuple[str, bool]] = []

    async def start(self, daemon: daemons.Daemon) -> None:
        if self._group is not None and daemon.name not in self.proxies:
            await self._lay_link(daemon, self._group)
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

    async def kill_now(self, daemon: daemons.Daemon) -> None:
        self._children.children[daemon.name].kill()

    async def shut_down(self, daemon: daemons.Daemon) -> None:
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

    async def cut_links(
        self, daemon: daemons.Daemon, *, from_others: bool
    ) -> None:
        self._cuts.append((daemon.name, from_others))
        self._apply_cuts()

    async def heal_links(self, daemon: daemons.Daemon) -> None:
        # Cuts of one daemon may overlap; the oldest ends first.
        self._cuts.remove(
            next(cut for cut in self._cuts if cut[0] == daemon.name)
        )
        self._apply_cuts()

    def _apply_cuts(self) -> None:
        hosts = {
            name: daemon.settings.node.host
            for name, daemon in self.by_name.items()
        }
        for name, proxy in self.proxies.items():
            proxy.cut_from = {
                hosts[cut] for cut, _ in self._cuts if cut != name
            }
            if (name, True) in self._cuts:
                proxy.cut_from.update(hosts.values())

    async def _lay_link(
        self, daemon: daemons.Daemon, group: anyio_abc.TaskGroup
    ) -> None:
        listen = daemon.settings.listen
        proxy = fault_proxy.FaultProxy(
            f'{listen.peer_host}:{listen.peer_port}', group
        )
        await proxy.start(daemon.settings.node.host, listen.peer_port)
        self.proxies[daemon.name] = proxy

    async def shut_down_all(self) -> None:
        await super().shut_down_all()
        for daemon in self.by_name.values():
            child = self._children.children[daemon.name]
            if BREACH_MARK in child.text():
                lines = child.text().splitlines()
                marked = [line for line in lines if BREACH_MARK in line]
                self.breaches.append(
                    breaches.Breach(
                        breaches.Guarantee.INVARIANT,
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
