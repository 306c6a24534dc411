"""Listens for callers before the rest of a node is imported.

Load pattern: all nodes are killed at once and start again, or one at a time
while its callers still have its address. Importing a node takes some 0.3 s of
processor time; until a socket listens, each caller that comes is turned away,
and callers try again once. Connections that come earlier wait in the kernel's
queue and are served as soon as the node runs.
"""

import socket

from redwingvalve.platform import settings

# Connections that wait to be accepted: a dropped opening packet is sent again
# only after a second.
BACKLOG = 1024

EarlySockets = dict[settings.SocketAddress, socket.socket]


def listen_early(node_settings: settings.NodeSettings) -> EarlySockets:
    """Listen where callers and the platform come; raises OSError."""
    addresses = {
        node_settings.front,
        node_settings.ready,
        node_settings.directory,
    }
    return {address: listen_at(address) for address in addresses}


def listen_at(address: settings.SocketAddress) -> socket.socket:
    """Return a socket that listens at an address; raises OSError."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((address.host, address.port))
    except OSError as error:
        listening.close()
        raise OSError(error.errno, f'{address}: {error.strerror}') from error
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening
