"""The settings file that the platform writes for each process."""

import json
import os
import pathlib
import typing

import attrs

from redwingvalve.platform import names

_UNREADABLE = (TypeError, ValueError, AttributeError, IndexError)


# Where metrics are read; the deploy file names the same port and path.
METRICS_PORT = 9464


class SettingsError(Exception):
    """The settings file can't be used; the text names the place."""


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
    bounds: Bounds


def parse_address(text: str) -> SocketAddress:
    """Split host:port; raises ValueError."""
    host, _, port = text.rpartition(':')
    return SocketAddress(host, int(port))


def settings_path() -> pathlib.Path:
    """Return where the platform has put the settings of this process."""
    path = os.environ.get(names.SETTINGS_VARIABLE, names.DEFAULT_SETTINGS_PATH)
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> NodeSettings:
    """Read and check the file; raises SettingsError with the place."""
    try:
        return decode_settings(json.loads(path.read_text()))
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error


def decode_settings(document: typing.Any) -> NodeSettings:
    """Turn the file's content into settings; raises SettingsError."""
    if not isinstance(document, dict):
        raise SettingsError('settings: not an object')
    try:
        return _decode(document)
    except KeyError as error:
        raise SettingsError(f'settings: field {error} is missing') from error
    except _UNREADABLE as error:
        raise SettingsError(f'settings: {error}') from error


def _decode(document: dict[str, typing.Any]) -> NodeSettings:
    listen = document['listen']
    return NodeSettings(
        vm=document['node'],
        ip=document['ip'],
        data_centre=document['zone'],
        region=document['region'],
        front=parse_address(listen['front']),
        ready=parse_address(listen['ready']),
        directory=parse_address(listen['directory']),
        peer_port=int(document['internal_ports'][0]),
        store=parse_address(document['platform']['address']),
        endpoint_heartbeat_ms=int(document['heartbeat_ms']),
        metrics_port=METRICS_PORT,
        bounds=_decode_bounds(document['bounds']),
    )


def _decode_bounds(bounds: dict[str, typing.Any]) -> Bounds:
    return Bounds(
        drain_ms=int(bounds['drain_ms']),
        grace_s=float(bounds['grace_s']),
        retry_ratio=float(bounds['retry_budget_ratio']),
        retry_window_s=float(bounds['budget_window_s']),
        retry_extra=int(bounds['budget_extra']),
        directory_ttl_max_s=float(bounds['ttl_max_s']),
        stall_ms=int(bounds['stall_ms']),
    )
