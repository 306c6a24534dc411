"""Operator clients that plan and confirm, alone or concurrently."""

import contextlib
import hashlib
import typing

import anyio
import attrs
import httpx
import yaml

from redwingvalve.administration import actions, rights, tokens
from redwingvalve.platform_api import object_api

TIMEOUT_S = 6.0
OK_STATUS = 200
CREDENTIAL = 'soak-callers'
PROBE_ACCOUNT = 'probe'
DEPLOYMENT = 'quotes'
MODEL = 'quote-writer'
PREFIX = '/records/'
NON_IDEMPOTENT = '/records/job-cards'


@attrs.frozen
class DeclarationSpec:
    """The values that vary between declarations; number is in a credential."""

    number: int
    version: str = '1'
    replicas: int = 4

    @property
    def probe_credential(self) -> str:
        """Return the credential that only this declaration accepts."""
        return f'probe-{self.number}'


@attrs.frozen
class Confirmation:
    """The result of a confirmation; status is 0 without a response."""

    spec: DeclarationSpec
    plan: str
    status: int
    message: str


def digest_of(credential: str) -> str:
    """Return the digest of a credential that a declaration contains."""
    return hashlib.sha256(credential.encode()).hexdigest()


def make_declaration(
    spec: DeclarationSpec,
    service_addresses: tuple[str, ...],
    load_time_s: float,
) -> str:
    """Return the YAML text of a declaration."""
    deployment: dict[str, typing.Any] = {
        'name': DEPLOYMENT,
        'model': MODEL,
        'version': spec.version,
        'replicas': spec.replicas,
        'vms_per_replica': 4,
        'floor_replicas': 2,
        'accepts_change_in_place': True,
        'load_time_s': load_time_s,
    }
    service = {
        'name': 'records',
        'path_prefix': PREFIX,
        'addresses': list(service_addresses),
        'non_idempotent_paths': [NON_IDEMPOTENT],
    }
    accounts = [
        _account('callers', CREDENTIAL),
        _account(PROBE_ACCOUNT, spec.probe_credential),
    ]
    return yaml.safe_dump(
        {
            'operator': 'soak',
            'deployments': [deployment],
            'services': [service],
            'client_accounts': accounts,
        }
    )


def _account(name: str, credential: str) -> dict[str, typing.Any]:
    return {
        'name': name,
        'credential_sha256': digest_of(credential),
        'priority': 5,
        'deployments': [DEPLOYMENT],
    }


class Operator:
    """Calls the administration API of one controller."""

    def __init__(self, address: str, bearer: str) -> None:
        """Use a bearer token at host:port."""
        self._base_url = f'http://{address}{actions.BASE_PATH}'
        self._headers = {'authorization': f'Bearer {bearer}'}

    async def plan(self, declaration: str) -> tuple[str, str]:
        """Return the name of the plan, or an empty name and the reason."""
        answer = await self._post('/plans', {'declaration': declaration})
        if answer is None:
            return '', 'no answer'
        if answer.status_code != OK_STATUS:
            return '', answer.text[:200]
        return str(answer.json()['name']), ''

    async def confirm(self, spec: DeclarationSpec, plan: str) -> Confirmation:
        """Confirm a plan."""
        answer = await self._post(f'/plans/{plan}/confirm', {})
        if answer is None:
            return Confirmation(spec, plan, 0, 'no answer')
        return Confirmation(spec, plan, answer.status_code, answer.text[:200])

    async def reachable(self) -> bool:
        """Tell whether the API accepts requests with this token."""
        with contextlib.suppress(httpx.HTTPError):
            async with httpx.AsyncClient(
                headers=self._headers, timeout=TIMEOUT_S
            ) as client:
                answer = await client.get(f'{self._base_url}/status')
                return answer.status_code == OK_STATUS
        return False

    async def _post(
        self, path: str, body: dict[str, typing.Any]
    ) -> httpx.Response | None:
        with contextlib.suppress(httpx.HTTPError):
            async with httpx.AsyncClient(
                headers=self._headers, timeout=TIMEOUT_S
            ) as client:
                return await client.post(f'{self._base_url}{path}', json=body)
        return None


async def race(
    contenders: list[tuple[Operator, DeclarationSpec, str]],
) -> list[Confirmation]:
    """Create plans one after the other and confirm them concurrently."""
    planned = []
    for operator, spec, declaration in contenders:
        name, _ = await operator.plan(declaration)
        if name:
            planned.append((operator, spec, name))
    tried: list[Confirmation] = []

    async def confirm(
        operator: Operator, spec: DeclarationSpec, name: str
    ) -> None:
        tried.append(await operator.confirm(spec, name))

    async with anyio.create_task_group() as group:
        for operator, spec, name in planned:
            group.start_soon(confirm, operator, spec, name)
    return tried


async def issue_token(store: object_api.ObjectApi) -> str:
    """Store an administrator token and return its bearer secret."""
    issued = tokens.issue('soak', 'soak', rights.Role.ADMINISTRATOR)
    await store.create(
        tokens.KIND, issued.record.token_id, tokens.encode(issued.record)
    )
    return issued.bearer
