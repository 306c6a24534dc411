"""Hosts many engines in one process, each at its own port."""

import contextlib
from collections import abc as collections_abc

import anyio
from anyio import abc as anyio_abc

from redwingvalve.standins import engine, engine_app, serving


class EngineHost:
    """Engines by VM name, with their servers."""

    def __init__(self, group: anyio_abc.TaskGroup, host: str) -> None:
        """Serve on host; steps and restarts run in group."""
        self.fabric = engine.Fabric()
        self.servers: dict[str, serving.StandinServer] = {}
        self._group = group
        self._host = host

    @property
    def engines(self) -> dict[str, engine.Engine]:
        """Return all engines by VM name."""
        return self.fabric.engines

    def address(self, vm: str) -> str:
        """Return host:port of a VM's engine."""
        return self.servers[vm].address

    async def add(
        self, options: engine.EngineOptions, port: int = 0
    ) -> engine.Engine:
        """Start one engine; port 0 takes a free one."""
        added = engine.Engine(options, self.fabric, self._group)
        server = serving.StandinServer(
            engine_app.make_engine_app(added), self._host, port
        )
        self.servers[options.vm] = server
        added.on_die = self._make_on_die(added, server)
        await server.start()
        return added

    def abort(self) -> None:
        """Stop all servers."""
        for server in self.servers.values():
            server.abort()

    async def revive(self, vm: str) -> None:
        """Bring a dead engine back at its old port, idle."""
        self.engines[vm].revive()
        await self.servers[vm].start()

    def _make_on_die(
        self, dying: engine.Engine, server: serving.StandinServer
    ) -> collections_abc.Callable[[float], None]:
        async def come_back(restart_after_s: float) -> None:
            await anyio.sleep(restart_after_s)
            await self.revive(dying.options.vm)

        def on_die(restart_after_s: float) -> None:
            server.abort()
            if restart_after_s:
                self._group.start_soon(come_back, restart_after_s)

        return on_die


@contextlib.asynccontextmanager
async def host_engines(
    host: str = '127.0.0.1',
) -> collections_abc.AsyncIterator[EngineHost]:
    """Give an empty host; all its engines end with the block."""
    async with anyio.create_task_group() as group:
        engine_host = EngineHost(group, host)
        try:
            yield engine_host
        finally:
            engine_host.abort()
            group.cancel_scope.cancel()
