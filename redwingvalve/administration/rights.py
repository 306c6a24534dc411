"""Roles, their rights, and scopes that limit which names they may change."""

import enum
import fnmatch
import types
from collections import abc as collections_abc

import attrs
from expression import Error, Ok, Result


class Right(enum.StrEnum):
    """The right that an action requires."""

    VIEW = 'view'
    PLAN = 'plan'
    CONFIRM = 'confirm'
    DRAIN = 'drain'
    MANAGE_TOKENS = 'manage-tokens'


class Role(enum.StrEnum):
    """The role of a token's holder."""

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
    """An authenticated caller; scopes are patterns of names it may change."""

    name: str
    team: str
    role: Role
    scopes: tuple[str, ...] = ('*',)


@attrs.frozen
class MissingRight:
    """An action is refused; message tells which right is missing."""

    message: str


def check_right(
    principal: Principal, right: Right
) -> Result[None, MissingRight]:
    """Check that the role has a right."""
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
    """Check that all names to be changed match the principal's scopes."""
    outside = sorted(
        name
        for name in set(names)
        if not any(
            fnmatch.fnmatchcase(name, scope) for scope in principal.scopes
        )
    )
    if not outside:
        return Ok(None)
    outside_names = ', '.join(outside)
    allowed = ', '.join(principal.scopes) or 'nothing'
    return Error(
        MissingRight(
            f'{principal.name} of team {principal.team} may change {allowed} '
            f'and lacks the right to change {outside_names}'
        )
    )
