"""Ports that the stand-ins and the tests listen on."""

import contextlib
import socket

import pytest

from redwingvalve.standins import ports


def test_no_port_is_given_twice():
    """Two processes that are started together listen at different ports.

    Both ask for ports before either listens; each must get its own.
    """
    given = [port for _ in range(40) for port in ports.free_ports(50)]
    assert len(set(given)) == len(given)


def test_a_port_with_datagrams_is_not_free(monkeypatch):
    """A node that needs one port for streams and datagrams gets both.

    Another socket holds the datagrams of a port whose streams are free.
    """
    with contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as taken:
        taken.bind((ports.HOST, 0))
        port = taken.getsockname()[1]
        monkeypatch.setattr(ports, 'FIRST_PORT', port)
        monkeypatch.setattr(ports, 'LAST_PORT', port)
        monkeypatch.setattr(ports, 'TRIES', 3)
        with pytest.raises(OSError):
            ports.free_ports(1)
