"""The platform's rate-limited store of model weights."""

import abc

import attrs
from expression import Result

from redwingvalve.platform_api import object_api


@attrs.frozen
class LoadTicket:
    """Permission to start one load within expires_after_s."""

    ticket: str
    expires_after_s: float


class WeightStore(abc.ABC):
    """Grants loads at a limited rate."""

    @abc.abstractmethod
    async def reserve_load(
        self, model: str, version: str
    ) -> Result[LoadTicket, object_api.Unavailable]:
        """Reserve one load; Unavailable has the time after which to retry."""
