"""What the API's actions share: their arguments, errors and a base class."""

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
    """An authenticated call: who, the path's names, the checked body."""

    principal: rights.Principal
    path: dict[str, str]
    body: dict[str, typing.Any]


@attrs.frozen
class OperationError:
    """Why an action was not done; unknown says that it may have been."""

    status: int
    code: str
    message: str
    findings: tuple[findings_module.Finding, ...] = ()
    retry_after_s: float = 0.0
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN

    def body(self) -> dict[str, typing.Any]:
        """Return the stable JSON shape, the same as callers get."""
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
    """Does the actions of actions.ALL by name."""

    @abc.abstractmethod
    async def run(self, name: str, call: Call) -> Answer:
        """Do one action and return its JSON answer."""


def missing_right(missing: rights.MissingRight) -> OperationError:
    """Return the answer to somebody who lacks a right."""
    return OperationError(STATUS_FORBIDDEN, 'missing-right', missing.message)


def store_error(error: object_api.ObjectError) -> OperationError:
    """Return the answer when the store did not do what was wanted."""
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
            f'{error.kind} {error.name!r} was changed meanwhile; look again',
        )
    if isinstance(error, object_api.Unavailable):
        return OperationError(
            STATUS_UNAVAILABLE,
            'store-away',
            f'the platform store is away, so this waits: {error.message}',
            retry_after_s=error.retry_after_s,
            outcome=outcome_of(error.maybe_applied),
        )
    return OperationError(STATUS_CONFLICT, 'refused', str(error))


def outcome_of(maybe_applied: bool) -> outcomes.Outcome:
    """Return not-run only if a write surely did not take effect."""
    if maybe_applied:
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN


def refuse(status: int, code: str, message: str) -> Answer:
    """Return a refusal as a result."""
    return Error(OperationError(status, code, message))
