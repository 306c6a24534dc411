"""IP addresses as text.

Load pattern: another program writes a host name where an address belongs. There
are no name lookups: one would run in a thread that may hang, or raise errors of
its own kind.
"""

import ipaddress

MAX_PORT = 65_535


def is_ipv4(host: str) -> bool:
    """Return whether a host is a literal IPv4 address."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def is_port(number: int) -> bool:
    """Return whether a peer can listen on a port of this number."""
    return 0 < number <= MAX_PORT
