"""The fake endpoint while it is silent."""

import json
import time

import anyio

from redwingvalve.platform.tests import fleet_harness

SILENCE_S = 0.3


def test_an_order_is_executed_late_though_its_sender_has_left():
    """The body of the order was gone when the silence ended."""

    async def test(fleet):
        endpoint, *_ = fleet.endpoints.values()
        host, _, port = endpoint.address.partition(':')
        endpoint.faults.silent_until_s = time.monotonic() + SILENCE_S
        caller = fleet_harness.Caller((host, int(port)))
        order = {'operation': 'stage', 'model': fleet_harness.SMALL_MODEL}
        body = json.dumps(order).encode()
        await caller.start_request('/redwingvalve/order', body)
        await anyio.sleep(SILENCE_S / 3)
        caller.disconnect()
        await fleet.wait_until(lambda: order in endpoint.orders)

    fleet_harness.run(test, engines=1, plain=0)
