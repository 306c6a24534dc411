"""JSON logs: short sentences with a fixed prefix for each part."""

import logging
import typing

from pythonjsonlogger import json as json_logger

FORMAT = '{asctime}{levelname}{message}'


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Puts the part's prefix before each sentence."""

    def process(
        self, msg: typing.Any, kwargs: typing.MutableMapping[str, typing.Any]
    ) -> tuple[typing.Any, typing.MutableMapping[str, typing.Any]]:
        """Add the prefix; extra fields go into the JSON object."""
        prefix = (self.extra or {})['prefix']
        return f'{prefix}: {msg}', kwargs


def make_logger(part: str) -> PartLogger:
    """Return the logger of a part; its name is the fixed prefix."""
    logger = logging.getLogger(f'redwingvalve.{part}')
    return PartLogger(logger, {'prefix': part})


def configure(level: str, stream: typing.TextIO, node: str) -> None:
    """Send all logs of this process to stream, one JSON object a line."""
    attach(logging.StreamHandler(stream), level, node)


def attach(handler: logging.Handler, level: str, node: str) -> None:
    """Send all logs of this process to a handler, one JSON object a line."""
    handler.setFormatter(
        json_logger.JsonFormatter(
            FORMAT,
            style='{',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'node': node},
        )
    )
    root = logging.getLogger('redwingvalve')
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
