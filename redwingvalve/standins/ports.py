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


def free_ports(count: int) -> list[int]:
    """Return count different ports; OSError when none can be found."""
    with contextlib.ExitStack() as held:
        found: list[int] = []
        for _ in range(TRIES):
            port = _CHANCE.randint(FIRST_PORT, LAST_PORT)
            trial = held.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                trial.bind((HOST, port))
                found.append(port)
            if len(found) == count:
                return found
    raise OSError(f'{count} free ports were not found')
