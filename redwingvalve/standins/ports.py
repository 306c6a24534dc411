"""Free ports of loopback that no outgoing connection takes meanwhile."""

import contextlib
import os
import random
import socket

HOST = '127.0.0.1'
# Below the range from which the kernel gives ports to outgoing connections: a
# port that was free a moment ago would else be taken by the next connection
# of a busy machine before its process listens on it.
FIRST_PORT = 10_240
LAST_PORT = 32_000
TRIES = 10_000
_CHANCE = random.Random(os.getpid())
# Handed out before: whoever asked may not listen on them yet.
_GIVEN: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return count different ports; OSError when none can be found."""
    with contextlib.ExitStack() as held:
        found: list[int] = []
        for _ in range(TRIES):
            port = _CHANCE.randint(FIRST_PORT, LAST_PORT)
            if port not in _GIVEN and _is_free(port, held):
                _GIVEN.add(port)
                found.append(port)
            if len(found) == count:
                return found
    raise OSError(f'{count} free ports were not found')


def _is_free(port: int, held: contextlib.ExitStack) -> bool:
    """Hold a port for streams and datagrams; return whether it was free.

    Nodes use one port for both, and a socket of the one kind doesn't show in
    a trial with the other.
    """
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        trial = held.enter_context(socket.socket(type=kind))
        try:
            trial.bind((HOST, port))
        except OSError:
            return False
    return True
