"""Turns attrs objects into plain JSON bodies and back.

Unknown fields are skipped on reading, so that a process of the last version
can read what one of the next has written; see docs/design/0010-replicas.md
for the rule on writing.
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
    """Return the attrs object; ValueError or cattrs errors when malformed."""
    return CONVERTER.structure(body, target)
