"""Parts of prompts that crash endpoints, in drawn company and beside faults."""

import enum

import anyio
import hypothesis
from hypothesis import strategies

from redwingvalve.node.tests import crashing_parts, test_crashing_requests
from redwingvalve.platform.standins import endpoint_crashes
from redwingvalve.platform.tests import fleet_harness

NODES = 5


class Fault(enum.Enum):
    NONE = 'none'
    LOST_ANSWERS = 'lost answers'
    STORE_AWAY = 'store away'
    SILENT_PEER = 'silent peer'
    NEW_NODE = 'new node'
    ENDPOINTS_END = 'endpoints end together'


async def disturb(fleet, group, fault):
    """Cause a fault for a second or for good."""
    if fault is Fault.LOST_ANSWERS:
        for endpoint in fleet.endpoints.values():
            endpoint.faults.spoiled_share = 0.1
    elif fault is Fault.STORE_AWAY:
        fleet.store.faults.is_unresponsive = True
        await anyio.sleep(1)
        fleet.store.faults.is_unresponsive = False
    elif fault is Fault.SILENT_PEER:
        peers = fleet.nodes[0].peers
        received = peers.datagram_received
        peers.datagram_received = lambda packed, address: None
        await anyio.sleep(1)
        peers.datagram_received = received
    elif fault is Fault.NEW_NODE:
        await test_crashing_requests.start_node(fleet, group, 'node-new')
    elif fault is Fault.ENDPOINTS_END:
        for endpoint in list(fleet.endpoints.values())[:6]:
            if endpoint.crashed_s is None:
                endpoint.crash()


@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    position=strategies.sampled_from(crashing_parts.Position),
    bad_parts=strategies.sampled_from(
        [
            (crashing_parts.BAD,),
            (crashing_parts.BAD, crashing_parts.OTHER_BAD),
        ]
    ),
    answer_start=strategies.sampled_from(
        list(endpoint_crashes.AnswerStart)[:-1]
    ),
    gap_s=strategies.sampled_from([0.15, 0.3, 0.6]),
    abreast=strategies.integers(1, 3),
    faults=strategies.lists(
        strategies.sampled_from(Fault), min_size=2, max_size=2
    ),
    fault_s=strategies.floats(0, 3),
)
# Shrinking plays minutes of load without a clearer example.
@hypothesis.settings(max_examples=3, phases=[hypothesis.Phase.generate])
def test_crashing_parts_are_refused_beside_two_faults(
    seed, position, bad_parts, answer_start, gap_s, abreast, faults, fault_s
):
    """Sound requests with the same first part go on."""

    async def test(fleet):
        crashing = crashing_parts.CrashingPart(
            fleet, position=position, bad_parts=bad_parts, seed=seed
        )
        async with anyio.create_task_group() as group:

            async def disturb_twice():
                await anyio.sleep(fault_s)
                for fault in faults:
                    group.start_soon(disturb, fleet, group, fault)
                    await anyio.sleep(0.5)

            group.start_soon(disturb_twice)
            share = await crashing_parts.run_crashing(
                crashing,
                answer_start=answer_start,
                gap_s=gap_s,
                abreast=abreast,
            )
            group.cancel_scope.cancel()
        assert crashing.late_arrivals() <= crashing_parts.MAX_LATE_ARRIVALS
        assert share >= 0.9
        assert not crashing.falsely_served()

    fleet_harness.run(test, nodes=NODES, engines=0, plain=50)
