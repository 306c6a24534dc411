"""What happens to nodes, the store and endpoints of a soak, by chance."""

import signal

import anyio

from redwingvalve.platform.tests import fleet_harness

# How an endpoint spoils its answers: a fault, its value, and without it.
SPOILED = (
    ('duplicates_response', True, False),
    ('omits_content_length', True, False),
    ('aborts_at_event', 2, None),
    ('returns_server_error', True, False),
)


class Faults:
    """What happens to nodes, the store and endpoints, by chance."""

    def __init__(self, world, versions, group):
        self.world = world
        self.versions = versions
        self.chance = world.chance
        self.group = group
        self.told = []
        self._kinds = (
            self.pause_node,
            self.kill_node,
            self.stop_node,
            self.silence_store,
            self.refuse_calls,
            self.lose_answers,
            self.drop_history,
            self.cut_node,
            self.reset_node,
            self.crash_endpoint,
            self.restart_endpoint,
            self.obey_late,
            self.change_configuration,
            self.spoil_answers,
            self.cut_endpoint_off,
        )

    async def run(self, duration_s):
        until_s = anyio.current_time() + duration_s
        while anyio.current_time() < until_s:
            fault = self.chance.choice(self._kinds)
            self.told.append(fault.__name__)
            self.group.start_soon(fault)
            await anyio.sleep(self.chance.uniform(0.3, 1.5))

    async def pause_node(self):
        node = self.chance.choice(self.world.nodes)
        node.send(signal.SIGSTOP)
        await anyio.sleep(self.chance.uniform(0.3, 3))
        node.send(signal.SIGCONT)

    async def kill_node(self):
        node = self.chance.choice(self.world.nodes)
        node.kill()
        await anyio.sleep(0.3)
        if not node.is_running:
            node.start()

    async def stop_node(self):
        node = self.chance.choice(self.world.nodes)
        node.send(signal.SIGCONT)
        node.send(signal.SIGTERM)
        await node.end()
        if not node.is_running:
            node.start()

    async def silence_store(self):
        await self._store_fault('is_unresponsive', True, False)

    async def refuse_calls(self):
        await self._store_fault('error_status', 503, 0)

    async def lose_answers(self):
        await self._store_fault('drops_write_responses', True, False)

    async def drop_history(self):
        self.world.store.drop_history()

    async def cut_node(self):
        proxy = self.chance.choice(self.world.nodes).proxy
        name = self.chance.choice(('black_hole', 'cut_answers', 'stall'))
        setattr(proxy.faults, name, True)
        await anyio.sleep(self.chance.uniform(0.5, 3))
        proxy.heal()

    async def reset_node(self):
        await self.chance.choice(self.world.nodes).proxy.reset_all()

    async def crash_endpoint(self):
        service = self.chance.choice(
            (
                fleet_harness.ENGINE_SERVICE,
                fleet_harness.ENGINE_SERVICE,
                fleet_harness.PLAIN_SERVICE,
            )
        )
        living = self.world.living(service)
        if len(living) > 2:
            self.chance.choice(living).crash()
        domain = 'domain-1' if service == fleet_harness.ENGINE_SERVICE else ''
        await anyio.sleep(1)
        await self.world.add(service, domain)

    async def restart_endpoint(self):
        self.chance.choice(
            self.world.living(fleet_harness.ENGINE_SERVICE)
        ).crash_and_restart()

    async def obey_late(self):
        endpoint = self.chance.choice(
            self.world.living(fleet_harness.ENGINE_SERVICE)
        )
        name = self.chance.choice(('join', 'open', 'close'))
        endpoint.faults.delayed_operations = (name,)
        await anyio.sleep(2)
        endpoint.faults.delayed_operations = ()

    async def spoil_answers(self):
        service = self.chance.choice(
            (fleet_harness.ENGINE_SERVICE, fleet_harness.PLAIN_SERVICE)
        )
        endpoint = self.chance.choice(self.world.living(service))
        name, value, healed = self.chance.choice(SPOILED)
        setattr(endpoint.faults, name, value)
        await anyio.sleep(self.chance.uniform(0.5, 3))
        setattr(endpoint.faults, name, healed)

    async def cut_endpoint_off(self):
        endpoint = self.chance.choice(
            self.world.living(fleet_harness.ENGINE_SERVICE)
        )
        endpoint.faults.is_cut_off_from_store = True
        await anyio.sleep(self.chance.uniform(0.5, 3))
        endpoint.faults.is_cut_off_from_store = False

    async def change_configuration(self):
        for _ in range(self.chance.randint(1, 3)):
            self.versions.change()
            await anyio.sleep(self.chance.uniform(0, 0.4))

    async def _store_fault(self, name, value, healed):
        setattr(self.world.store.faults, name, value)
        await anyio.sleep(self.chance.uniform(0.5, 3))
        setattr(self.world.store.faults, name, healed)
