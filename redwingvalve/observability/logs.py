"""JSON logs: short messages with a fixed prefix per component."""

import logging
import typing

from pythonjsonlogger import json as json_logger

FORMAT = '{asctime}{levelname}{message}'


class ComponentLogger(logging.LoggerAdapter[logging.Logger]):
    """Prepends the component's prefix to each message."""

    def process(
        self, msg: typing.Any, kwargs: typing.MutableMapping[str, typing.Any]
    ) -> tuple[typing.Any, typing.MutableMapping[str, typing.Any]]:
        """Add the prefix; extra fields become keys of the JSON object."""
        prefix = (self.extra or {})['prefix']
        return f'{prefix}: {msg}', kwargs


def make_logger(component: str) -> ComponentLogger:
    """Return the logger of a component; its name is the message prefix."""
    logger = logging.getLogger(f'redwingvalve.{component}')
    return ComponentLogger(logger, {'prefix': component})


def configure(level: str, stream: typing.TextIO, node: str) -> None:
    """Send all logs of this process to stream, one JSON object per line."""
    attach(logging.StreamHandler(stream), level, node)


def attach(handler: logging.Handler, level: str, node: str) -> None:
    """Send all logs of this process to handler, one JSON object per line."""
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
