"""Replaces invalid parts of a document, so that the rest can be checked.

This way all findings are reported at once, and not one after each correction.
Findings that depend on a placeholder must not be reported, since it is not
part of the document.
"""

import copy
import enum
import typing
from collections import abc as collections_abc

import attrs

PathParts = tuple[str | int, ...]
PLACEHOLDERS: tuple[tuple[type, typing.Any], ...] = (
    (str, ''),
    (int, 0),
    (float, 0.0),
    (bool, False),
)


class NoPlaceholderError(Exception):
    """There is no placeholder for the type of an invalid part."""


def replace_invalid(
    plain: dict[str, typing.Any],
    target: type,
    invalid_paths: collections_abc.Iterable[PathParts],
) -> dict[str, typing.Any]:
    """Return a copy with a placeholder at each invalid path.

    Paths that don't exist in target are removed. Raises NoPlaceholderError if
    there is no placeholder for a part.
    """
    result = copy.deepcopy(plain)
    for path in invalid_paths:
        if not path:
            raise NoPlaceholderError
        holder = _parent(result, path)
        expected = _type_at(target, path)
        if expected is None:
            holder.pop(path[-1], None)
        else:
            holder[path[-1]] = _placeholder(expected)
    return result


def _parent(result: typing.Any, path: PathParts) -> typing.Any:
    for part in path[:-1]:
        result = result[part]
    return result


def _type_at(target: typing.Any, path: PathParts) -> typing.Any:
    for part in path:
        if isinstance(part, int):
            target = typing.get_args(target)[0]
            continue
        field = attrs.fields_dict(target).get(part)
        if field is None:
            return None
        target = field.type
    return target


def _placeholder(expected: typing.Any) -> typing.Any:
    if typing.get_origin(expected) is tuple:
        return []
    if attrs.has(expected):
        return {
            field.name: _placeholder(field.type)
            for field in attrs.fields(expected)
            if field.default is attrs.NOTHING
        }
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        return next(iter(expected)).value
    for known, placeholder in PLACEHOLDERS:
        if expected is known:
            return placeholder
    raise NoPlaceholderError
