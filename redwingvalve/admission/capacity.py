"""What one entry may use, worked out from the declaration."""

from redwingvalve.admission import messages
from redwingvalve.declaration import schema

# With n streams each gets a token every n / tokens_per_s seconds. Half of the
# gap target leaves room for prompts between the steps; the queue raises the
# bound where the engine does better.
BATCH_SHARE = 0.5
# Speed of a service until it is measured: calls of a tenth of a second.
SERVICE_CALL_S = 0.1


def make_model_capacity(
    deployment: schema.ModelDeployment, live_replicas: int, part: float
) -> messages.Capacity:
    """Return an entry's part of a deployment, a share between 0 and 1."""
    speed = deployment.tokens_per_s_per_replica * live_replicas * part
    streams = speed * deployment.token_gap_target_s * BATCH_SHARE
    return messages.Capacity(in_flight=streams, tokens_per_s=speed)


def make_service_capacity(
    service: schema.PlainService, part: float
) -> messages.Capacity:
    """Return an entry's part of a plain service; a call is one token."""
    calls = service.max_in_flight_per_address * len(service.addresses) * part
    return messages.Capacity(
        in_flight=calls, tokens_per_s=calls / SERVICE_CALL_S
    )
