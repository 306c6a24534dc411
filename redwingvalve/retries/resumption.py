"""How an interrupted stream goes on elsewhere: recompute or move its KV cache.

Recomputing costs the prompt and the delivered tokens at prefill speed, less
what the new endpoint has cached. Moving costs the export, the transfer and the
import of the KV cache. A dead endpoint can't export, so moving is for planned
stops and for endpoints that still answer.
"""

import enum

import attrs

# Fixed cost of an export and an import: two HTTP exchanges and the engine's
# pause between steps, of the order of a few tens of milliseconds.
MOVE_OVERHEAD_S = 0.05
# A quarter in favour of recomputing, which needs no help of the old endpoint.
MOVE_MARGIN = 1.25


class Way(enum.StrEnum):
    """How the new endpoint gets the state of a stream."""

    RECOMPUTE = 'recompute'
    MOVE_KV = 'move-kv'


@attrs.frozen
class StreamState:
    """How far a stream has come."""

    prompt_tokens: int
    delivered_tokens: int


@attrs.frozen
class MoveCosts:
    """What the engines and the network between them can do."""

    prefill_tokens_per_s: float = 20000.0
    kv_bytes_per_token: float = 160_000.0
    bandwidth_bytes_per_s: float = 1.25e9
    cached_tokens: int = 0
    source_answers: bool = False


@attrs.frozen
class ResumptionPlan:
    """Where to go on, and the delay that it will cost.

    skip_tokens have been delivered already: the new endpoint goes on after
    them, and what repeats them is dropped and never delivered.
    """

    way: Way
    skip_tokens: int
    delay_s: float


def plan_resumption(stream: StreamState, costs: MoveCosts) -> ResumptionPlan:
    """Return the cheaper way to go on."""
    tokens = stream.prompt_tokens + stream.delivered_tokens
    fresh = max(tokens - costs.cached_tokens, 0)
    recompute_s = fresh / costs.prefill_tokens_per_s
    move_bytes = tokens * costs.kv_bytes_per_token
    move_s = MOVE_OVERHEAD_S + move_bytes / costs.bandwidth_bytes_per_s
    if costs.source_answers and move_s * MOVE_MARGIN < recompute_s:
        return ResumptionPlan(Way.MOVE_KV, stream.delivered_tokens, move_s)
    return ResumptionPlan(Way.RECOMPUTE, stream.delivered_tokens, recompute_s)
