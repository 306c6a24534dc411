"""The administration API over HTTP: routes, tokens, rights and audit."""

import json
import types
import typing

from expression import Error
from starlette import applications, requests, responses, routing

from redwingvalve.administration import (
    actions,
    audit,
    operations,
    rights,
    tokens,
)
from redwingvalve.core import clock, outcomes
from redwingvalve.observability import logs

MAX_BODY_BYTES = 1_500_000
STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_TOO_LARGE = 413
STATUS_SERVER_ERROR = 500
LOGGER = logs.make_logger('administration')
JSON_TYPES = types.MappingProxyType(
    {
        'string': str,
        'boolean': bool,
        'number': (int, float),
        'array': list,
    }
)


class ActionEndpoint:
    """Handles one action: checks token and body, then runs the action."""

    def __init__(self, action: actions.Action, api: 'Api') -> None:
        """Serve action with the shared parts of api."""
        self._action = action
        self._api = api

    async def __call__(self, request: requests.Request) -> responses.Response:
        """Handle a request; a refused request changes nothing."""
        principal = self._api.principal(request)
        if principal is None:
            return _error_response(
                STATUS_UNAUTHORIZED,
                'no-token',
                'a valid bearer token is required',
            )
        body, invalid = await _read_body(request, self._action)
        if invalid is not None:
            return _error(invalid)
        path = {
            name: request.path_params[name]
            for name in actions.path_names(self._action)
        }
        call = operations.Call(principal, path, body)
        try:
            answer = await self._api.run(self._action, call)
        except Exception:
            LOGGER.exception('%s failed.', self._action.name)
            # The error may have occurred after a successful write.
            return _error(
                operations.OperationError(
                    STATUS_SERVER_ERROR,
                    'internal',
                    'internal error; see the log of the controller',
                    outcome=outcomes.Outcome.UNKNOWN,
                )
            )
        if answer.is_error():
            return _error(answer.error)
        return responses.JSONResponse(answer.ok)


class Api:
    """Authenticates, authorizes, audits and runs actions."""

    def __init__(
        self,
        runner: operations.Operations,
        token_cache: tokens.TokenCache,
        trail: audit.AuditTrail,
        time_source: clock.Clock,
    ) -> None:
        """Run actions with runner."""
        self._runner = runner
        self._token_cache = token_cache
        self._trail = trail
        self._clock = time_source

    def principal(self, request: requests.Request) -> rights.Principal | None:
        """Return the principal of the bearer token, or None."""
        scheme, _, bearer = request.headers.get('authorization', '').partition(
            ' '
        )
        if scheme.lower() != 'bearer':
            return None
        return self._token_cache.principal(bearer.strip(), self._clock.wall_s())

    async def run(
        self, action: actions.Action, call: operations.Call
    ) -> operations.Answer:
        """Check the right and run the action; audit it if it is a change."""
        if not action.changes:
            permission = rights.check_right(call.principal, action.right)
            if permission.is_error():
                return _refused(permission.error)
            return await self._runner.run(action.name, call)
        return await self._run_audited(action, call)

    async def _run_audited(
        self, action: actions.Action, call: operations.Call
    ) -> operations.Answer:
        target = call.path.get('name', '') or str(call.body.get('name', ''))
        started = await self._trail.begin(call.principal, action.name, target)
        if started.is_error():
            return Error(operations.store_error(started.error))
        permission = rights.check_right(call.principal, action.right)
        answer = (
            _refused(permission.error)
            if permission.is_error()
            else await self._runner.run(action.name, call)
        )
        detail = answer.error.message if answer.is_error() else ''
        result = 'refused' if answer.is_error() else 'done'
        await self._trail.finish(started.ok, result, detail)
        LOGGER.info(
            '%s %s %s was %s.', call.principal.name, action.name, target, result
        )
        return answer


def make_api_app(api: Api) -> applications.Starlette:
    """Return the ASGI app of the administration API."""
    routes = [
        routing.Route(
            f'{actions.BASE_PATH}{action.path}',
            _endpoint(ActionEndpoint(action, api)),
            methods=[action.method],
        )
        for action in actions.ALL
    ]
    routes.append(routing.Route('/openapi.json', _openapi, methods=['GET']))
    routes.append(routing.Route('/healthz', _health, methods=['GET']))
    return applications.Starlette(routes=routes)


def _endpoint(
    action_endpoint: ActionEndpoint,
) -> typing.Callable[[requests.Request], typing.Awaitable[responses.Response]]:
    async def endpoint(request: requests.Request) -> responses.Response:
        return await action_endpoint(request)

    return endpoint


async def _openapi(request: requests.Request) -> responses.Response:
    return responses.JSONResponse(actions.openapi())


async def _health(request: requests.Request) -> responses.Response:
    return responses.JSONResponse({'ok': True})


async def _read_body(
    request: requests.Request, action: actions.Action
) -> tuple[dict[str, typing.Any], operations.OperationError | None]:
    if not action.fields:
        return {}, None
    size_bytes = 0
    chunks: list[bytes] = []
    async for chunk in request.stream():
        size_bytes += len(chunk)
        if size_bytes > MAX_BODY_BYTES:
            return {}, _invalid_body(
                STATUS_TOO_LARGE, f'more than {MAX_BODY_BYTES} bytes'
            )
        chunks.append(chunk)
    try:
        body = json.loads(b''.join(chunks))
    except (ValueError, RecursionError) as error:
        return {}, _invalid_body(STATUS_BAD_REQUEST, f'not JSON: {error}')
    if not isinstance(body, dict):
        return {}, _invalid_body(STATUS_BAD_REQUEST, 'expected a JSON object')
    return body, _check_fields(body, action)


def _check_fields(
    body: dict[str, typing.Any], action: actions.Action
) -> operations.OperationError | None:
    problems = [
        f'unknown field {name!r}'
        for name in sorted(body)
        if name not in {field.name for field in action.fields}
    ]
    for field in action.fields:
        if field.name not in body:
            if field.required:
                problems.append(f'the field {field.name!r} is missing')
            continue
        if not isinstance(body[field.name], JSON_TYPES[field.kind]):
            problems.append(f'{field.name!r} must be of type {field.kind}')
    if not problems:
        return None
    return _invalid_body(STATUS_BAD_REQUEST, '; '.join(problems))


def _invalid_body(status: int, message: str) -> operations.OperationError:
    return operations.OperationError(
        status, 'bad-request', f'request body: {message}'
    )


def _refused(missing: rights.MissingRight) -> operations.Answer:
    return Error(operations.missing_right(missing))


def _error_response(status: int, code: str, message: str) -> responses.Response:
    return _error(operations.OperationError(status, code, message))


def _error(error: operations.OperationError) -> responses.Response:
    headers = {}
    if error.retry_after_s:
        headers['retry-after'] = str(max(1, round(error.retry_after_s)))
    return responses.JSONResponse(
        error.body(), status_code=error.status, headers=headers
    )
