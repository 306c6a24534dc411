"""Arguments, errors and the base class of the API's actions."""

import abc
import typing

import attrs
from expression import Error, Result

from redwingvalve.administration import rights
from redwingvalve.core import findings as findings_module
from redwingvalve.core import outcomes
from redwingvalve.platform_api import object_api

STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNPROCESSABLE = 422
STATUS_UNAVAILABLE = 503


@attrs.frozen
class Call:
    """An authenticated call: principal, path parameters, validated body."""

    principal: rights.Principal
    path: dict[str, str]
    body: dict[str, typing.Any]


@attrs.frozen
class OperationError:
    """Why an action failed; with outcome UNKNOWN it may have taken effect."""

    status: int
    code: str
    message: str
    findings: tuple[findings_module.Finding, ...] = ()
    retry_after_s: float = 0.0
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN

    def body(self) -> dict[str, typing.Any]:
        """Return the JSON form, the same as in responses to callers."""
        error: dict[str, typing.Any] = {
            'code': self.code,
            'message': self.message,
            'outcome': self.outcome.value,
            'findings': [str(finding) for finding in self.findings],
        }
        if self.retry_after_s:
            error['retry_after_s'] = self.retry_after_s
        return {'error': error}


Answer = Result[typing.Any, OperationError]


class Operations(abc.ABC):
    """Runs the actions of actions.ALL by name."""

    @abc.abstractmethod
    async def run(self, name: str, call: Call) -> Answer:
        """Run an action and return its JSON response."""


def missing_right(missing: rights.MissingRight) -> OperationError:
    """Return the error for a missing right."""
    return OperationError(STATUS_FORBIDDEN, 'missing-right', missing.message)


def store_error(error: object_api.ObjectError) -> OperationError:
    """Convert an error of the store to an error of an action."""
    if isinstance(error, object_api.NotFound):
        return OperationError(
            STATUS_NOT_FOUND,
            'not-found',
            f'there is no {error.kind} named {error.name!r}',
        )
    if isinstance(error, object_api.Conflict):
        return OperationError(
            STATUS_CONFLICT,
            'conflict',
            f'{error.kind} {error.name!r} has changed meanwhile; try again',
        )
    if isinstance(error, object_api.Unavailable):
        return OperationError(
            STATUS_UNAVAILABLE,
            'store-away',
            f'the platform store is unavailable: {error.message}',
            retry_after_s=error.retry_after_s,
            outcome=outcome_of(error.maybe_applied),
        )
    return OperationError(STATUS_CONFLICT, 'refused', str(error))


def outcome_of(maybe_applied: bool) -> outcomes.Outcome:
    """Return NOT_RUN only if a write certainly had no effect."""
    if maybe_applied:
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN


def refuse(status: int, code: str, message: str) -> Answer:
    """Return a refusal as a result."""
    return Error(OperationError(status, code, message))
