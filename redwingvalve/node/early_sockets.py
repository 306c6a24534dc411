"""Opens the listening sockets before the rest of the node is imported.

Load pattern: all nodes are killed and restart at once, or a single node
restarts while callers still hold its address. Importing the node takes about
0.3 s of processor time. Until a socket listens, connections are refused, and
callers retry only once. With the sockets opened early, connections wait in the
kernel's accept queue and are served as soon as the node runs.
"""

import socket

from redwingvalve.platform import settings

# Length of the accept queue. When it is full, the kernel drops SYN packets,
# which clients retransmit only after a second.
BACKLOG = 1024

EarlySockets = dict[settings.SocketAddress, socket.socket]


def listen_early(node_settings: settings.NodeSettings) -> EarlySockets:
    """Listen at the caller-facing, readiness and directory addresses.

    Raises OSError.
    """
    addresses = {
        node_settings.front,
        node_settings.ready,
        node_settings.directory,
    }
    return {address: listen_at(address) for address in addresses}


def listen_at(address: settings.SocketAddress) -> socket.socket:
    """Return a non-blocking socket listening at an address; raises OSError."""
    # asyncio sets TCP_NODELAY only on sockets with an explicit protocol.
    listening = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((address.host, address.port))
    except OSError as error:
        listening.close()
        raise OSError(error.errno, f'{address}: {error.strerror}') from error
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening
