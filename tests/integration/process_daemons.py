"""Runs the daemons of a soak run as child processes controlled by signals.

Only for tests. Daemons receive SIGKILL, SIGSTOP and SIGTERM. The stand-ins
stay in the process of the soak run, so that its checks can read their ledgers
directly.
"""

import time

import anyio
import attrs
from anyio import abc as anyio_abc

from redwingvalve.soak import breaches, daemons
from tests.integration import fault_proxy, processes

LISTENING_TIMEOUT_S = 20.0
BREACH_MARKER = 'InvariantBreachError'


class ProcessDaemons(daemons.Daemons):
    """Runs each daemon as a child process, signalled by its process id."""

    can_pause = True

    def __init__(
        self,
        children: processes.Processes,
        group: anyio_abc.TaskGroup | None = None,
    ) -> None:
        """Put a fault proxy before each peer port if a group is given."""
        super().__init__()
        self._children = children
        self._group = group
        self.can_cut = group is not None
        self.proxies: dict[str, fault_proxy.FaultProxy] = {}
        self._cuts: list[tuple[str, bool]] = []

    async def start(self, daemon: daemons.Daemon) -> None:
        if self._group is not None and daemon.name not in self.proxies:
            await self._start_proxy(daemon, self._group)
        content = attrs.asdict(
            daemon.settings,
            value_serializer=lambda _, __, value: (
                list(value) if isinstance(value, tuple) else value
            ),
        )
        file = self._children.write_yaml(daemon.name, content)
        self._children.start(daemon.name, 'redwingvalve', daemon.role, file)

    async def wait_listening(self, daemon: daemons.Daemon) -> None:
        host, _, port = daemon.address.rpartition(':')
        with anyio.move_on_after(LISTENING_TIMEOUT_S):
            while not await is_listening(host, int(port)):
                await anyio.sleep(0.05)

    async def kill_now(self, daemon: daemons.Daemon) -> None:
        self._children.children[daemon.name].kill()

    def send_signal(self, daemon, number):
        child = self._children.children[daemon.name]
        if child.is_running:
            child.send_signal(number)

    async def shut_down(self, daemon: daemons.Daemon) -> None:
        child = self._children.children[daemon.name]
        child.resume()
        child.stop()
        try:
            status = await child.wait(daemon.stop_timeout_s)
        except TimeoutError:
            child.kill()
            status = child.exit_status
        if status != 0:
            self._note_breach(
                daemon, RuntimeError(f'exited with status {status}')
            )

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
        # Cuts of one daemon may overlap; remove the oldest.
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

    async def _start_proxy(
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
            if BREACH_MARKER in child.read_log():
                lines = child.read_log().splitlines()
                marked = [line for line in lines if BREACH_MARKER in line]
                self.breaches.append(
                    breaches.Breach(
                        breaches.Guarantee.INVARIANT,
                        daemon.name,
                        marked[0][-500:],
                        time.time(),
                    )
                )


async def is_listening(host: str, port: int) -> bool:
    """Return whether a port accepts connections."""
    try:
        stream = await anyio.connect_tcp(host, port)
    except OSError:
        return False
    await stream.aclose()
    return True
