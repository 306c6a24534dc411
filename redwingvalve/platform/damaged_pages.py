"""Reads pages of the store that contain objects with unreadable bytes.

Load pattern: another writer stores an object with bytes that are not JSON or
not UTF-8, and the store returns them inside its page. Such a page can't be
parsed as a whole. Without this module a single object would hide the changes of
all others for as long as it exists. Here the page is split into its objects,
and an unreadable one is replaced by a placeholder with its name, as far as the
name can be read.

The object may consist of whatever looks like the end of the page or of an
element, some hundred thousand times. So the work is linear in the page: each
place is searched once, and failed attempts to parse beyond the next boundary
have a budget. It is done in steps, between which the caller does other work.
"""

import itertools
import json
import re
import typing
from collections import abc as collections_abc

from redwingvalve.core import collector

Document = dict[str, typing.Any]
# Field of a placeholder that says why the object can't be read.
REASON_FIELD: typing.Final = 'unreadable'
# Deeper objects can't be encoded again for other nodes. Those of the platform
# have at most 8 levels.
MAX_DEPTH: typing.Final = 64
_ITEMS = 'items'
_ARRAY = re.compile(r'"(items|events)"\s*:\s*\[')
# Between two elements, whether the rest of them is readable or not.
_ITEM_BOUNDARY = re.compile(r'\}\s*+,\s*+(?=\{\s*+"metadata"\s*+:)')
_EVENT_BOUNDARY = re.compile(
    r'\}\s*+,\s*+(?=\{\s*+'
    r'(?:"(?:deleted|type|revision)"\s*+:[^{}\[\],]*+,\s*+)*+"object"\s*+:)'
)
_METADATA = re.compile(r'"metadata"\s*:\s*')
_NAME = re.compile(r'"name"\s*:\s*("(?:[^"\\]|\\.)*")')
# The beginning of an object, up to an object inside it.
_FLAT = re.compile(r'\{[^{}]*')
_REMOVED = re.compile(r'"deleted"\s*:\s*true')
# What bytes that aren't UTF-8 are decoded to.
_NOT_UTF8 = re.compile('[\udc80-\udcff]')
# Whitespace and commas between elements.
_SEPARATOR = re.compile(r'[\s,]*')
# Elements are parsed in windows of so many characters, each larger than the one
# before: a failure costs as much as the text up to it.
_FIRST_WINDOW = 512
_WINDOW_GROWTH = 4
# A window that ends inside a literal or an escape fails so long before its end.
_CUT_CHARS = 16
_STEP_ELEMENTS = 256
_STEP_CHARS = 65_536
_DONE = object()

_Found = typing.TypeVar('_Found')
# Yields between the steps, and returns what was found.
_Reading: typing.TypeAlias = collections_abc.Generator[None, None, _Found]
_DECODER = json.JSONDecoder()
_UNREADABLE = (ValueError, RecursionError)
# Of parsed JSON, whose classes have no descendants.
_CONTAINERS = frozenset((dict, list))


def placeholder(metadata: typing.Any, reason: str) -> Document:
    """Return a document in place of an object that can't be read."""
    return {'metadata': metadata, REASON_FIELD: reason}


def bounded(stored: typing.Any) -> Document:
    """Return the object, or a placeholder if its structure is unusable."""
    if not isinstance(stored, dict):
        return placeholder({}, 'the object is not a JSON object')
    if _is_too_deep(stored):
        metadata = stored.get('metadata')
        if _is_too_deep(metadata):
            metadata = {}
        return placeholder(metadata, f'nested over {MAX_DEPTH} levels')
    return stored


def recover(raw: bytes) -> Document | None:
    """Return the page with placeholders, or None if it isn't a page."""
    recovery = Recovery(raw)
    more = True
    while more:
        more = recovery.step()
    return recovery.page


class Recovery:
    """Reads a page in steps of a few milliseconds.

    A step reads a limited number of elements, or one longer element.
    """

    def __init__(self, raw: bytes) -> None:
        """Start before the first element."""
        # None until all steps are done, and if it isn't a page.
        self.page: Document | None = None
        self._text = raw.decode('utf-8', 'surrogateescape')
        self._array = _ARRAY.search(self._text)
        self._scan: _Scan | None = None
        self._steps: collections_abc.Iterator[None] = iter(())
        if self._array is not None:
            self._scan = _Scan(self._text, self._array.group(1))
            self._steps = self._scan.read(self._array.end())

    def step(self) -> bool:
        """Read some elements; return whether there is more to do."""
        if self._scan is None or self._array is None:
            return False
        with collector.paused():
            if next(self._steps, _DONE) is not _DONE:
                return True
            end = self._scan.end
            if end is None:
                return False
            begin = self._array.end()
            self.page = _parse_rest(self._text[:begin], self._text[end:])
        if self.page is not None:
            self.page[self._array.group(1)] = self._scan.found
        return False


class _Scan:
    """Reads the elements of the array of a page one by one."""

    def __init__(self, text: str, key: str) -> None:
        self.found: list[typing.Any] = []
        # Position of the closing bracket, None if there is none.
        self.end: int | None = None
        self._text = text
        self._is_listing = key == _ITEMS
        self._boundaries = _Boundaries(
            text, _ITEM_BOUNDARY if self._is_listing else _EVENT_BOUNDARY
        )
        # Characters that may still be parsed in vain beyond a boundary.
        self._budget = len(text)

    def read(self, position: int) -> collections_abc.Iterator[None]:
        """Read the elements from a position on; each iteration is a step."""
        for count in itertools.count(1):
            position = self._skip_separator(position)
            if self._text.startswith(']', position):
                self.end = position
                return
            element, end = yield from self._element(position)
            if end is None:
                return
            self.found.append(element)
            if not count % _STEP_ELEMENTS:
                yield
            position = end

    def _skip_separator(self, position: int) -> int:
        separator = _SEPARATOR.match(self._text, position)
        return separator.end() if separator else position

    def _element(
        self, position: int
    ) -> _Reading[tuple[typing.Any, int | None]]:
        element, end = yield from self._parse(position)
        if end is None:
            closing = self._boundaries.after(position)
            if closing is None:
                return None, None
            segment = self._text[position:closing]
            return self._replaced(segment, 'not JSON'), closing
        segment = self._text[position:end]
        if _NOT_UTF8.search(segment):
            return self._replaced(segment, 'bytes that are not UTF-8'), end
        return element, end

    def _parse(self, position: int) -> _Reading[tuple[typing.Any, int | None]]:
        """Return the element at position and its end, None if unreadable."""
        limit = len(self._text)
        if self._budget < 0:
            limit = self._boundaries.after(position) or limit
        size = _FIRST_WINDOW
        is_final = False
        while not is_final:
            window = self._text[position : min(position + size, limit)]
            is_last = position + size >= limit
            is_final, element, length = _decode(window, is_last)
            if size > _STEP_CHARS:
                yield
            size *= _WINDOW_GROWTH
        if length is None:
            self._budget -= size // _WINDOW_GROWTH - _FIRST_WINDOW
            return None, None
        return element, position + length

    def _replaced(self, segment: str, reason: str) -> Document:
        found = placeholder(_read_metadata(segment), reason)
        if self._is_listing:
            return found
        return {'object': found, 'deleted': bool(_REMOVED.search(segment))}


class _Boundaries:
    """Finds where unreadable elements end; positions must not decrease."""

    def __init__(self, text: str, boundary: re.Pattern[str]) -> None:
        self._text = text
        self._boundary = boundary
        # The boundary found last: all before it have been passed.
        self._brace = 0
        self._next: int | None = 0
        self._last = _last_brace_end(text)

    def after(self, position: int) -> int | None:
        """Return the end of the unreadable element at a position."""
        if self._next is not None and self._brace <= position:
            found = self._boundary.search(self._text, position + 1)
            self._next = found.end() if found else None
            self._brace = found.start() if found else 0
        if self._next is not None:
            return self._next
        return self._last if self._last and self._last > position + 1 else None


def _last_brace_end(text: str) -> int | None:
    """Return the end of the last element of a page.

    An object may hold a text like the end of the page; the page's own is last.
    """
    closing = text.rfind(']')
    if closing < 0 or _parse_rest('{"items":[', text[closing:]) is None:
        return None
    before = closing
    while before and text[before - 1].isspace():
        before -= 1
    return closing if text.endswith('}', 0, before) else None


def _decode(window: str, is_last: bool) -> tuple[bool, typing.Any, int | None]:
    """Return if a larger window changes nothing, the element, its length."""
    try:
        element, length = _DECODER.raw_decode(window)
    except _UNREADABLE as error:
        return is_last or not _is_cut(error, len(window)), None, None
    # A number may go on in the next window.
    return is_last or length < len(window), element, length


def _is_cut(error: Exception, size: int) -> bool:
    """Return whether a longer text may be readable."""
    if not isinstance(error, json.JSONDecodeError):
        return False
    return error.pos > size - _CUT_CHARS or error.msg.startswith('Unterminated')


def _read_metadata(segment: str) -> typing.Any:
    """Return the metadata in an unreadable object, at least its name."""
    beginning = _METADATA.search(segment)
    if beginning is None:
        return {}
    try:
        metadata, _ = _DECODER.raw_decode(segment, beginning.end())
    except _UNREADABLE:
        # Names inside other objects aren't that of the object itself.
        inside = _FLAT.match(segment, beginning.end())
        name = _NAME.search(inside.group()) if inside else None
        return {'name': _decode_text(name.group(1))} if name else {}
    return metadata


def _decode_text(quoted: str) -> str:
    try:
        return str(json.loads(quoted))
    except ValueError:
        return ''


def _parse_rest(before: str, after: str) -> Document | None:
    """Return the page without its elements."""
    try:
        page = json.loads(before + after)
    except _UNREADABLE:
        return None
    return page if isinstance(page, dict) else None


def _is_too_deep(value: typing.Any) -> bool:
    level = _containers((value,))
    for _ in range(MAX_DEPTH - 1):
        if not level:
            return False
        inside = [
            outer.values() if isinstance(outer, dict) else outer
            for outer in level
        ]
        level = _containers(itertools.chain.from_iterable(inside))
    return bool(level)


def _containers(
    among: collections_abc.Iterable[typing.Any],
) -> list[typing.Any]:
    """Return the objects and arrays that aren't empty."""
    return [one for one in among if one.__class__ in _CONTAINERS and one]
