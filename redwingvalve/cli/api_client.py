"""HTTP client of the administration API."""

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
    help=f'URL of the administration API (default: ${API_VARIABLE})',
)
TOKEN = options.Option(
    dest='token',
    flags=('--token',),
    help=f'bearer token (default: ${TOKEN_VARIABLE})',
)
CA_FILE = options.Option(
    dest='authority_file',
    flags=('--authority-file',),
    help='PEM file of the CA that signed the certificate of the API',
)
COMMON_OPTIONS = (API, TOKEN, CA_FILE, options.OUTPUT)


@attrs.frozen
class ApiError:
    """A failed call: the message to print and the exit status."""

    status: exit_status.ExitStatus
    message: str


ApiResult = Result[typing.Any, ApiError]


@attrs.frozen
class ApiClient:
    """Sends requests to one administration API with a bearer token."""

    base_url: str
    token: str
    authority_file: str = ''

    def get(self, path: str) -> ApiResult:
        """Send a GET request."""
        return self._send('GET', path, None)

    def post(self, path: str, body: typing.Any) -> ApiResult:
        """Send a POST request with a JSON body."""
        return self._send('POST', path, body)

    def _send(self, method: str, path: str, body: typing.Any) -> ApiResult:
        url = f'{self.base_url.rstrip("/")}/admin/v1{path}'
        headers = {'authorization': f'Bearer {self.token}'}
        try:
            response = httpx.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=TIMEOUT_S,
                verify=self._verify(),
            )
        except (httpx.HTTPError, OSError, httpx.InvalidURL) as error:
            return Error(
                ApiError(
                    exit_status.ExitStatus.UNREACHABLE,
                    f'{self.base_url} cannot be reached: {error}',
                )
            )
        return _parse_response(response)

    def _verify(self) -> ssl.SSLContext | bool:
        if not self.authority_file:
            return True
        return ssl.create_default_context(cafile=self.authority_file)


def make_api_client(
    arguments: typing.Any, surroundings: environment.Environment
) -> ApiClient:
    """Return a client; options take precedence over environment variables."""
    variables = surroundings.variables
    return ApiClient(
        arguments.api or variables.get(API_VARIABLE, DEFAULT_API),
        arguments.token or variables.get(TOKEN_VARIABLE, ''),
        arguments.authority_file or '',
    )


def _parse_response(response: httpx.Response) -> ApiResult:
    try:
        body = response.json()
    except ValueError:
        body = {'error': {'message': response.text[:200]}}
    if response.status_code < STATUS_BAD_REQUEST:
        return Ok(body)
    return Error(ApiError(_exit_status(response.status_code), _message(body)))


def _message(body: typing.Any) -> str:
    if not isinstance(body, dict) or 'error' not in body:
        return str(body)
    error = body['error']
    findings = error.get('findings')
    if findings:
        return '\n'.join(str(line) for line in findings)
    return str(error.get('message', error))


def _exit_status(http_status: int) -> exit_status.ExitStatus:
    if http_status == STATUS_UNPROCESSABLE:
        return exit_status.ExitStatus.FINDINGS
    if http_status >= STATUS_SERVER_ERROR:
        return exit_status.ExitStatus.UNREACHABLE
    return exit_status.ExitStatus.REFUSED
