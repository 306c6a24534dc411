"""Rejections that endpoints repeat late, on connections that are kept."""

from redwingvalve.platform.tests import fleet_harness


def test_a_late_rejection_refuses_no_request_that_runs():
    """It was taken for the answer to the next request on the connection."""

    async def test(fleet):
        endpoint = fleet.endpoints['p0']
        endpoint.faults.rejects_every_other_request = True
        endpoint.faults.repeats_rejections = True
        caller = fleet.caller()
        statuses = {}
        for _ in range(8):
            response = await caller.ask('/quote/1')
            statuses[caller.attempt_id(caller.number)] = response.status
        ran = [run.attempt_id for run in endpoint.runs]
        assert len(ran) >= 3
        assert {statuses[attempt_id] for attempt_id in ran} == {200}

    fleet_harness.run(test, nodes=1, engines=0, plain=1)
