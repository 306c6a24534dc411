"""The weight store over HTTP."""

import httpx
from expression import Error, Ok, Result

from redwingvalve.platform_api import (
    http_responses,
    object_api,
    weight_store,
)


class HttpWeightStore(weight_store.WeightStore):
    """Reserves loads at one URL."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        """Use client, which carries the timeout."""
        self._url = f'{url.rstrip("/")}/loads'
        self._client = client

    async def reserve_load(
        self, model: str, version: str
    ) -> Result[weight_store.LoadTicket, object_api.Unavailable]:
        """Reserve one load; Unavailable tells when to come back."""
        wanted = {'model': model, 'version': version}
        try:
            answer = await self._client.post(self._url, json=wanted)
            return _read(answer)
        except http_responses.UNREADABLE as error:
            return _unavailable(f'the weight store is away: {error!r}')


def make_http_weight_store(url: str, timeout_s: float) -> HttpWeightStore:
    """Return a client of the weight store at url."""
    return HttpWeightStore(url, httpx.AsyncClient(timeout=timeout_s))


def _read(
    answer: httpx.Response,
) -> Result[weight_store.LoadTicket, object_api.Unavailable]:
    if answer.status_code == http_responses.STATUS_TOO_MANY:
        return _unavailable(
            'the rate limit of the weight store is reached',
            http_responses.retry_after_s(answer),
        )
    answer.raise_for_status()
    granted = answer.json()
    return Ok(
        weight_store.LoadTicket(
            str(granted['ticket']), float(granted['expires_after_s'])
        )
    )


def _unavailable(
    message: str,
    retry_after_s: float = http_responses.DEFAULT_RETRY_AFTER_S,
) -> Result[weight_store.LoadTicket, object_api.Unavailable]:
    return Error(
        object_api.Unavailable(
            message, maybe_applied=False, retry_after_s=retry_after_s
        )
    )
