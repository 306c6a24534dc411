"""Reads pages of the store that contain objects with unreadable bytes.

Load pattern: another writer stores an object with bytes that are not JSON or
not UTF-8, and the store returns them inside its page. Such a page can't be
parsed as a whole. Without this module a single object would hide the changes of
all others for as long as it exists. Here the page is split into its objects,
and an unreadable one is replaced by a placeholder with its name, as far as the
name can be read.
"""

import json
import re
import typing

Document = dict[str, typing.Any]
# Field of a placeholder that says why the object can't be read.
REASON_FIELD: typing.Final = 'unreadable'
# Deeper objects can't be encoded again for other nodes. Those of the platform
# have at most 8 levels.
MAX_DEPTH: typing.Final = 64
_ITEMS = 'items'
_ARRAY = re.compile(r'"(items|events)"\s*:\s*\[')
# How an object or event begins, whether the rest of it is readable or not.
_ITEM_START = re.compile(r'\{\s*"metadata"\s*:')
_EVENT_START = re.compile(
    r'\{\s*("(?:deleted|type|revision)"\s*:\s*[^{}\[\],]*,\s*)*"object"\s*:'
)
# Possible ends of an element.
_END = re.compile(r'\}\s*(?:,\s*(?=\{)|(?=\]))')
_METADATA = re.compile(r'"metadata"\s*:\s*')
_NAME = re.compile(r'"name"\s*:\s*("(?:[^"\\]|\\.)*")')
# The beginning of an object, up to an object inside it.
_FLAT = re.compile(r'\{[^{}]*')
_REMOVED = re.compile(r'"deleted"\s*:\s*true')
# What bytes that aren't UTF-8 are decoded to.
_NOT_UTF8 = re.compile('[\udc80-\udcff]')
# Whitespace and commas between elements.
_SEPARATOR = re.compile(r'[\s,]*')
_DECODER = json.JSONDecoder()
_UNREADABLE = (ValueError, RecursionError)


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
    text = raw.decode('utf-8', 'surrogateescape')
    array = _ARRAY.search(text)
    if array is None:
        return None
    scan = _Scan(text, array.group(1))
    end = scan.read(array.end())
    if end is None:
        return None
    page = _parse_rest(text[: array.end()], text[end:])
    if page is not None:
        page[array.group(1)] = scan.found
    return page


class _Scan:
    """Reads the elements of the array of a page one by one."""

    def __init__(self, text: str, key: str) -> None:
        self.found: list[typing.Any] = []
        self._text = text
        self._is_listing = key == _ITEMS
        self._start = _ITEM_START if self._is_listing else _EVENT_START

    def read(self, position: int) -> int | None:
        """Return the position of the closing bracket."""
        while True:
            position = self._skip_separator(position)
            if self._text.startswith(']', position):
                return position
            element, end = self._element(position)
            if end is None:
                return None
            self.found.append(element)
            position = end

    def _skip_separator(self, position: int) -> int:
        separator = _SEPARATOR.match(self._text, position)
        return separator.end() if separator else position

    def _element(self, position: int) -> tuple[typing.Any, int | None]:
        try:
            element, end = _DECODER.raw_decode(self._text, position)
        except _UNREADABLE:
            closing = self._closing(position)
            if closing is None:
                return None, None
            segment = self._text[position:closing]
            return self._replaced(segment, 'not JSON'), closing
        segment = self._text[position:end]
        if _NOT_UTF8.search(segment):
            return self._replaced(segment, 'bytes that are not UTF-8'), end
        return element, end

    def _closing(self, position: int) -> int | None:
        """Return where the unreadable element at position ends."""
        for candidate in _END.finditer(self._text, position + 1):
            end = candidate.end()
            if self._begins_element(end) or self._ends_page(end):
                return end
        return None

    def _begins_element(self, position: int) -> bool:
        return bool(self._start.match(self._text, position))

    def _ends_page(self, position: int) -> bool:
        if not self._text.startswith(']', position):
            return False
        return _parse_rest('{"items":[', self._text[position:]) is not None

    def _replaced(self, segment: str, reason: str) -> Document:
        found = placeholder(_read_metadata(segment), reason)
        if self._is_listing:
            return found
        return {'object': found, 'deleted': bool(_REMOVED.search(segment))}


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
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _children(outer)]
        if not level:
            return False
    return True


def _children(value: typing.Any) -> typing.Iterable[typing.Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
