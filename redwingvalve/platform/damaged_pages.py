"""Reads pages of the store object by object.

Load pattern: another writer stores an object with bytes that are not JSON or
not UTF-8, and the store returns them inside its page. Such a page can't be
parsed as a whole. Without this module a single object would hide the changes of
all others for as long as it exists. Here the page is split into its objects,
and an unreadable one is replaced by a placeholder with its name, as far as the
name can be read. Long pages are read in the same way, readable or not: a fleet
of thousands of endpoints is listed by a page of megabytes.

The object may consist of whatever looks like the end of the page or of an
element, some hundred thousand times. So the work is linear in the page: each
place is searched once, and failed attempts to parse beyond the next boundary
have a budget. It is done in steps, between which the caller does other work.
"""

import itertools
import json
import re
import typing

from redwingvalve.core import collector, json_steps, steps

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
# Characters of an unreadable element that may be parsed without any charge.
_FREE_CHARS = 512
# Beginning of the metadata of an unreadable object in which its name is read.
_METADATA_CHARS = 16_384
_STEP_ELEMENTS = 64
_DONE = object()
_TOO_DEEP: typing.Final = f'nested over {MAX_DEPTH} levels'

_DECODER = json.JSONDecoder()
_UNREADABLE = (ValueError, RecursionError)


def placeholder(metadata: typing.Any, reason: str) -> Document:
    """Return a document in place of an object that can't be read."""
    return {'metadata': metadata, REASON_FIELD: reason}


def bounded(stored: typing.Any) -> Document:
    """Return the object, or a placeholder if its structure is unusable."""
    if not isinstance(stored, dict):
        return placeholder({}, 'the object is not a JSON object')
    if json_steps.is_too_deep(stored, MAX_DEPTH - 1):
        metadata = stored.get('metadata')
        if json_steps.is_too_deep(metadata, MAX_DEPTH - 1):
            metadata = {}
        return placeholder(metadata, _TOO_DEEP)
    return stored


def bound(page: Document) -> None:
    """Replace the objects of a page whose structure is unusable."""
    items = page.get('items')
    if isinstance(items, list):
        page['items'] = list(map(bounded, items))
    events = page.get('events')
    if isinstance(events, list):
        page['events'] = list(map(_bounded_event, events))


def _bounded_event(event: typing.Any) -> Document:
    if not isinstance(event, dict):
        return {'object': bounded(None), 'deleted': False}
    event['object'] = bounded(event.get('object'))
    return event


def recover(raw: bytes) -> Document | None:
    """Return the page with placeholders, or None if it isn't a page."""
    recovery = Recovery(raw)
    more = True
    while more:
        more = recovery.step()
    return recovery.page


class Recovery:
    """Reads a page in steps of a few milliseconds.

    A step reads a limited number of elements, or a part of a longer one.
    """

    def __init__(self, raw: bytes) -> None:
        """Start before the first element."""
        # None until all steps are done, and if it isn't a page.
        self.page: Document | None = None
        self._text = raw.decode('utf-8', 'surrogateescape')
        self._array = _ARRAY.search(self._text)
        self._steps = self.read()

    def step(self) -> bool:
        """Read some elements; return whether there is more to do."""
        with collector.paused():
            return next(self._steps, _DONE) is not _DONE

    def read(self) -> steps.Steps[Document | None]:
        """Read the page; the steps return it."""
        if self._array is None:
            return None
        key = self._array.group(1)
        before = self._text[: self._array.end()]
        # An array of that name inside an object isn't that of the page.
        is_page = yield from _parse_page(f'{before}]}}')
        if is_page is None:
            return None
        scan = _Scan(self._text, key)
        yield from scan.read(len(before))
        if scan.end is None:
            return None
        self.page = yield from _parse_page(before + self._text[scan.end :])
        if self.page is not None:
            self.page[key] = scan.found
        return self.page


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
        # An event has one level more than its object.
        max_depth = MAX_DEPTH - 1 if self._is_listing else MAX_DEPTH
        self._reader = json_steps.Reader(text, max_depth)
        # Characters that may still be parsed in vain beyond a boundary.
        self._budget = len(text)

    def read(self, position: int) -> steps.Steps[None]:
        """Read the elements from a position on."""
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
    ) -> steps.Steps[tuple[typing.Any, int | None]]:
        limit = len(self._text)
        if self._budget < 0:
            limit = self._boundaries.after(position) or limit
        try:
            element, end = yield from self._reader.read(position, limit)
        except json_steps.TooDeepError:
            end = yield from self._reader.skip(position, limit)
            if end is not None:
                return self._replaced(position, end, _TOO_DEEP), end
            return self._unreadable(position)
        except json_steps.JsonError:
            return self._unreadable(position)
        if _NOT_UTF8.search(self._text, position, end):
            reason = 'bytes that are not UTF-8'
            return self._replaced(position, end, reason), end
        return self._shaped(element), end

    def _shaped(self, element: typing.Any) -> Document:
        """Return an element that was read, with the fields of one."""
        if self._is_listing:
            return element if isinstance(element, dict) else bounded(element)
        if not isinstance(element, dict):
            return _bounded_event(element)
        if not isinstance(element.get('object'), dict):
            element['object'] = bounded(element.get('object'))
        return element

    def _unreadable(self, position: int) -> tuple[typing.Any, int | None]:
        vain_chars = self._reader.reached - position
        self._budget -= max(vain_chars - _FREE_CHARS, 0)
        closing = self._boundaries.after(position)
        if closing is None:
            return None, None
        return self._replaced(position, closing, 'not JSON'), closing

    def _replaced(self, position: int, end: int, reason: str) -> Document:
        segment = self._text[position:end]
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


def _parse_page(text: str) -> steps.Steps[Document | None]:
    """Parse a page without its elements; returns None if it is none."""
    try:
        page = yield from json_steps.parse(text, MAX_DEPTH)
    except json_steps.JsonError:
        return None
    return page if isinstance(page, dict) else None


def _read_metadata(segment: str) -> typing.Any:
    """Return the metadata in an unreadable object, at least its name."""
    beginning = _METADATA.search(segment)
    if beginning is None:
        return {}
    start = beginning.end()
    text = segment[start : start + _METADATA_CHARS]
    try:
        metadata, _ = _DECODER.raw_decode(text)
    except _UNREADABLE:
        # Names inside other objects aren't that of the object itself.
        inside = _FLAT.match(text)
        name = _NAME.search(inside.group()) if inside else None
        return {'name': _decode_text(name.group(1))} if name else {}
    return {} if json_steps.is_too_deep(metadata, MAX_DEPTH - 1) else metadata


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
