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
    """Answers one action: token, body, right, audit, then the operation."""

    def __init__(self, action: actions.Action, surroundings: 'Api') -> None:
        """Serve action with what the API shares."""
        self._action = action
        self._api = surroundings

    async def __call__(self, request: requests.Request) -> responses.Response:
        """Answer one request; a refused one changes nothing."""
        principal = self._api.principal(request)
        if principal is None:
            return _problem(
                STATUS_UNAUTHORIZED,
                'no-token',
                'a valid bearer token is needed',
            )
        body, spoilt = await _read_body(request, self._action)
        if spoilt is not None:
            return _error(spoilt)
        path = {
            name: request.path_params[name]
            for name in actions.path_names(self._action)
        }
        call = operations.Call(principal, path, body)
        try:
            answer = await self._api.run(self._action, call)
        except Exception:
            LOGGER.exception('%s failed.', self._action.name)
            # The fault may have come after a write that stands.
            return _error(
                operations.OperationError(
                    STATUS_SERVER_ERROR,
                    'internal',
                    'see the log of the controller',
                    outcome=outcomes.Outcome.UNKNOWN,
                )
            )
        if answer.is_error():
            return _error(answer.error)
        return responses.JSONResponse(answer.ok)


class Api:
    """What every action needs."""

    def __init__(
        self,
        doer: operations.Operations,
        token_cache: tokens.TokenCache,
        trail: audit.AuditTrail,
        time_source: clock.Clock,
    ) -> None:
        """Serve the operations of doer."""
        self._doer = doer
        self._token_cache = token_cache
        self._trail = trail
        self._clock = time_source

    def principal(self, request: requests.Request) -> rights.Principal | None:
        """Return who calls, by the bearer token."""
        scheme, _, bearer = request.headers.get('authorization', '').partition(
            ' '
        )
        if scheme.lower() != 'bearer':
            return None
        return self._token_cache.principal(bearer.strip(), self._clock.wall_s())

    async def run(
        self, action: actions.Action, call: operations.Call
    ) -> operations.Answer:
        """Check the right, write the audit entry and do the action."""
        if not action.changes:
            allowed = rights.check_right(call.principal, action.right)
            if allowed.is_error():
                return _refused(allowed.error)
            return await self._doer.run(action.name, call)
        return await self._run_audited(action, call)

    async def _run_audited(
        self, action: actions.Action, call: operations.Call
    ) -> operations.Answer:
        target = call.path.get('name', '') or str(call.body.get('name', ''))
        begun = await self._trail.begin(call.principal, action.name, target)
        if begun.is_error():
            return Error(operations.store_error(begun.error))
        allowed = rights.check_right(call.principal, action.right)
        answer = (
            _refused(allowed.error)
            if allowed.is_error()
            else await self._doer.run(action.name, call)
        )
        detail = answer.error.message if answer.is_error() else ''
        word = 'refused' if answer.is_error() else 'done'
        await self._trail.finish(begun.ok, word, detail)
        LOGGER.info(
            '%s %s %s was %s.', call.principal.name, action.name, target, word
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
    served: ActionEndpoint,
) -> typing.Callable[[requests.Request], typing.Awaitable[responses.Response]]:
    async def endpoint(request: requests.Request) -> responses.Response:
        return await served(request)

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
    parts: list[bytes] = []
    async for part in request.stream():
        size_bytes += len(part)
        if size_bytes > MAX_BODY_BYTES:
            return {}, _spoilt(
                STATUS_TOO_LARGE, f'more than {MAX_BODY_BYTES} bytes'
            )
        parts.append(part)
    try:
        body = json.loads(b''.join(parts))
    except (ValueError, RecursionError) as error:
        return {}, _spoilt(STATUS_BAD_REQUEST, f'not JSON: {error}')
    if not isinstance(body, dict):
        return {}, _spoilt(STATUS_BAD_REQUEST, 'a JSON object is wanted')
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
    return _spoilt(STATUS_BAD_REQUEST, '; '.join(problems))


def _spoilt(status: int, message: str) -> operations.OperationError:
    return operations.OperationError(
        status, 'bad-request', f'request body: {message}'
    )


def _refused(missing: rights.MissingRight) -> operations.Answer:
    return Error(operations.missing_right(missing))


def _problem(status: int, code: str, message: str) -> responses.Response:
    return _error(operations.OperationError(status, code, message))


def _error(error: operations.OperationError) -> responses.Response:
    headers = {}
    if error.retry_after_s:
        headers['retry-after'] = str(max(1, round(error.retry_after_s)))
    return responses.JSONResponse(
        error.body(), status_code=error.status, headers=headers
    )
