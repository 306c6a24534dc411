"""All commands, each from the slice or module that does its work."""

from redwingvalve.cli import check, operate, options, token

ALL: tuple[options.Command, ...] = (
    check.CHECK,
    *operate.ALL,
    *token.ALL,
)
