"""Client of the administration API, for the demo."""

import typing
from collections import abc as collections_abc

import anyio
import httpx

from redwingvalve.administration import actions, rights, tokens
from redwingvalve.platform_api import object_api

POLL_INTERVAL_S = 0.1
WAIT_TIMEOUT_S = 60.0


class DemoOperator:
    """An administrator who uses one administration API."""

    def __init__(self, api_address: str, bearer: str) -> None:
        """Call the API at host:port with a bearer token."""
        self._base_url = f'http://{api_address}{actions.BASE_PATH}'
        self._headers = {'authorization': f'Bearer {bearer}'}

    async def plan(self, declaration: str, file_name: str) -> typing.Any:
        """Create a plan from a declaration."""
        body = {'declaration': declaration, 'file_name': file_name}
        return await self._call('POST', '/plans', body)

    async def confirm(self, plan_name: str) -> typing.Any:
        """Confirm a plan."""
        return await self._call('POST', f'/plans/{plan_name}/confirm', {})

    async def drain(self, kind: str, name: str) -> typing.Any:
        """Drain a vm, replica or entry."""
        return await self._call('POST', '/drains', {'kind': kind, 'name': name})

    async def status(self) -> typing.Any:
        """Return what is serving and what is at risk."""
        return await self._call('GET', '/status')

    async def replicas(self) -> typing.Any:
        """Return all replicas."""
        return await self._call('GET', '/replicas')

    async def wait_until_reachable(self) -> None:
        """Wait until the API accepts the token, or raise TimeoutError."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                try:
                    await self.status()
                except httpx.HTTPError:
                    await anyio.sleep(POLL_INTERVAL_S)
                else:
                    return

    async def wait_until_serving(self, deployment: str, replicas: int) -> None:
        """Wait until enough replicas serve, or raise TimeoutError."""

        def serving(status: typing.Any) -> bool:
            return any(
                row['name'] == deployment and row['serving'] >= replicas
                for row in status['deployments']
            )

        await self._wait_until(serving)

    async def wait_until_listed(self, vms: int) -> None:
        """Wait until the controllers have seen at least so many VMs.

        A plan that is created while VMs are still being discovered would be
        outdated by the time it is confirmed.
        """

        def listed(status: typing.Any) -> bool:
            return sum(row['vms'] for row in status['domains']) >= vms

        await self._wait_until(listed)

    async def _wait_until(
        self, holds: collections_abc.Callable[[typing.Any], bool]
    ) -> None:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not holds(await self.status()):
                await anyio.sleep(POLL_INTERVAL_S)

    async def _call(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        async with httpx.AsyncClient(headers=self._headers) as client:
            response = await client.request(
                method, f'{self._base_url}{path}', json=body
            )
        response.raise_for_status()
        return response.json()


async def issue_first_token(store: object_api.ObjectApi) -> str:
    """Store the first administrator token and return its bearer."""
    issued = tokens.issue('demo', 'demo', rights.Role.ADMINISTRATOR)
    await store.create(
        tokens.KIND, issued.record.token_id, tokens.encode(issued.record)
    )
    return issued.bearer
