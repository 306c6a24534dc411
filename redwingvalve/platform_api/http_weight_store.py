"""The weight store over HTTP."""

import httpx
from expression import Error, Ok, Result

from redwingvalve.platform_api import (
    http_responses,
    limited_clients,
    object_api,
    weight_store,
)


class HttpWeightStore(weight_store.WeightStore):
    """A client of the weight store at one URL."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        """Use client, which has the timeout."""
        self._url = f'{url.rstrip("/")}/loads'
        self._client = client

    async def reserve_load(
        self, model: str, version: str
    ) -> Result[weight_store.LoadTicket, object_api.Unavailable]:
        """Reserve one load; Unavailable has the time after which to retry."""
        request_body = {'model': model, 'version': version}
        try:
            response = await self._client.post(self._url, json=request_body)
            return _decode_ticket(response)
        except http_responses.INVALID_RESPONSE_ERRORS as error:
            return _unavailable(f'the weight store is unavailable: {error!r}')


def make_http_weight_store(url: str, timeout_s: float) -> HttpWeightStore:
    """Return a client of the weight store at url."""
    return HttpWeightStore(url, limited_clients.make_client(timeout_s))


def _decode_ticket(
    response: httpx.Response,
) -> Result[weight_store.LoadTicket, object_api.Unavailable]:
    if response.status_code == http_responses.STATUS_TOO_MANY:
        return _unavailable(
            'the rate limit of the weight store is reached',
            http_responses.retry_after_s(response),
        )
    response.raise_for_status()
    ticket = response.json()
    return Ok(
        weight_store.LoadTicket(
            str(ticket['ticket']), float(ticket['expires_after_s'])
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
