"""Stand-ins of the platform, as test processes side by side use them."""

import pytest

from redwingvalve.platform.tests import fleet_harness
from redwingvalve.standins import ports


@pytest.mark.parametrize('is_return', [False, True])
def test_no_other_process_is_given_the_port_of_a_crashed_endpoint(is_return):
    """Nodes would send their orders and probes to another test's endpoint."""

    async def test(fleet):
        endpoint = fleet.endpoints['p0']
        if is_return:
            endpoint.crash()
            await endpoint.start(is_return=True)
        endpoint.crash()
        port = int(endpoint.address.rpartition(':')[2])
        assert ports.FIRST_PORT <= port <= ports.LAST_PORT
        assert port not in ports.free_ports(ports.MAX_RESERVED // 2)

    fleet_harness.run(test, engines=0)
