"""The settings file that the platform writes for each process."""

import json
import os
import pathlib
import typing

import attrs

from redwingvalve.core import findings
from redwingvalve.platform import names

_UNREADABLE = (TypeError, ValueError, AttributeError, IndexError)
HIGHEST_PORT = 65_535

# Where metrics are read; the deploy file names the same port and path.
METRICS_PORT = 9464


class SettingsError(Exception):
    """The settings file can't be used; the text names every place."""

    def __init__(self, found: findings.Findings) -> None:
        """Keep all findings."""
        super().__init__(str(found))
        self.findings = found


@attrs.frozen
class SocketAddress:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host:port."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class Bounds:
    """Times that the platform holds this system to."""

    drain_ms: int
    # Within this of its acknowledgement a configuration is in force.
    configuration_ms: int
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: int
    directory_ttl_max_s: float
    stall_ms: int


@attrs.frozen
class NodeSettings:
    """What one process is told at its start."""

    vm: str
    ip: str
    data_centre: str
    region: str
    front: SocketAddress
    ready: SocketAddress
    directory: SocketAddress
    # First of the ports that are free for traffic between the VMs.
    peer_port: int
    store: SocketAddress
    endpoint_heartbeat_ms: int
    metrics_port: int
    # 0 where the platform does not say.
    link_mbps: float
    bounds: Bounds


def parse_address(text: str) -> SocketAddress:
    """Split host:port; raises ValueError."""
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError(f'{text!r} is not host:port')
    return SocketAddress(host, _port(port))


def settings_path() -> pathlib.Path:
    """Return where the platform has put the settings of this process."""
    path = os.environ.get(names.SETTINGS_VARIABLE, names.DEFAULT_SETTINGS_PATH)
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Read and check the file; raises SettingsError with all places."""
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise _error(path, error.strerror or str(error)) from error
    except ValueError as error:
        raise _error(path, f'not JSON: {error}') from error
    return decode_settings(document, str(path))


def decode_settings(
    document: typing.Any, file_name: str = 'settings'
) -> NodeSettings:
    """Turn the file's content into settings; raises SettingsError."""
    fields = _Fields(document, file_name)
    made = _decode(fields)
    if fields.findings:
        raise SettingsError(findings.Findings(tuple(fields.findings)))
    return made


class _Fields:
    """Reads fields by their path, and collects what is wrong with them."""

    def __init__(self, document: typing.Any, file_name: str) -> None:
        self.findings: list[findings.Finding] = []
        self._document = document
        self._file_name = file_name

    def read(
        self, path: str, convert: typing.Callable[..., typing.Any]
    ) -> typing.Any:
        """Return a converted field, or None with one more finding."""
        try:
            return convert(self._find(path))
        except KeyError as error:
            self._note(path, f'field {error} is missing')
        except _UNREADABLE as error:
            self._note(path, str(error))
        return None

    def read_or(
        self,
        path: str,
        convert: typing.Callable[..., typing.Any],
        default: typing.Any,
    ) -> typing.Any:
        """Return a converted field, or the default where it is missing."""
        try:
            self._find(path)
        except (KeyError, TypeError):
            return default
        return self.read(path, convert)

    def _find(self, path: str) -> typing.Any:
        found = self._document
        for name in path.split('.'):
            if not isinstance(found, dict):
                raise TypeError('not an object')
            found = found[name]
        return found

    def _note(self, path: str, message: str) -> None:
        place = findings.Place(self._file_name, path=path)
        self.findings.append(findings.Finding(place, message))


def _decode(fields: _Fields) -> NodeSettings:
    return NodeSettings(
        vm=fields.read('node', _text),
        ip=fields.read('ip', _text),
        data_centre=fields.read('zone', _text),
        region=fields.read('region', _text),
        front=fields.read('listen.front', parse_address),
        ready=fields.read('listen.ready', parse_address),
        directory=fields.read('listen.directory', parse_address),
        peer_port=fields.read('internal_ports', _first_port),
        store=fields.read('platform.address', parse_address),
        endpoint_heartbeat_ms=fields.read('heartbeat_ms', _positive),
        metrics_port=METRICS_PORT,
        link_mbps=fields.read_or('limits.link_mbps', _not_negative, 0),
        bounds=Bounds(
            drain_ms=fields.read('bounds.drain_ms', _positive),
            configuration_ms=fields.read('bounds.config_apply_ms', _positive),
            grace_s=fields.read('bounds.grace_s', _positive),
            retry_ratio=fields.read('bounds.retry_budget_ratio', _not_negative),
            retry_window_s=fields.read('bounds.budget_window_s', _positive),
            retry_extra=fields.read('bounds.budget_extra', _not_negative),
            directory_ttl_max_s=fields.read('bounds.ttl_max_s', _positive),
            stall_ms=fields.read('bounds.stall_ms', _positive),
        ),
    )


def _text(found: typing.Any) -> str:
    if not isinstance(found, str) or not found:
        raise ValueError(f'{found!r} is not a text')
    return found


def _port(found: typing.Any) -> int:
    port = int(found)
    if not 0 < port <= HIGHEST_PORT:
        raise ValueError(f'{found!r} is not a port')
    return port


def _first_port(found: typing.Any) -> int:
    if not isinstance(found, list) or not found:
        raise ValueError(f'{found!r} is not a list of ports')
    return _port(found[0])


def _positive(found: typing.Any) -> float:
    number = _number(found)
    if not number > 0:
        raise ValueError(f'{found!r} is not above 0')
    return number


def _not_negative(found: typing.Any) -> float:
    number = _number(found)
    if not number >= 0:
        raise ValueError(f'{found!r} is below 0')
    return number


def _number(found: typing.Any) -> float:
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f'{found!r} is not a number')
    return found


def _error(path: pathlib.Path, message: str) -> SettingsError:
    place = findings.Place(str(path))
    return SettingsError(findings.Findings((findings.Finding(place, message),)))
