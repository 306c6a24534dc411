"""All commands, each from the slice or module that does its work."""

from redwingvalve.cli import check, options

ALL: tuple[options.Command, ...] = (check.CHECK,)
