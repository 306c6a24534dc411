"""Calls the administration API for the command line."""

import ssl
import typing

import attrs
import httpx
from expression import Error, Ok, Result

from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status

API_VARIABLE = 'REDWINGVALVE_API'
TOKEN_VARIABLE = 'REDWINGVALVE_TOKEN'
DEFAULT_API = 'http://127.0.0.1:8181'
TIMEOUT_S = 10.0
STATUS_BAD_REQUEST = 400
STATUS_UNPROCESSABLE = 422
STATUS_SERVER_ERROR = 500

API = options.Option(
    dest='api',
    flags=('--api',),
    help=f'URL of the administration API (else ${API_VARIABLE})',
)
TOKEN = options.Option(
    dest='token',
    flags=('--token',),
    help=f'bearer token (else ${TOKEN_VARIABLE})',
)
AUTHORITY = options.Option(
    dest='authority_file',
    flags=('--authority-file',),
    help='PEM file of the authority that signed the API certificate',
)
COMMON = (API, TOKEN, AUTHORITY, options.OUTPUT)


@attrs.frozen
class CallFailed:
    """What the person is told, and the exit status that fits."""

    status: exit_status.ExitStatus
    message: str


Answer = Result[typing.Any, CallFailed]


@attrs.frozen
class ApiClient:
    """One administration API and the token to use there."""

    base_url: str
    token: str
    authority_file: str = ''

    def get(self, path: str) -> Answer:
        """Read something."""
        return self._call('GET', path, None)

    def post(self, path: str, body: typing.Any) -> Answer:
        """Ask for an action."""
        return self._call('POST', path, body)

    def _call(self, method: str, path: str, body: typing.Any) -> Answer:
        url = f'{self.base_url.rstrip("/")}/admin/v1{path}'
        headers = {'authorization': f'Bearer {self.token}'}
        try:
            answer = httpx.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=TIMEOUT_S,
                verify=self._verify(),
            )
        except (httpx.HTTPError, OSError, httpx.InvalidURL) as error:
            return Error(
                CallFailed(
                    exit_status.ExitStatus.UNREACHABLE,
                    f'{self.base_url} cannot be reached: {error}',
                )
            )
        return _read(answer)

    def _verify(self) -> ssl.SSLContext | bool:
        if not self.authority_file:
            return True
        return ssl.create_default_context(cafile=self.authority_file)


def make_api_client(
    arguments: typing.Any, surroundings: environment.Environment
) -> ApiClient:
    """Return a client from options first, variables second."""
    variables = surroundings.variables
    return ApiClient(
        arguments.api or variables.get(API_VARIABLE, DEFAULT_API),
        arguments.token or variables.get(TOKEN_VARIABLE, ''),
        arguments.authority_file or '',
    )


def _read(answer: httpx.Response) -> Answer:
    try:
        body = answer.json()
    except ValueError:
        body = {'error': {'message': answer.text[:200]}}
    if answer.status_code < STATUS_BAD_REQUEST:
        return Ok(body)
    return Error(CallFailed(_exit_status(answer.status_code), _message(body)))


def _message(body: typing.Any) -> str:
    if not isinstance(body, dict) or 'error' not in body:
        return str(body)
    error = body['error']
    found = error.get('findings')
    if found:
        return '\n'.join(str(line) for line in found)
    return str(error.get('message', error))


def _exit_status(http_status: int) -> exit_status.ExitStatus:
    if http_status == STATUS_UNPROCESSABLE:
        return exit_status.ExitStatus.FINDINGS
    if http_status >= STATUS_SERVER_ERROR:
        return exit_status.ExitStatus.UNREACHABLE
    return exit_status.ExitStatus.REFUSED
