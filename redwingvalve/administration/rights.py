"""Roles by team, and the limits on who may touch what."""

import enum
import fnmatch
import types
from collections import abc as collections_abc

import attrs
from expression import Error, Ok, Result


class Right(enum.StrEnum):
    """What an action needs."""

    VIEW = 'view'
    PLAN = 'plan'
    CONFIRM = 'confirm'
    DRAIN = 'drain'
    MANAGE_TOKENS = 'manage-tokens'


class Role(enum.StrEnum):
    """What a token gives its holder."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'
    ADMINISTRATOR = 'administrator'


OPERATOR_RIGHTS = frozenset(
    (
        Right.VIEW,
        Right.PLAN,
        Right.CONFIRM,
        Right.DRAIN,
    )
)
ROLE_RIGHTS = types.MappingProxyType(
    {
        Role.VIEWER: frozenset((Right.VIEW,)),
        Role.OPERATOR: OPERATOR_RIGHTS,
        Role.ADMINISTRATOR: frozenset(Right),
    }
)


@attrs.frozen
class Principal:
    """Who acts; scopes are patterns of the names that it may change."""

    name: str
    team: str
    role: Role
    scopes: tuple[str, ...] = ('*',)


@attrs.frozen
class MissingRight:
    """The action is refused; message says which right is missing."""

    message: str


def check_right(
    principal: Principal, right: Right
) -> Result[None, MissingRight]:
    """Check that the role gives a right."""
    if right in ROLE_RIGHTS[principal.role]:
        return Ok(None)
    return Error(
        MissingRight(
            f'{principal.name} of team {principal.team} is '
            f'{principal.role.value} and lacks the right {right.value!r}'
        )
    )


def check_scope(
    principal: Principal, names: collections_abc.Iterable[str]
) -> Result[None, MissingRight]:
    """Check that every name to be changed lies in the principal's scopes."""
    outside = sorted(
        name
        for name in set(names)
        if not any(
            fnmatch.fnmatchcase(name, scope) for scope in principal.scopes
        )
    )
    if not outside:
        return Ok(None)
    listed = ', '.join(outside)
    allowed = ', '.join(principal.scopes) or 'nothing'
    return Error(
        MissingRight(
            f'{principal.name} of team {principal.team} may change {allowed} '
            f'and lacks the right to change {listed}'
        )
    )
