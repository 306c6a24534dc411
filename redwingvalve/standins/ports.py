"""Allocates loopback ports outside the ephemeral port range."""

import contextlib
import os
import random
import socket

HOST = '127.0.0.1'
# Below the ephemeral port range: otherwise, on a busy machine, an outgoing
# connection could take a port after the check and before a process listens on
# it.
FIRST_PORT = 10_240
LAST_PORT = 32_000
MAX_ATTEMPTS = 10_000
_RNG = random.Random(os.getpid())
# Ports returned before; their processes may not be listening yet.
_RESERVED_PORTS: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return count different ports; OSError if too few are found."""
    with contextlib.ExitStack() as held:
        found: list[int] = []
        for _ in range(MAX_ATTEMPTS):
            port = _RNG.randint(FIRST_PORT, LAST_PORT)
            if port not in _RESERVED_PORTS and _is_free(port, held):
                _RESERVED_PORTS.add(port)
                found.append(port)
            if len(found) == count:
                return found
    raise OSError(f'fewer than {count} free ports were found')


def _is_free(port: int, held: contextlib.ExitStack) -> bool:
    """Bind a port for TCP and UDP; return whether both were free.

    Nodes use the same port for both, and binding one protocol does not detect
    a socket of the other. The sockets stay open until held is closed.
    """
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        trial = held.enter_context(socket.socket(type=kind))
        try:
            trial.bind((HOST, port))
        except OSError:
            return False
    return True
