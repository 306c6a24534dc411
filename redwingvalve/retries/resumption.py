"""Resumes an interrupted stream elsewhere: recompute or move its KV cache.

Recomputing costs the prompt and the delivered tokens at prefill speed, less the
tokens that the new endpoint has cached. Moving costs the export, transfer and
import of the KV cache. A failed endpoint can't export, so moving is used for
planned stops and for endpoints that still respond.
"""

import enum

import attrs

# Fixed cost of an export and an import: two HTTP requests and the pause of the
# engine between steps, a few tens of milliseconds in all.
MOVE_OVERHEAD_S = 0.05
# Moving must be faster by a quarter, since recomputing doesn't depend on the
# old endpoint.
MOVE_MARGIN = 1.25


class ResumptionMethod(enum.StrEnum):
    """How the new endpoint obtains the state of a stream."""

    RECOMPUTE = 'recompute'
    MOVE_KV = 'move-kv'


@attrs.frozen
class StreamState:
    """Progress of a stream."""

    prompt_tokens: int
    delivered_tokens: int


@attrs.frozen
class MoveCosts:
    """Performance of the engines and of the network between them."""

    prefill_tokens_per_s: float = 20000.0
    kv_bytes_per_token: float = 160_000.0
    bandwidth_bytes_per_s: float = 1.25e9
    cached_tokens: int = 0
    source_answers: bool = False


@attrs.frozen
class ResumptionPlan:
    """How and where to resume, and the expected delay.

    skip_tokens have been delivered already: the new endpoint continues after
    them, and tokens that repeat them are dropped and never delivered.
    """

    method: ResumptionMethod
    skip_tokens: int
    delay_s: float


def plan_resumption(stream: StreamState, costs: MoveCosts) -> ResumptionPlan:
    """Return the faster way to resume a stream."""
    tokens = stream.prompt_tokens + stream.delivered_tokens
    uncached_tokens = max(tokens - costs.cached_tokens, 0)
    recompute_s = uncached_tokens / costs.prefill_tokens_per_s
    move_bytes = tokens * costs.kv_bytes_per_token
    move_s = MOVE_OVERHEAD_S + move_bytes / costs.bandwidth_bytes_per_s
    if costs.source_answers and move_s * MOVE_MARGIN < recompute_s:
        return ResumptionPlan(
            ResumptionMethod.MOVE_KV, stream.delivered_tokens, move_s
        )
    return ResumptionPlan(
        ResumptionMethod.RECOMPUTE, stream.delivered_tokens, recompute_s
    )
