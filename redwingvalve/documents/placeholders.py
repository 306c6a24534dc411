"""Puts blanks where a document is faulty, so that the rest can be checked.

A person who mends one finding only to be shown the next has to ask again and
again. What depends on a blank must not be reported, since the blank is ours.
"""

import copy
import enum
import typing
from collections import abc as collections_abc

import attrs

PathParts = tuple[str | int, ...]
BLANKS: tuple[tuple[type, typing.Any], ...] = (
    (str, ''),
    (int, 0),
    (float, 0.0),
    (bool, False),
)


class UnmendableError(Exception):
    """A part has a type for which there is no blank."""


def mend(
    plain: dict[str, typing.Any],
    target: type,
    faulty: collections_abc.Iterable[PathParts],
) -> dict[str, typing.Any]:
    """Return a copy with a blank at each faulty path of target.

    Paths that target does not have are removed. UnmendableError when a part
    cannot be blanked.
    """
    mended = copy.deepcopy(plain)
    for path in faulty:
        if not path:
            raise UnmendableError
        holder = _holder(mended, path)
        wanted = _type_at(target, path)
        if wanted is None:
            holder.pop(path[-1], None)
        else:
            holder[path[-1]] = _blank(wanted)
    return mended


def _holder(mended: typing.Any, path: PathParts) -> typing.Any:
    for part in path[:-1]:
        mended = mended[part]
    return mended


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


def _blank(wanted: typing.Any) -> typing.Any:
    if typing.get_origin(wanted) is tuple:
        return []
    if attrs.has(wanted):
        return {
            field.name: _blank(field.type)
            for field in attrs.fields(wanted)
            if field.default is attrs.NOTHING
        }
    if isinstance(wanted, type) and issubclass(wanted, enum.Enum):
        return next(iter(wanted)).value
    for known, blank in BLANKS:
        if wanted is known:
            return blank
    raise UnmendableError
