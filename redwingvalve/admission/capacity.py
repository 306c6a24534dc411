"""The capacity of one entry, derived from the declaration."""

from redwingvalve.admission import messages
from redwingvalve.declaration import schema

# With n streams, each gets a token every n / tokens_per_s seconds. Half of the
# gap target leaves room for prompts between the steps; the queue raises the
# limit where the engine is faster.
BATCH_SHARE = 0.5
# The cost unit of a service is one millisecond of one slot.
SLOT_MS_PER_S = 1000.0


def make_model_capacity(
    deployment: schema.ModelDeployment, live_replicas: int, entry_share: float
) -> messages.Capacity:
    """Return the capacity of an entry, its share (0 to 1) of a deployment."""
    speed = deployment.tokens_per_s_per_replica * live_replicas * entry_share
    streams = speed * deployment.token_gap_target_s * BATCH_SHARE
    return messages.Capacity(in_flight=streams, tokens_per_s=speed)


def make_service_capacity(
    service: schema.PlainService,
) -> messages.Capacity:
    """Return the capacity of one entry at a plain service.

    The declared limit applies to each entry. A service has a few addresses and
    the fleet hundreds of entries: divided between them, an entry with many
    callers would have one slot while those of the others are idle.
    """
    calls = service.max_in_flight_per_address * len(service.addresses)
    return messages.Capacity(
        in_flight=calls, tokens_per_s=calls * SLOT_MS_PER_S
    )
