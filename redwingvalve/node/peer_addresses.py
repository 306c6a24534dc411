"""Addresses of other nodes, from registrations and messages.

Load pattern: any program may write a registration. One name that can't be
encoded would close the socket of the status messages to all nodes, and one
number out of range would fail each answer of the directory. So an address is
used only if each of its fields can be: sent, encoded and compared.
"""

import typing

import attrs

from redwingvalve.core import ip_addresses, texts
from redwingvalve.platform import settings

# Times are sent as 64-bit numbers.
_MAX_BORN_MS = 2**63 - 1
# More than any link has.
_MAX_LINK_MBPS = 1e9

SocketAddress: typing.TypeAlias = tuple[str, int]


@attrs.frozen
class PeerAddress:
    """Address and attributes of a node, as registered in the store."""

    vm: str
    ip: str
    peer_port: int
    front: str
    data_centre: str
    born_ms: int
    # 0 if the node doesn't state its bandwidth.
    link_mbps: float = 0

    @property
    def socket_address(self) -> SocketAddress:
        """Return the address for datagrams to this node."""
        return self.ip, self.peer_port


def announced_address(message: typing.Any) -> PeerAddress | None:
    """Return the sender's address if the message carries a usable one."""
    address = message.address
    if address is None or not (address.ip and address.peer_port):
        return None
    announced = PeerAddress(
        vm=message.vm,
        ip=address.ip,
        peer_port=address.peer_port,
        front=address.front or '',
        data_centre=address.data_centre or '',
        born_ms=message.born_ms or 0,
        link_mbps=address.link_mbps or 0,
    )
    try:
        check(announced)
    except (TypeError, ValueError):
        return None
    return announced


def check(address: PeerAddress) -> None:
    """Raise TypeError or ValueError unless each field is usable."""
    _check_name(address.vm)
    _check_name(address.data_centre)
    if not address.vm:
        raise ValueError('no name')
    _check_addresses(address)
    if not 0 <= _whole(address.born_ms) <= _MAX_BORN_MS:
        raise ValueError('start time out of range')
    if not 0 <= _number(address.link_mbps) <= _MAX_LINK_MBPS:
        raise ValueError('bandwidth out of range')


def _check_addresses(address: PeerAddress) -> None:
    if not ip_addresses.is_ipv4(_text(address.ip)):
        raise ValueError(f'{address.ip!r} is not an IPv4 address')
    if not ip_addresses.is_port(_whole(address.peer_port)):
        raise ValueError('not a valid port')
    settings.parse_address(_text(address.front))


def _check_name(name: typing.Any) -> None:
    if not texts.is_name(_text(name)):
        raise ValueError(f'unusable name of {len(name)} characters')


def _text(text: typing.Any) -> str:
    if not isinstance(text, str):
        raise TypeError('a text of another type')
    return text


def _whole(number: typing.Any) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError('a number of another type')
    return number


def _number(number: typing.Any) -> float:
    return number if isinstance(number, float) else _whole(number)
