"""Parses JSON in short steps.

Load pattern: a peer sends a document of megabytes. The JSON library parses it
in one call, and meanwhile the process answers nobody. Here a value that fits
into a window is parsed by one call, a longer one member by member, and many
members at a time where they are alike. The caller may do other work after each
step.

The work is linear in the text: what is parsed in vain, as a value turned out to
be longer than its window, has a budget of the length of the text.
"""

import itertools
import json
import re
import types
import typing
from collections import abc as collections_abc

from redwingvalve.core import steps

WINDOW_CHARS: typing.Final = 4096
# A window that ends inside a literal or an escape fails so long before its end.
_CUT_CHARS: typing.Final = 16
# A number that goes on behind its window may seem to end so long before that.
_CUT_NUMBER_CHARS: typing.Final = 2
# Tokens that are skipped in a step.
_STEP_TOKENS: typing.Final = 1024
_SPACE = re.compile(r'[ \t\n\r]*+')
_STRING = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_NUMBER = re.compile(r'[-+.0-9eE]++')
# A string that doesn't end goes on to the end of the text.
_BRACKET = re.compile(
    r'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)|([\[{])|([\]}])', re.DOTALL
)
# By the group of _BRACKET.
_DEPTH_CHANGES: typing.Final = types.MappingProxyType({None: 0, 1: 1, 2: -1})
_CLOSING: typing.Final = types.MappingProxyType({'[': ']', '{': '}'})
# Of parsed JSON, whose classes have no descendants.
_CONTAINERS: typing.Final = frozenset((dict, list))
_DECODER = json.JSONDecoder()

_Object: typing.TypeAlias = dict[str, typing.Any]


class JsonError(ValueError):
    """The text is not JSON, or a number in it is too long."""


class TooDeepError(JsonError):
    """The value has more levels than allowed."""


def parse(text: str, max_depth: int) -> steps.Steps[typing.Any]:
    """Parse a document of at most max_depth levels; raises JsonError."""
    reader = Reader(text, max_depth)
    value, end = yield from reader.read(reader.after_space(0), len(text))
    if reader.after_space(end) < len(text):
        raise JsonError('text behind the document')
    return value


def is_too_deep(value: typing.Any, max_depth: int) -> bool:
    """Return whether parsed JSON has more than max_depth levels."""
    level = _containers((value,))
    for _ in range(max_depth):
        if not level:
            return False
        inside = [
            outer.values() if isinstance(outer, dict) else outer
            for outer in level
        ]
        level = _containers(itertools.chain.from_iterable(inside))
    return bool(level)


class Reader:
    """Reads values at any place of a text."""

    def __init__(self, text: str, max_depth: int) -> None:
        """Read values of at most max_depth levels."""
        # End of the text that was looked at.
        self.reached = 0
        self._text = text
        self._max_depth = max_depth
        self._limit = len(text)
        # Characters that may still be parsed in vain.
        self._budget = len(text)
        self._last_step = 0

    def read(
        self, position: int, limit: int
    ) -> steps.Steps[tuple[typing.Any, int]]:
        """Return the value at a position and its end.

        Reads nothing from limit on. Raises JsonError.
        """
        self._limit = limit
        self._last_step = position
        return self._value(position, self._max_depth)

    def skip(self, position: int, limit: int) -> steps.Steps[int | None]:
        """Return the end of the object or array at a position, or None.

        It may have any number of levels, and its members aren't checked.
        """
        depth = 0
        tokens = _BRACKET.finditer(self._text, position, limit)
        for count, token in enumerate(tokens):
            depth += _DEPTH_CHANGES[token.lastindex]
            if not depth:
                return token.end()
            if not count % _STEP_TOKENS:
                yield
        self.reached = max(self.reached, limit)
        return None

    def after_space(self, position: int) -> int:
        """Return the next position without white space."""
        space = _SPACE.match(self._text, position, self._limit)
        return space.end() if space else position

    def _value(
        self, position: int, depth: int
    ) -> steps.Steps[tuple[typing.Any, int]]:
        opening = self._text[position : min(position + 1, self._limit)]
        # No value goes on behind the last window, so none is parsed in vain.
        is_last = self._limit - position <= WINDOW_CHARS
        if is_last or opening not in _CLOSING or self._budget > 0:
            found = self._in_window(position, depth)
            if found is not None:
                return found
            yield
        if opening not in _CLOSING:
            return self._long_scalar(position, opening)
        if not depth:
            raise TooDeepError('too many levels')
        members = self._array if opening == '[' else self._object
        return (yield from members(position, depth - 1))

    def _in_window(
        self, position: int, depth: int
    ) -> tuple[typing.Any, int] | None:
        """Return a value and its end, None if it is longer than a window."""
        end = min(position + WINDOW_CHARS, self._limit)
        window = self._text[position:end]
        try:
            value, length = _decode(window)
        except json.JSONDecodeError as error:
            self.reached = max(self.reached, position + error.pos)
            if end == self._limit or not _is_cut(error, len(window)):
                raise JsonError(str(error)) from error
        else:
            if end == self._limit or length < len(window) - _CUT_NUMBER_CHARS:
                _check_depth(value, depth)
                return value, position + length
        self._budget -= len(window)
        return None

    def _long_scalar(
        self, position: int, opening: str
    ) -> tuple[typing.Any, int]:
        pattern = _STRING if opening == '"' else _NUMBER
        scalar = pattern.match(self._text, position, self._limit)
        if scalar is None:
            self.reached = self._limit
            raise JsonError('unterminated string')
        try:
            return json.loads(scalar.group()), scalar.end()
        except ValueError as error:
            self.reached = max(self.reached, scalar.end())
            raise JsonError(str(error)) from error

    def _array(
        self, position: int, depth: int
    ) -> steps.Steps[tuple[typing.Any, int]]:
        found: list[typing.Any] = []
        members = _Members(self, self._text, '[', depth)
        position, is_end = self._first(position, ']')
        while not is_end:
            element, end = yield from self._value(position, depth)
            found.append(element)
            position, is_end = self._next(end, ']')
            if is_end:
                break
            more, position = members.alike(end, position, self._limit)
            found.extend(more)
            yield from self._step(position)
        return found, position

    def _object(
        self, position: int, depth: int
    ) -> steps.Steps[tuple[_Object, int]]:
        found: _Object = {}
        members = _Members(self, self._text, '{', depth)
        position, is_end = self._first(position, '}')
        while not is_end:
            name, position = self._name(position)
            element, end = yield from self._value(position, depth)
            found[name] = element
            position, is_end = self._next(end, '}')
            if is_end:
                break
            more, position = members.alike(end, position, self._limit)
            found.update(more)
            yield from self._step(position)
        return found, position

    def _step(self, position: int) -> steps.Steps[None]:
        if position > self._last_step + WINDOW_CHARS:
            self._last_step = position
            yield

    def _first(self, position: int, closing: str) -> tuple[int, bool]:
        """Return the position of the first member, or the end."""
        position = self.after_space(position + 1)
        is_end = self._text.startswith(closing, position, self._limit)
        return position + is_end, is_end

    def _next(self, end: int, closing: str) -> tuple[int, bool]:
        """Return the position of the next member, or the end."""
        position = self.after_space(end)
        if self._text.startswith(closing, position, self._limit):
            return position + 1, True
        self._expect(',', position)
        return self.after_space(position + 1), False

    def _name(self, position: int) -> tuple[str, int]:
        """Return the name at a position, and the position of its value."""
        quoted = _STRING.match(self._text, position, self._limit)
        if quoted is None:
            self._expect('"', position)
            self.reached = self._limit
            raise JsonError('unterminated name')
        try:
            name = json.loads(quoted.group())
        except ValueError as error:
            raise JsonError(str(error)) from error
        colon = self.after_space(quoted.end())
        self._expect(':', colon)
        return name, self.after_space(colon + 1)

    def _expect(self, mark: str, position: int) -> None:
        self.reached = max(self.reached, position)
        if not self._text.startswith(mark, position, self._limit):
            raise JsonError(f'expected {mark} at character {position}')


class _Members:
    """Parses members of a long array or object that end alike.

    They are parsed up to the last place in a window that looks like the one
    between the last two members. If the text before it is a list of members,
    they are members of this container, as they begin where one begins.
    """

    def __init__(
        self, reader: Reader, text: str, opening: str, depth: int
    ) -> None:
        self._reader = reader
        self._text = text
        self._opening = opening
        self._depth = depth
        self._is_worth_trying = True

    def alike(
        self, end: int, position: int, limit: int
    ) -> tuple[typing.Any, int]:
        """Return members from a position on, and the position behind them.

        end: where the member before them ended.
        """
        until = self._find_last(end, position, limit)
        if until <= position:
            return (), position
        container = f'{self._text[position:until]}{_CLOSING[self._opening]}'
        try:
            found = json.loads(self._opening + container)
        except (ValueError, RecursionError):
            self._is_worth_trying = False
            return (), position
        _check_depth(found, self._depth + 1)
        return found, self._reader.after_space(until + 1)

    def _find_last(self, end: int, position: int, limit: int) -> int:
        """Return the position of a comma, 0 if there is none."""
        between = self._text[end - 1 : position + 1]
        if not self._is_worth_trying or len(between) > _CUT_CHARS:
            return 0
        comma = between.find(',', 1)
        if between[0] not in '"]}':
            # Numbers and literals end in various ways.
            between, comma = ',', 0
        until = min(position + WINDOW_CHARS, limit)
        found = self._text.rfind(between, position, until)
        return found + comma if found >= 0 and comma >= 0 else 0


def _decode(window: str) -> tuple[typing.Any, int]:
    """Return the value in the beginning of a window, and its length."""
    try:
        return _DECODER.raw_decode(window)
    except RecursionError as error:
        raise TooDeepError('too many levels') from error
    except ValueError as error:
        if isinstance(error, json.JSONDecodeError):
            raise
        raise JsonError(str(error)) from error


def _check_depth(value: typing.Any, max_depth: int) -> None:
    if is_too_deep(value, max_depth):
        raise TooDeepError('too many levels')


def _is_cut(error: json.JSONDecodeError, size: int) -> bool:
    """Return whether a longer text may be readable."""
    return error.pos > size - _CUT_CHARS or error.msg.startswith('Unterminated')


def _containers(
    among: collections_abc.Iterable[typing.Any],
) -> list[typing.Any]:
    """Return the objects and arrays that aren't empty."""
    return [one for one in among if one.__class__ in _CONTAINERS and one]
