"""Runs several engines in one process, each on its own port."""

import contextlib
from collections import abc as collections_abc

import anyio
from anyio import abc as anyio_abc

from redwingvalve.standins import engine, engine_app, serving


class EngineHost:
    """Fake engines and their HTTP servers, by VM name."""

    def __init__(self, group: anyio_abc.TaskGroup, host: str) -> None:
        """Listen on host; steps and restarts run as tasks of group."""
        self.registry = engine.EngineRegistry()
        self.servers: dict[str, serving.StandinServer] = {}
        self._group = group
        self._host = host

    @property
    def engines(self) -> dict[str, engine.Engine]:
        """Return all engines by VM name."""
        return self.registry.engines

    def address(self, vm: str) -> str:
        """Return host:port of the engine of a VM."""
        return self.servers[vm].address

    async def add(
        self, options: engine.EngineOptions, port: int = 0
    ) -> engine.Engine:
        """Start an engine; port 0 selects a free port."""
        added = engine.Engine(options, self.registry, self._group)
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
        """Restart a dead engine as idle, on its old port."""
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
    """Provide a host; its engines stop when the block ends."""
    async with anyio.create_task_group() as group:
        engine_host = EngineHost(group, host)
        try:
            yield engine_host
        finally:
            engine_host.abort()
            group.cancel_scope.cancel()
