"""Binds a YAML document to attrs classes and collects all findings.

PyYAML provides the marks (line and column) and cattrs the structure. This
module combines the two, so that a finding has the line of the error.
"""

import typing
from collections import abc as collections_abc

import attrs
import cattrs
import yaml
from cattrs import errors as cattrs_errors
from cattrs import gen
from expression import Error, Ok, Result

from redwingvalve.core import findings
from redwingvalve.documents import placeholders

BoundType = typing.TypeVar('BoundType')
PathParts = tuple[str | int, ...]
MAX_DOCUMENT_BYTES = 1_000_000


class _FieldError(ValueError):
    """A value has the wrong type; the message is shown to the user."""


@attrs.frozen
class BoundDocument(typing.Generic[BoundType]):
    """A bound document with the locations of its parts."""

    content: BoundType
    locations: 'DocumentLocations'
    invalid_paths: tuple[PathParts, ...] = ()

    def is_valid(self, *path: str | int) -> bool:
        """Tell whether the value at path is that of the document.

        False if the value, a part of it or one of its parents is invalid and
        was replaced by a placeholder. Checks that compare two fields have to
        call this first.
        """
        return not any(
            path[: len(invalid_path)] == invalid_path[: len(path)]
            for invalid_path in self.invalid_paths
        )


@attrs.frozen
class _InvalidPart:
    """A finding of the binding, and the path that it makes invalid."""

    path: PathParts
    finding: findings.Finding


class DocumentLocations:
    """Finds the location of a path in a parsed YAML document."""

    def __init__(self, file_name: str, root: yaml.Node | None) -> None:
        """Use the node tree of one file."""
        self._file_name = file_name
        self._root = root

    def locate(self, *path: str | int) -> findings.Location:
        """Return the location of the deepest existing part of path."""
        node = self._root
        line, column = (1, 1)
        for part in (None, *path):
            if part is not None:
                node = _child(node, part)
            if node is None:
                break
            line = node.start_mark.line + 1
            column = node.start_mark.column + 1
        return findings.Location(
            self._file_name, line, column, _dotted_path(path)
        )

    def locate_key(self, *path: str | int) -> findings.Location:
        """Return the location of the key itself, for unknown fields."""
        node = self._root
        for part in path[:-1]:
            node = _child(node, part)
        if not isinstance(node, yaml.MappingNode):
            return self.locate(*path)
        for key_node, _ in node.value:
            if key_node.value == path[-1]:
                mark = key_node.start_mark
                return findings.Location(
                    self._file_name,
                    mark.line + 1,
                    mark.column + 1,
                    _dotted_path(path),
                )
        return self.locate(*path)


Check = collections_abc.Callable[
    [BoundDocument[typing.Any]], collections_abc.Iterable[findings.Finding]
]


def bind_text(
    text: str,
    file_name: str,
    target: type[BoundType],
    check: Check | None = None,
) -> Result[BoundDocument[BoundType], findings.Findings]:
    """Bind YAML text to target, or return all findings.

    check returns the findings on the bound document. It is also called for the
    valid rest of a document with invalid parts; see BoundDocument.is_valid.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return _document_error(file_name, 'the document is larger than 1 MB')
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        return Error(findings.Findings((_syntax_finding(file_name, error),)))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _document_error(file_name, f'invalid YAML: {error}')
    locations = DocumentLocations(file_name, root)
    try:
        plain = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _document_error(file_name, f'invalid YAML: {error}')
    if not isinstance(plain, dict):
        return _document_error(file_name, 'expected a mapping')
    duplicates = _duplicate_keys(root, (), locations)
    return _bind_and_check(plain, locations, target, duplicates, check)


def _bind_and_check(
    plain: dict[str, typing.Any],
    locations: DocumentLocations,
    target: type[BoundType],
    duplicates: list[_InvalidPart],
    check: Check | None,
) -> Result[BoundDocument[BoundType], findings.Findings]:
    bound, found = _bind_valid_parts(plain, locations, target)
    found.extend(invalid.finding for invalid in duplicates)
    if bound is not None:
        invalid_paths = (
            *bound.invalid_paths,
            *(invalid.path for invalid in duplicates),
        )
        bound = attrs.evolve(bound, invalid_paths=invalid_paths)
        if check is not None:
            found.extend(_findings_on_valid(bound, check))
    if bound is None or found:
        found.sort(
            key=lambda finding: (finding.location.line, finding.location.column)
        )
        return Error(findings.Findings(tuple(found)))
    return Ok(bound)


def _bind_valid_parts(
    plain: dict[str, typing.Any],
    locations: DocumentLocations,
    target: type[BoundType],
) -> tuple[BoundDocument[BoundType] | None, list[findings.Finding]]:
    """Bind the valid parts, and return findings on the invalid ones."""
    try:
        return BoundDocument(CONVERTER.structure(plain, target), locations), []
    except Exception as error:  # noqa: BLE001 - becomes a finding
        faults = list(_invalid_parts_of(error, (), locations))
    found = [invalid.finding for invalid in faults]
    paths = tuple(invalid.path for invalid in faults)
    try:
        replaced = placeholders.replace_invalid(plain, target, paths)
    except placeholders.NoPlaceholderError:
        return None, found
    content = CONVERTER.structure(replaced, target)
    return BoundDocument(content, locations, paths), found


def _findings_on_valid(
    bound: BoundDocument[typing.Any], check: Check
) -> typing.Iterator[findings.Finding]:
    invalid_path_names = [_dotted_path(path) for path in bound.invalid_paths]
    for finding in check(bound):
        if not any(
            _is_within(finding.location.path, path)
            for path in invalid_path_names
        ):
            yield finding


def _is_within(path: str, outer: str) -> bool:
    return path == outer or path.startswith((f'{outer}.', f'{outer}['))


def _invalid_parts_of(
    error: Exception, path: PathParts, locations: DocumentLocations
) -> typing.Iterator[_InvalidPart]:
    if isinstance(error, cattrs_errors.ForbiddenExtraKeysError):
        for name in sorted(map(str, error.extra_fields)):
            finding = findings.Finding(
                locations.locate_key(*path, name), f'unknown field {name!r}'
            )
            yield _InvalidPart((*path, name), finding)
        return
    if isinstance(error, cattrs_errors.ClassValidationError):
        noted, other = error.group_exceptions()
        for inner, class_note in noted:
            yield from _invalid_parts_of(
                inner, (*path, class_note.name), locations
            )
        for inner in other:
            yield from _invalid_parts_of(inner, path, locations)
        return
    if isinstance(error, cattrs_errors.IterableValidationError):
        noted, other = error.group_exceptions()
        for inner, item_note in noted:
            yield from _invalid_parts_of(
                inner, (*path, item_note.index), locations
            )
        for inner in other:
            yield from _invalid_parts_of(inner, path, locations)
        return
    finding = findings.Finding(
        locations.locate(*path), _message_for(error, path)
    )
    yield _InvalidPart(path, finding)


def _message_for(error: Exception, path: PathParts) -> str:
    if isinstance(error, KeyError):
        return f'missing field {path[-1] if path else error.args[0]!r}'
    if isinstance(error, ValueError):
        return str(error)
    return f'invalid value ({error})'


def _syntax_finding(
    file_name: str, error: yaml.MarkedYAMLError
) -> findings.Finding:
    mark = error.problem_mark or error.context_mark
    location = findings.Location(file_name)
    if mark is not None:
        location = findings.Location(file_name, mark.line + 1, mark.column + 1)
    return findings.Finding(location, f'invalid YAML: {error.problem}')


def _document_error(
    file_name: str, message: str
) -> Result[typing.Any, findings.Findings]:
    finding = findings.Finding(findings.Location(file_name, 1, 1), message)
    return Error(findings.Findings((finding,)))


def _child(node: yaml.Node | None, part: str | int) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == str(part):
                return value_node
        return None
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        return node.value[part] if part < len(node.value) else None
    return None


def _duplicate_keys(
    node: yaml.Node | None, path: PathParts, locations: DocumentLocations
) -> list[_InvalidPart]:
    found: list[_InvalidPart] = []
    if isinstance(node, yaml.SequenceNode):
        for index, member in enumerate(node.value):
            found.extend(_duplicate_keys(member, (*path, index), locations))
        return found
    if not isinstance(node, yaml.MappingNode):
        return found
    seen: set[str] = set()
    for key_node, value_node in node.value:
        key = str(key_node.value)
        if key in seen:
            mark = key_node.start_mark
            location = findings.Location(
                locations.locate().file_name,
                mark.line + 1,
                mark.column + 1,
                _dotted_path((*path, key)),
            )
            finding = findings.Finding(location, f'duplicate key {key!r}')
            found.append(_InvalidPart((*path, key), finding))
        seen.add(key)
        found.extend(_duplicate_keys(value_node, (*path, key), locations))
    return found


def _dotted_path(path: PathParts) -> str:
    text = ''
    for part in path:
        if isinstance(part, int):
            text = f'{text}[{part}]'
            continue
        text = f'{text}.{part}' if text else part
    return text


def _strict(kind: type, expected: str) -> typing.Callable[..., typing.Any]:
    def structure(raw: typing.Any, _: typing.Any) -> typing.Any:
        if isinstance(raw, bool) and kind is not bool:
            raise _FieldError(f'expected {expected}, not {raw!r}')
        if kind is float and isinstance(raw, int):
            return float(raw)
        if not isinstance(raw, kind):
            raise _FieldError(f'expected {expected}, not {raw!r}')
        return raw

    return structure


def _structure_tuple(raw: typing.Any, expected: typing.Any) -> typing.Any:
    if not isinstance(raw, list):
        raise _FieldError(f'expected a list, not {raw!r}')
    (member_type, _) = typing.get_args(expected)
    return tuple(CONVERTER.structure(raw, list[member_type]))


def _is_variadic_tuple(expected: typing.Any) -> bool:
    arguments = typing.get_args(expected)
    return typing.get_origin(expected) is tuple and arguments[-1:] == (...,)


def _structure_attrs(cls: type) -> typing.Callable[..., typing.Any]:
    inner = gen.make_dict_structure_fn(
        cls, CONVERTER, _cattrs_forbid_extra_keys=True
    )

    def structure(raw: typing.Any, expected: typing.Any) -> typing.Any:
        if not isinstance(raw, dict):
            raise _FieldError(f'expected a mapping, not {raw!r}')
        return inner(raw, expected)

    return structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict(str, 'a string'))
    converter.register_structure_hook(int, _strict(int, 'an integer'))
    converter.register_structure_hook(float, _strict(float, 'a number'))
    converter.register_structure_hook(bool, _strict(bool, 'a boolean'))
    converter.register_structure_hook_func(_is_variadic_tuple, _structure_tuple)
    converter.register_structure_hook_factory(attrs.has, _structure_attrs)
    return converter


CONVERTER = _make_converter()
