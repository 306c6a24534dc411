"""Grants slots for hedges, which no other request needs.

Load pattern: one endpoint is slow while the others have free slots, and bursts
that fill all slots begin a moment later. A hedge runs elsewhere already, so it
never waits, leaves the reserve of the pool to other requests, and goes only to
endpoints that are likely to answer soon.
"""

import attrs

from redwingvalve.allocation import messages
from redwingvalve.allocation import pool as pool_module
from redwingvalve.ingress import load_balancing


def acquire(
    pool: pool_module.SlotPool, sender: messages.Sender, ask: messages.Ask
) -> load_balancing.Target | None:
    """Hold a spare slot for a hedge; None if requests need all slots."""
    if len(pool.queue) or not pool.has_spare_slots():
        return None
    unfit = tuple(
        target.endpoint_id
        for target in pool.targets()
        if not _takes_hedges(pool, target.endpoint_id)
    )
    return pool.acquire(
        sender, attrs.evolve(ask, resting=(*ask.resting, *unfit))
    )


def _takes_hedges(pool: pool_module.SlotPool, endpoint_id: str) -> bool:
    return not (
        pool.limits.is_limited(endpoint_id)
        or pool.cold.endpoints.is_cold(endpoint_id)
        or pool.endpoint_slots.is_slow(endpoint_id)
    )
