"""Lists how a configuration differs from the version in force."""

import typing
from collections import abc as collections_abc

from redwingvalve.core import findings
from redwingvalve.platform import configuration_check

_Path: typing.TypeAlias = tuple[str, str]
# Lists of secrets: only how many change is told.
_SECRETS = 'api_keys'
_ABSENT = object()


def compare(
    before: typing.Any, after: typing.Any, file_name: str
) -> list[configuration_check.Checked]:
    """Return one finding per changed field, entries matched by name."""
    return [
        configuration_check.Checked(
            configuration_check.Severity.CHANGE,
            findings.Finding(findings.Location(file_name, path=path), message),
        )
        for path, message in _compare('', before, after)
    ]


def _compare(
    path: str, before: typing.Any, after: typing.Any
) -> collections_abc.Iterator[_Path]:
    if before == after:
        return
    if path.endswith(f'.{_SECRETS}'):
        yield path, _count_secrets(before, after)
    elif isinstance(before, dict) and isinstance(after, dict):
        yield from _compare_fields(path, before, after)
    elif _is_named(before) and _is_named(after):
        yield from _compare_fields(
            path, _by_name(before), _by_name(after), '{0}[{1}]'
        )
    else:
        yield path, f'{_show(before)} -> {_show(after)}'


def _compare_fields(
    path: str,
    before: dict[str, typing.Any],
    after: dict[str, typing.Any],
    form: str = '{0}.{1}',
) -> collections_abc.Iterator[_Path]:
    for name in dict.fromkeys((*before, *after)):
        inner = form.format(path, name) if path else name
        old, new = before.get(name, _ABSENT), after.get(name, _ABSENT)
        if new is _ABSENT:
            yield inner, 'removed'
        elif old is _ABSENT:
            yield inner, 'added'
        else:
            yield from _compare(inner, old, new)


def _is_named(entries: typing.Any) -> bool:
    return isinstance(entries, list) and all(
        isinstance(entry, dict) and 'name' in entry for entry in entries
    )


def _by_name(entries: list[dict[str, typing.Any]]) -> dict[str, typing.Any]:
    return {entry['name']: entry for entry in entries}


def _count_secrets(before: typing.Any, after: typing.Any) -> str:
    known, now = set(before or ()), set(after or ())
    return f'{len(now - known)} added, {len(known - now)} removed'


def _show(field: typing.Any) -> str:
    if isinstance(field, dict | list):
        return f'{len(field)} entries'
    return repr(field)
