"""The VM list over HTTP."""

import cattrs
import httpx
from expression import Error, Ok, Result

from redwingvalve.platform_api import (
    http_responses,
    limited_clients,
    object_api,
    vm_list,
)


class HttpVmList(vm_list.VmList):
    """Reads the list at one URL."""

    def __init__(self, url: str, client: httpx.AsyncClient) -> None:
        """Use client, which has the timeout."""
        self._url = f'{url.rstrip("/")}/vms'
        self._client = client

    async def read(
        self,
    ) -> Result[tuple[vm_list.Vm, ...], object_api.Unavailable]:
        """Return all VMs in the list."""
        try:
            response = await self._client.get(self._url)
            response.raise_for_status()
            return Ok(
                cattrs.structure(response.json()['vms'], tuple[vm_list.Vm, ...])
            )
        except http_responses.INVALID_RESPONSE_ERRORS as error:
            return _unavailable(error)


def make_http_vm_list(url: str, timeout_s: float) -> HttpVmList:
    """Return a reader of the list at url."""
    return HttpVmList(url, limited_clients.make_client(timeout_s))


def _unavailable(
    error: Exception,
) -> Result[tuple[vm_list.Vm, ...], object_api.Unavailable]:
    return Error(
        object_api.Unavailable(
            f'the VM list cannot be read: {error!r}', maybe_applied=False
        )
    )
