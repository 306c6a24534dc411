"""Reads the settings file that the platform writes for each process."""

import json
import os
import pathlib
import typing

import attrs

from redwingvalve.core import findings, ip_addresses
from redwingvalve.platform import names

# Raised by converters when a field has an unexpected type or value.
_INVALID_FIELD = (
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
)

# Port for Prometheus scrapes; the deployment file uses the same port and path.
METRICS_PORT = 9464
DEFAULT_STABLE_WINDOW_MS = 3_000
DEFAULT_COLD_EXCESS = 1.5
DEFAULT_COLD_SLACK = 5
# Of a process whose settings don't name them.
DEFAULT_MEMORY_MB = 256
DEFAULT_DESCRIPTORS = 4096
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200


class SettingsError(Exception):
    """The settings file is invalid; the message lists every error found."""

    def __init__(self, found: findings.Findings) -> None:
        """Store all findings."""
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
    """Limits that the platform requires this system to meet."""

    drain_ms: int
    # Time from the acknowledgement of a configuration until it is in force.
    configuration_ms: int
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: int
    directory_ttl_max_s: float
    stall_ms: int
    # Time in which all nodes have to know what one of them has seen.
    stable_window_ms: int = DEFAULT_STABLE_WINDOW_MS
    # Time from the acknowledgement of an evacuation until it is in force, None
    # if the platform evacuates no data centres.
    evacuate_ms: int | None = None
    # In any one second a cold endpoint gets at most the rate of its service
    # times this, plus cold_slack requests.
    cold_excess: float = DEFAULT_COLD_EXCESS
    cold_slack: float = DEFAULT_COLD_SLACK


@attrs.frozen
class ProcessLimits:
    """What a process may use before the platform ends it."""

    memory_mb: float = DEFAULT_MEMORY_MB
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def sockets(self) -> int:
        """Return how many descriptors are for sockets and pipes."""
        return max(1, self.descriptors - FILE_DESCRIPTORS)


@attrs.frozen
class NodeSettings:
    """Settings that a process receives when it starts."""

    vm: str
    ip: str
    data_centre: str
    region: str
    front: SocketAddress
    ready: SocketAddress
    directory: SocketAddress
    # First of the ports reserved for traffic between VMs.
    peer_port: int
    store: SocketAddress
    endpoint_heartbeat_ms: int
    metrics_port: int
    # 0 if the platform does not specify it.
    link_mbps: float
    bounds: Bounds
    limits: ProcessLimits = ProcessLimits()


def parse_address(text: str) -> SocketAddress:
    """Parse an IPv4 address and a port; raises ValueError.

    Names are refused, as they would have to be looked up.
    """
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError(f'{text!r} is not in the form host:port')
    if not ip_addresses.is_ipv4(host):
        raise ValueError(f'{host!r} is not an IPv4 address')
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(f'{port!r} is not a valid port')
    return SocketAddress(host, _parse_port(port))


def settings_path() -> pathlib.Path:
    """Return the path of this process's settings file."""
    path = os.environ.get(names.SETTINGS_VARIABLE, names.DEFAULT_SETTINGS_PATH)
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Read and validate the file; raises SettingsError with all findings."""
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise _error(path, error.strerror or str(error)) from error
    except ValueError as error:
        raise _error(path, f'invalid JSON: {error}') from error
    return decode_settings(document, str(path))


def decode_settings(
    document: typing.Any, file_name: str = 'settings'
) -> NodeSettings:
    """Decode the parsed file; raises SettingsError."""
    reader = _FieldReader(document, file_name)
    node_settings = _decode(reader)
    if reader.findings:
        raise SettingsError(findings.Findings(tuple(reader.findings)))
    return node_settings


class _FieldReader:
    """Reads fields by their path and collects errors."""

    def __init__(self, document: typing.Any, file_name: str) -> None:
        self.findings: list[findings.Finding] = []
        self._document = document
        self._file_name = file_name

    def read(
        self, path: str, convert: typing.Callable[..., typing.Any]
    ) -> typing.Any:
        """Return the converted field; on errors, add a finding, return None."""
        try:
            return convert(self._find(path))
        except KeyError as error:
            self._add_finding(path, f'field {error} is missing')
        except _INVALID_FIELD as error:
            self._add_finding(path, str(error))
        return None

    def read_or(
        self,
        path: str,
        convert: typing.Callable[..., typing.Any],
        default: typing.Any,
    ) -> typing.Any:
        """Return the converted field, or the default if it is missing."""
        try:
            self._find(path)
        except (KeyError, TypeError):
            return default
        return self.read(path, convert)

    def _find(self, path: str) -> typing.Any:
        current = self._document
        for name in path.split('.'):
            if not isinstance(current, dict):
                raise TypeError('parent is not an object')
            current = current[name]
        return current

    def _add_finding(self, path: str, message: str) -> None:
        place = findings.Location(self._file_name, path=path)
        self.findings.append(findings.Finding(place, message))


def _decode(fields: _FieldReader) -> NodeSettings:
    return NodeSettings(
        vm=fields.read('node', _require_text),
        ip=fields.read('ip', _require_text),
        data_centre=fields.read('zone', _require_text),
        region=fields.read('region', _require_text),
        front=fields.read('listen.front', parse_address),
        ready=fields.read('listen.ready', parse_address),
        directory=fields.read('listen.directory', parse_address),
        peer_port=fields.read('internal_ports', _parse_first_port),
        store=fields.read('platform.address', parse_address),
        endpoint_heartbeat_ms=fields.read('heartbeat_ms', _require_positive),
        metrics_port=METRICS_PORT,
        link_mbps=fields.read_or('limits.link_mbps', _require_not_negative, 0),
        limits=ProcessLimits(
            memory_mb=fields.read_or(
                'limits.memory_mb', _require_positive, DEFAULT_MEMORY_MB
            ),
            descriptors=fields.read_or(
                'limits.max_fds', _require_positive, DEFAULT_DESCRIPTORS
            ),
        ),
        bounds=Bounds(
            drain_ms=fields.read('bounds.drain_ms', _require_positive),
            configuration_ms=fields.read(
                'bounds.config_apply_ms', _require_positive
            ),
            grace_s=fields.read('bounds.grace_s', _require_positive),
            retry_ratio=fields.read(
                'bounds.retry_budget_ratio', _require_not_negative
            ),
            retry_window_s=fields.read(
                'bounds.budget_window_s', _require_positive
            ),
            retry_extra=fields.read(
                'bounds.budget_extra', _require_not_negative
            ),
            directory_ttl_max_s=fields.read(
                'bounds.ttl_max_s', _require_positive
            ),
            stall_ms=fields.read('bounds.stall_ms', _require_positive),
            stable_window_ms=fields.read_or(
                'bounds.stable_window_ms',
                _require_positive,
                DEFAULT_STABLE_WINDOW_MS,
            ),
            evacuate_ms=fields.read_or(
                'bounds.evacuate_ms', _require_positive_or_none, None
            ),
            cold_excess=fields.read_or(
                'bounds.cold_excess', _require_positive, DEFAULT_COLD_EXCESS
            ),
            cold_slack=fields.read_or(
                'bounds.cold_slack', _require_not_negative, DEFAULT_COLD_SLACK
            ),
        ),
    )


def _require_text(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f'{value!r} is not a non-empty string')
    return value


def _parse_port(value: typing.Any) -> int:
    port = int(value)
    if not ip_addresses.is_port(port):
        raise ValueError(f'{value!r} is not a valid port')
    return port


def _parse_first_port(value: typing.Any) -> int:
    if not isinstance(value, list) or not value:
        raise ValueError(f'{value!r} is not a non-empty list of ports')
    return _parse_port(value[0])


def _require_positive(value: typing.Any) -> float:
    number = _require_number(value)
    if not number > 0:
        raise ValueError(f'{value!r} must be greater than 0')
    return number


def _require_positive_or_none(value: typing.Any) -> float | None:
    return None if value is None else _require_positive(value)


def _require_not_negative(value: typing.Any) -> float:
    number = _require_number(value)
    if not number >= 0:
        raise ValueError(f'{value!r} must not be negative')
    return number


def _require_number(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'{value!r} is not a number')
    return value


def _error(path: pathlib.Path, message: str) -> SettingsError:
    place = findings.Location(str(path))
    return SettingsError(findings.Findings((findings.Finding(place, message),)))
