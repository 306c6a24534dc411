"""A process that has just started and takes the lease knows no history."""

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
    """Notes who is told to join; nobody answers questions."""

    joins: list = attrs.field(factory=list)

    async def join(self, endpoint, replica, epoch, member_ids):
        self.joins.append(endpoint.endpoint_id)
        return endpoint_orders.OrderResult.ACCEPTED

    async def report(self, endpoint):
        return None


def member(number):
    """The second member of a replica whose head isn't listed."""
    return members.make_member(
        f'e{number}', number, 1, endpoints.MemberState.READY
    )


def reconcile(registry, change=lambda made: None):
    """Let a new holder look at the fleet a few times; return who joined.

    change is called once the controller knows the engine.
    """
    client = Client()

    async def main():
        async with anyio.create_task_group() as group:
            made = controller.Controller(
                'engine',
                registry,
                serving.ServingTable(registry),
                client,
                endpoint_prober.EndpointProber(client),
                group,
                lambda: True,
                lambda service, model: 0,
            )
            made.has_served = True
            made.configure(ENGINE)
            change(made)
            for _ in range(5):
                made.reconcile(ENGINE)
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(main)
    return client.joins


def test_members_of_heads_that_are_not_back_yet_stay_where_they_are():
    """No VM is in two replicas after an outage of the store.

    Entries lapsed with the store and return one by one within two seconds.
    The holder was killed meanwhile; its next process is told of the members
    first, takes the lease at once and looks at the fleet. Both heads live,
    are open, and are not listed yet.
    """
    registry = registry_module.Registry()
    registry.live = {f'e{number}': member(number) for number in (1, 2)}
    assert not reconcile(registry)


def test_members_stay_if_their_replica_may_have_opened_unseen():
    """No VM is in two replicas when a replica opens just before an outage.

    The next holder of the lease saw two replicas while their members joined.
    The store went away, both were opened meanwhile, and the entries of the
    members are back before those of the heads.
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

    def lose_heads(made):
        registry.live = {
            one.endpoint_id: one for one in seen if one.membership.rank == 1
        }
        made.record_fleet_state()

    assert not reconcile(registry, lose_heads)
