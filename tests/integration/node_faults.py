"""Randomized fault injection for the node soak test."""

import random
import signal
import time

import anyio

from redwingvalve.platform.tests import fleet_harness

# Endpoint response faults: attribute, value while active, value when healed.
RESPONSE_FAULTS = (
    ('duplicates_response', True, False),
    ('omits_content_length', True, False),
    ('aborts_at_event', 2, None),
    ('returns_server_error', True, False),
)


class Faults:
    """Injects randomly chosen faults into nodes, the store and endpoints."""

    def __init__(self, cluster, versions, group):
        self.cluster = cluster
        self.versions = versions
        self.rng = cluster.rng
        self.group = group
        self.injected = []
        self._actions = (
            self.pause_node,
            self.kill_node,
            self.stop_node,
            self.make_store_unresponsive,
            self.reject_store_calls,
            self.drop_write_responses,
            self.drop_store_history,
            self.cut_node_from_store,
            self.reset_store_connections,
            self.crash_endpoint,
            self.restart_endpoint,
            self.delay_endpoint_operations,
            self.change_configuration,
            self.corrupt_responses,
            self.cut_endpoint_from_store,
        )

    async def run(self, duration_s):
        until_s = anyio.current_time() + duration_s
        while anyio.current_time() < until_s:
            fault = self.rng.choice(self._actions)
            self.injected.append(fault.__name__)
            self.group.start_soon(fault)
            await anyio.sleep(self.rng.uniform(0.3, 1.5))

    async def silence_endpoints(self, seed):
        """Let sound endpoints fall silent for a second until cancelled."""
        rng = random.Random(seed)
        while True:
            endpoint = rng.choice(list(self.cluster.endpoints.values()))
            silent_s = rng.uniform(0.8, 1.4)
            endpoint.faults.silent_until_s = time.monotonic() + silent_s
            await anyio.sleep(rng.uniform(0.3, 1.5))

    async def silence_while_others_refuse(self):
        """Let streams fall silent that can go nowhere else, until cancelled.

        Some silences end at about the time when their streams are moved.
        """
        rng = random.Random(f'refusals {self.cluster.seed}')
        while True:
            heads = self.cluster.ready_endpoints(fleet_harness.ENGINE_SERVICE)
            opened = [one for one in heads if _is_open_head(one)]
            silent = rng.choice(opened or heads)
            silent_s = rng.choice((rng.uniform(0.08, 0.6), rng.uniform(0.6, 3)))
            await self._refuse(silent, heads, silent_s, rng.uniform(0.1, 0.6))
            await anyio.sleep(rng.uniform(0.5, 2.5))

    async def _refuse(self, silent, heads, silent_s, refusing_s):
        others = [one for one in heads if one is not silent]
        for one in others:
            one.faults.rejects_requests = True
        silent.faults.silent_until_s = time.monotonic() + silent_s
        try:
            await anyio.sleep(silent_s + refusing_s)
        finally:
            for one in others:
                one.faults.rejects_requests = False

    async def pause_node(self):
        node = self.rng.choice(self.cluster.nodes)
        node.send_signal(signal.SIGSTOP)
        await anyio.sleep(self.rng.uniform(0.3, 3))
        node.send_signal(signal.SIGCONT)

    async def kill_node(self):
        node = self.rng.choice(self.cluster.nodes)
        node.kill()
        await anyio.sleep(0.3)
        if not node.is_running:
            node.start()

    async def stop_node(self):
        node = self.rng.choice(self.cluster.nodes)
        node.send_signal(signal.SIGCONT)
        node.send_signal(signal.SIGTERM)
        await node.wait_stopped()
        if not node.is_running:
            node.start()

    async def make_store_unresponsive(self):
        await self._store_fault('is_unresponsive', True, False)

    async def reject_store_calls(self):
        await self._store_fault('error_status', 503, 0)

    async def drop_write_responses(self):
        await self._store_fault('drops_write_responses', True, False)

    async def drop_store_history(self):
        self.cluster.store.drop_history()

    async def cut_node_from_store(self):
        proxy = self.rng.choice(self.cluster.nodes).proxy
        name = self.rng.choice(('black_hole', 'cut_responses', 'stall'))
        setattr(proxy.faults, name, True)
        await anyio.sleep(self.rng.uniform(0.5, 3))
        proxy.heal()

    async def reset_store_connections(self):
        await self.rng.choice(self.cluster.nodes).proxy.reset_all()

    async def crash_endpoint(self):
        service = self.rng.choice(
            (
                fleet_harness.ENGINE_SERVICE,
                fleet_harness.ENGINE_SERVICE,
                fleet_harness.PLAIN_SERVICE,
            )
        )
        ready_endpoints = self.cluster.ready_endpoints(service)
        if len(ready_endpoints) > 2:
            self.rng.choice(ready_endpoints).crash()
        domain = 'domain-1' if service == fleet_harness.ENGINE_SERVICE else ''
        await anyio.sleep(1)
        await self.cluster.add_endpoint(service, domain)

    async def restart_endpoint(self):
        self.rng.choice(
            self.cluster.ready_endpoints(fleet_harness.ENGINE_SERVICE)
        ).crash_and_restart()

    async def delay_endpoint_operations(self):
        endpoint = self.rng.choice(
            self.cluster.ready_endpoints(fleet_harness.ENGINE_SERVICE)
        )
        name = self.rng.choice(('join', 'open', 'close'))
        endpoint.faults.delayed_operations = (name,)
        await anyio.sleep(2)
        endpoint.faults.delayed_operations = ()

    async def corrupt_responses(self):
        service = self.rng.choice(
            (fleet_harness.ENGINE_SERVICE, fleet_harness.PLAIN_SERVICE)
        )
        endpoint = self.rng.choice(self.cluster.ready_endpoints(service))
        name, value, healed = self.rng.choice(RESPONSE_FAULTS)
        setattr(endpoint.faults, name, value)
        await anyio.sleep(self.rng.uniform(0.5, 3))
        setattr(endpoint.faults, name, healed)

    async def cut_endpoint_from_store(self):
        endpoint = self.rng.choice(
            self.cluster.ready_endpoints(fleet_harness.ENGINE_SERVICE)
        )
        endpoint.faults.is_cut_off_from_store = True
        await anyio.sleep(self.rng.uniform(0.5, 3))
        endpoint.faults.is_cut_off_from_store = False

    async def change_configuration(self):
        for _ in range(self.rng.randint(1, 3)):
            self.versions.change()
            await anyio.sleep(self.rng.uniform(0, 0.4))

    async def _store_fault(self, name, value, healed):
        setattr(self.cluster.store.faults, name, value)
        await anyio.sleep(self.rng.uniform(0.5, 3))
        setattr(self.cluster.store.faults, name, healed)


def _is_open_head(endpoint):
    is_open = endpoint.group and endpoint.group['state'] == 'open'
    return is_open and endpoint.members[0] == endpoint.endpoint_id
