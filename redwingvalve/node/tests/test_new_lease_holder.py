"""A new process that acquires the lease knows nothing of earlier states."""

import anyio
import attrs

from redwingvalve.fleet import endpoints, serving
from redwingvalve.fleet import registry as registry_module
from redwingvalve.ingress import routes
from redwingvalve.node import controller, endpoint_prober
from redwingvalve.node.tests import members
from redwingvalve.platform import endpoint_orders

SMALL = routes.Model('small', 2, 1.0, 1.0, 12.0, 1.1)
ENGINE = routes.Engine(
    slots=4,
    models=(SMALL,),
    step_ms=4.0,
    step_ms_per_request=0.1,
    prompt_tokens_per_s=40_000.0,
    steps_per_event=5,
    loads_per_s=5.0,
    max_concurrent_loads=7,
    formation_ms=30.0,
)


@attrs.define(eq=False)
class Client:
    """Records which endpoints are ordered to join or to leave.

    Probes are unanswered, except by endpoints with a current membership.
    """

    joined: list = attrs.field(factory=list)
    left: list = attrs.field(factory=list)
    current: dict = attrs.field(factory=dict)

    async def join(self, endpoint, replica, epoch, member_ids):
        self.joined.append(endpoint.endpoint_id)
        return endpoint_orders.OrderResult.ACCEPTED

    async def leave(self, endpoint, replica, epoch):
        self.left.append(endpoint.endpoint_id)
        return endpoint_orders.OrderResult.ACCEPTED

    async def report(self, endpoint):
        membership = self.current.get(endpoint.endpoint_id)
        if membership is None:
            return None
        return endpoint_orders.Report(endpoint.born_ms, membership, ())


def member(number):
    """Return the second member of a replica whose head isn't listed."""
    return members.make_member(
        f'e{number}', number, 1, endpoints.MemberState.READY
    )


def reconcile_repeatedly(
    registry, before_reconcile=lambda _: None, current=None
):
    """Let a new lease holder reconcile five times; return its orders.

    before_reconcile is called once the controller knows the engine. current
    holds the memberships that endpoints report when they are asked.
    """
    client = Client(current=current or {})

    async def main():
        async with anyio.create_task_group() as group:
            new_controller = controller.Controller(
                'engine',
                registry,
                serving.ServingTable(registry),
                client,
                endpoint_prober.EndpointProber(client),
                group,
                lambda: True,
                lambda service, model: 0,
            )
            new_controller.has_served = True
            new_controller.configure(ENGINE)
            before_reconcile(new_controller)
            for _ in range(5):
                new_controller.reconcile(ENGINE)
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(main)
    return client.joined + client.left


def test_members_whose_head_is_not_listed_yet_do_not_join_elsewhere():
    """No VM is in two replicas after an outage of the store.

    Entries expired during the outage and return one by one within two seconds.
    The holder was killed in the meantime; its new process first receives the
    entries of the members, acquires the lease at once and reconciles. Both
    heads are alive and open, but not listed yet.
    """
    registry = registry_module.Registry()
    registry.live = {f'e{number}': member(number) for number in (1, 2)}
    assert not reconcile_repeatedly(registry)


def test_members_of_a_replica_that_may_have_opened_do_not_join_elsewhere():
    """No VM is in two replicas when a replica opens just before an outage.

    The next lease holder saw two replicas while their members were joining.
    Then the store became unavailable, both replicas were opened, and the
    entries of the members return before those of the heads.
    """
    registry = registry_module.Registry()
    seen = [
        members.make_member(
            f'e{number}-{rank}', number, rank, endpoints.MemberState.JOINING
        )
        for number in (1, 2)
        for rank in (0, 1)
    ]
    registry.live = {one.endpoint_id: one for one in seen}

    def remove_heads(new_controller):
        registry.live = {
            one.endpoint_id: one for one in seen if one.membership.rank == 1
        }
        new_controller.record_fleet_state()

    assert not reconcile_repeatedly(registry, remove_heads)


def test_heads_that_opened_unseen_are_asked_before_their_members_are_needed():
    """Two replicas that serve are not taken apart by a new lease holder.

    Their heads executed orders to open as the store went; they are listed as
    ready, and their members aren't listed yet.
    """
    heads = [
        members.make_member(
            f'e{number}', number, 0, endpoints.MemberState.READY
        )
        for number in (1, 2)
    ]
    registry = registry_module.Registry()
    registry.live = {one.endpoint_id: one for one in heads}
    current = {
        one.endpoint_id: attrs.evolve(
            one.membership, state=endpoints.MemberState.OPEN
        )
        for one in heads
    }
    assert not reconcile_repeatedly(registry, current=current)
