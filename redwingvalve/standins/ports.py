"""Allocates loopback ports outside the ephemeral port range."""

import collections
import contextlib
import fcntl
import os
import pathlib
import random
import socket
import tempfile

HOST = '127.0.0.1'
# Below the ephemeral port range: otherwise, on a busy machine, an outgoing
# connection could take a port after the check and before a process listens on
# it.
FIRST_PORT = 10_240
LAST_PORT = 32_000
MAX_ATTEMPTS = 10_000
# Ports that one process keeps reserved; half a dozen test processes that run
# side by side must not use up the range.
MAX_RESERVED = 2500
_RNG = random.Random(os.getpid())
# Open locks of the ports returned last, oldest first. Their processes may not
# be listening yet, or no longer while others still connect to them. The rest
# are released when this process exits.
_LOCKS: collections.deque[int] = collections.deque()
_LOCK_DIRECTORY = pathlib.Path(tempfile.gettempdir(), 'redwingvalve-ports')


def free_ports(count: int) -> list[int]:
    """Return count different ports; OSError if too few are found."""
    with contextlib.ExitStack() as held:
        found: list[int] = []
        for _ in range(MAX_ATTEMPTS):
            port = _RNG.randint(FIRST_PORT, LAST_PORT)
            # Reserved first: a trial socket at a port of another process would
            # keep that process from listening.
            if _reserve(port) and _is_free(port, held):
                found.append(port)
            if len(found) == count:
                return found
    raise OSError(f'fewer than {count} free ports were found')


def _reserve(port: int) -> bool:
    """Reserve a port; return False if any process has reserved it before."""
    _LOCK_DIRECTORY.mkdir(exist_ok=True)
    lock = os.open(_LOCK_DIRECTORY / str(port), os.O_CREAT | os.O_RDWR)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _LOCKS.append(lock)
    if len(_LOCKS) > MAX_RESERVED:
        os.close(_LOCKS.popleft())
    return True


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
