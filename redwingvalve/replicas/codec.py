"""Converts attrs objects to plain JSON bodies and back.

Unknown fields are ignored when reading, so that a process of the previous
version can read what one of the next version has written. The rule for writing
is in docs/design/0010-replicas.md.
"""

import typing

import cattrs
from cattrs.preconf import json as json_preconf

ContentType = typing.TypeVar('ContentType')


def _make_converter() -> cattrs.Converter:
    return json_preconf.make_converter(forbid_extra_keys=False)


CONVERTER = _make_converter()


def to_body(content: typing.Any) -> dict[str, typing.Any]:
    """Return the plain JSON form of an attrs object."""
    return CONVERTER.unstructure(content)


def from_body(body: typing.Any, target: type[ContentType]) -> ContentType:
    """Return the attrs object; a malformed body raises ValueError or cattrs."""
    return CONVERTER.structure(body, target)
