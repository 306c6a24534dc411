"""Binds a YAML document to attrs classes and collects all findings.

PyYAML gives the marks (line and column), cattrs the structure; this module
only joins the two, so that a finding points at the line to mend.
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
    """A value of the wrong type; its text is what the person reads."""


@attrs.frozen
class BoundDocument(typing.Generic[BoundType]):
    """A bound document that still knows where each part stands."""

    content: BoundType
    places: 'DocumentPlaces'
    faulty: tuple[PathParts, ...] = ()

    def intact(self, *path: str | int) -> bool:
        """Tell whether what stands at path is the document's own word.

        False where it, a part of it or what holds it was faulty and blanked;
        a check of one field against another asks this first.
        """
        return not any(
            path[: len(fault)] == fault[: len(path)] for fault in self.faulty
        )


@attrs.frozen
class _Fault:
    """A finding of the binding, and the path that it spoils."""

    path: PathParts
    finding: findings.Finding


class DocumentPlaces:
    """Finds the place of a path inside a parsed YAML document."""

    def __init__(self, file_name: str, root: yaml.Node | None) -> None:
        """Remember the node tree of one file."""
        self._file_name = file_name
        self._root = root

    def place(self, *path: str | int) -> findings.Location:
        """Return the place of the deepest part of path that exists."""
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

    def key_place(self, *path: str | int) -> findings.Location:
        """Return the place of the key itself, for unknown fields."""
        node = self._root
        for part in path[:-1]:
            node = _child(node, part)
        if not isinstance(node, yaml.MappingNode):
            return self.place(*path)
        for key_node, _ in node.value:
            if key_node.value == path[-1]:
                mark = key_node.start_mark
                return findings.Location(
                    self._file_name,
                    mark.line + 1,
                    mark.column + 1,
                    _dotted_path(path),
                )
        return self.place(*path)


Check = collections_abc.Callable[
    [BoundDocument[typing.Any]], collections_abc.Iterable[findings.Finding]
]


def bind_text(
    text: str,
    file_name: str,
    target: type[BoundType],
    check: Check | None = None,
) -> Result[BoundDocument[BoundType], findings.Findings]:
    """Bind YAML text to target, or return every finding with its place.

    check adds the findings on what is bound. It is also asked when parts are
    faulty, about the rest; see BoundDocument.intact.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return _single(file_name, 'the document is larger than 1 MB')
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        return Error(findings.Findings((_syntax_finding(file_name, error),)))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _single(file_name, f'this is not YAML: {error}')
    places = DocumentPlaces(file_name, root)
    try:
        plain = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _single(file_name, f'this is not YAML: {error}')
    if not isinstance(plain, dict):
        return _single(file_name, 'a mapping is wanted here')
    twice = _duplicate_keys(root, (), places)
    return _bind_whole(plain, places, target, twice, check)


def _bind_whole(
    plain: dict[str, typing.Any],
    places: DocumentPlaces,
    target: type[BoundType],
    twice: list[_Fault],
    check: Check | None,
) -> Result[BoundDocument[BoundType], findings.Findings]:
    bound, found = _bind_plain(plain, places, target)
    found.extend(fault.finding for fault in twice)
    if bound is not None:
        faulty = (*bound.faulty, *(fault.path for fault in twice))
        bound = attrs.evolve(bound, faulty=faulty)
        if check is not None:
            found.extend(_findings_on_intact(bound, check))
    if bound is None or found:
        found.sort(key=lambda one: (one.place.line, one.place.column))
        return Error(findings.Findings(tuple(found)))
    return Ok(bound)


def _bind_plain(
    plain: dict[str, typing.Any],
    places: DocumentPlaces,
    target: type[BoundType],
) -> tuple[BoundDocument[BoundType] | None, list[findings.Finding]]:
    """Bind what can be bound, and find what cannot."""
    try:
        return BoundDocument(CONVERTER.structure(plain, target), places), []
    except Exception as error:  # noqa: BLE001 - reported with its place
        faults = list(_walk(error, (), places))
    found = [fault.finding for fault in faults]
    paths = tuple(fault.path for fault in faults)
    try:
        mended = placeholders.mend(plain, target, paths)
    except placeholders.UnmendableError:
        return None, found
    content = CONVERTER.structure(mended, target)
    return BoundDocument(content, places, paths), found


def _findings_on_intact(
    bound: BoundDocument[typing.Any], check: Check
) -> typing.Iterator[findings.Finding]:
    spoilt = [_dotted_path(path) for path in bound.faulty]
    for finding in check(bound):
        if not any(_is_within(finding.location.path, path) for path in spoilt):
            yield finding


def _is_within(path: str, outer: str) -> bool:
    return path == outer or path.startswith((f'{outer}.', f'{outer}['))


def _walk(
    error: Exception, path: PathParts, places: DocumentPlaces
) -> typing.Iterator[_Fault]:
    if isinstance(error, cattrs_errors.ForbiddenExtraKeysError):
        for name in sorted(map(str, error.extra_fields)):
            finding = findings.Finding(
                places.key_place(*path, name), f'unknown field {name!r}'
            )
            yield _Fault((*path, name), finding)
        return
    if isinstance(error, cattrs_errors.ClassValidationError):
        noted, bare = error.group_exceptions()
        for inner, class_note in noted:
            yield from _walk(inner, (*path, class_note.name), places)
        for inner in bare:
            yield from _walk(inner, path, places)
        return
    if isinstance(error, cattrs_errors.IterableValidationError):
        noted, bare = error.group_exceptions()
        for inner, item_note in noted:
            yield from _walk(inner, (*path, item_note.index), places)
        for inner in bare:
            yield from _walk(inner, path, places)
        return
    finding = findings.Finding(places.place(*path), _explain(error, path))
    yield _Fault(path, finding)


def _explain(error: Exception, path: PathParts) -> str:
    if isinstance(error, KeyError):
        return f'the field {path[-1] if path else error.args[0]!r} is missing'
    if isinstance(error, ValueError):
        return str(error)
    return f'a value of another shape is wanted here ({error})'


def _syntax_finding(
    file_name: str, error: yaml.MarkedYAMLError
) -> findings.Finding:
    mark = error.problem_mark or error.context_mark
    place = findings.Location(file_name)
    if mark is not None:
        place = findings.Location(file_name, mark.line + 1, mark.column + 1)
    return findings.Finding(place, f'this is not YAML: {error.problem}')


def _single(
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
    node: yaml.Node | None, path: PathParts, places: DocumentPlaces
) -> list[_Fault]:
    found: list[_Fault] = []
    if isinstance(node, yaml.SequenceNode):
        for index, member in enumerate(node.value):
            found.extend(_duplicate_keys(member, (*path, index), places))
        return found
    if not isinstance(node, yaml.MappingNode):
        return found
    seen: set[str] = set()
    for key_node, value_node in node.value:
        key = str(key_node.value)
        if key in seen:
            mark = key_node.start_mark
            place = findings.Location(
                places.place().file_name,
                mark.line + 1,
                mark.column + 1,
                _dotted_path((*path, key)),
            )
            finding = findings.Finding(place, f'{key!r} stands twice')
            found.append(_Fault((*path, key), finding))
        seen.add(key)
        found.extend(_duplicate_keys(value_node, (*path, key), places))
    return found


def _dotted_path(path: PathParts) -> str:
    text = ''
    for part in path:
        if isinstance(part, int):
            text = f'{text}[{part}]'
            continue
        text = f'{text}.{part}' if text else part
    return text


def _strict(kind: type, wanted: str) -> typing.Callable[..., typing.Any]:
    def structure(raw: typing.Any, _: typing.Any) -> typing.Any:
        if isinstance(raw, bool) and kind is not bool:
            raise _FieldError(f'{wanted} is wanted here, not {raw!r}')
        if kind is float and isinstance(raw, int):
            return float(raw)
        if not isinstance(raw, kind):
            raise _FieldError(f'{wanted} is wanted here, not {raw!r}')
        return raw

    return structure


def _structure_tuple(raw: typing.Any, wanted: typing.Any) -> typing.Any:
    if not isinstance(raw, list):
        raise _FieldError(f'a list is wanted here, not {raw!r}')
    (member_type, _) = typing.get_args(wanted)
    return tuple(CONVERTER.structure(raw, list[member_type]))


def _is_variadic_tuple(wanted: typing.Any) -> bool:
    arguments = typing.get_args(wanted)
    return typing.get_origin(wanted) is tuple and arguments[-1:] == (...,)


def _structure_attrs(cls: type) -> typing.Callable[..., typing.Any]:
    inner = gen.make_dict_structure_fn(
        cls, CONVERTER, _cattrs_forbid_extra_keys=True
    )

    def structure(raw: typing.Any, wanted: typing.Any) -> typing.Any:
        if not isinstance(raw, dict):
            raise _FieldError(f'a mapping is wanted here, not {raw!r}')
        return inner(raw, wanted)

    return structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict(str, 'text'))
    converter.register_structure_hook(int, _strict(int, 'a whole number'))
    converter.register_structure_hook(float, _strict(float, 'a number'))
    converter.register_structure_hook(bool, _strict(bool, 'true or false'))
    converter.register_structure_hook_func(_is_variadic_tuple, _structure_tuple)
    converter.register_structure_hook_factory(attrs.has, _structure_attrs)
    return converter


CONVERTER = _make_converter()
