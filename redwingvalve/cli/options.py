"""Declarative definitions of commands and their options."""

import argparse
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.core import environment, exit_status

Runner = collections_abc.Callable[
    [argparse.Namespace, environment.Environment], exit_status.ExitStatus
]


@attrs.frozen
class Option:
    """One argument of a command; positional if it has no flags."""

    dest: str
    help: str
    flags: tuple[str, ...] = ()
    default: typing.Any = None
    type: collections_abc.Callable[[str], typing.Any] | None = None
    choices: tuple[str, ...] = ()
    required: bool = False
    switch: bool = False
    nargs: str | None = None


@attrs.frozen
class Command:
    """A command with its help, an example and the function that runs it."""

    name: str
    help: str
    example: str
    run: Runner
    options: tuple[Option, ...] = ()


def flag(
    dest: str,
    explained: str,
    default: typing.Any = None,
    type_: collections_abc.Callable[[str], typing.Any] | None = None,
) -> Option:
    """Return an option whose flag is derived from dest, as in --duration-s."""
    name = dest.replace('_', '-')
    return Option(dest, explained, (f'--{name}',), default, type_)


OUTPUT = Option(
    dest='output',
    flags=('--output',),
    choices=('table', 'json'),
    default='table',
    help='output format',
)


def add_command(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
    command: Command,
) -> None:
    """Add a command to the parser."""
    parser = subparsers.add_parser(
        command.name,
        help=command.help,
        description=command.help,
        epilog=f'example:\n  {command.example}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    for option in command.options:
        _add_option(parser, option)
    parser.set_defaults(run=command.run)


def _add_option(parser: argparse.ArgumentParser, option: Option) -> None:
    arguments: dict[str, typing.Any] = {'help': option.help}
    if option.flags:
        arguments['dest'] = option.dest
        arguments['required'] = option.required
    if option.switch:
        parser.add_argument(*option.flags, action='store_true', **arguments)
        return
    arguments['default'] = option.default
    for name in ('type', 'nargs'):
        if getattr(option, name) is not None:
            arguments[name] = getattr(option, name)
    if option.choices:
        arguments['choices'] = option.choices
    parser.add_argument(*(option.flags or (option.dest,)), **arguments)
