"""What one entry may use, worked out from the declaration."""

from redwingvalve.admission import messages
from redwingvalve.declaration import schema

# With n streams each gets a token every n / tokens_per_s seconds. Half of the
# gap target leaves room for prompts between the steps; the queue raises the
# bound where the engine does better.
BATCH_SHARE = 0.5
# A service's tokens are milliseconds for which calls hold their places.
PLACE_MS_PER_S = 1000.0


def make_model_capacity(
    deployment: schema.ModelDeployment, live_replicas: int, part: float
) -> messages.Capacity:
    """Return an entry's part of a deployment, a share between 0 and 1."""
    speed = deployment.tokens_per_s_per_replica * live_replicas * part
    streams = speed * deployment.token_gap_target_s * BATCH_SHARE
    return messages.Capacity(in_flight=streams, tokens_per_s=speed)


def make_service_capacity(
    service: schema.PlainService,
) -> messages.Capacity:
    """Return what one entry may have in flight at a plain service.

    The declared bound is one entry's. Parts of it would leave an entry with
    many callers one place while the others idle, for a service has a few
    addresses and the fleet hundreds of entries.
    """
    calls = service.max_in_flight_per_address * len(service.addresses)
    return messages.Capacity(
        in_flight=calls, tokens_per_s=calls * PLACE_MS_PER_S
    )
