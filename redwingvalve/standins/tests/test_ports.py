"""Allocation of ports for fakes and tests."""

import collections
import contextlib
import socket
import subprocess
import sys

import pytest

from redwingvalve.standins import ports


def test_no_port_is_returned_twice():
    """Processes that start together must get different ports.

    Both request ports before either of them listens.
    """
    given = [port for _ in range(40) for port in ports.free_ports(50)]
    assert len(set(given)) == len(given)


def test_port_in_use_for_udp_is_not_free(monkeypatch):
    """A node needs the same port for TCP and UDP.

    Another socket has bound the UDP port, while the TCP port is free.
    """
    with contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as taken:
        taken.bind((ports.HOST, 0))
        port = taken.getsockname()[1]
        monkeypatch.setattr(ports, 'FIRST_PORT', port)
        monkeypatch.setattr(ports, 'LAST_PORT', port)
        monkeypatch.setattr(ports, 'MAX_ATTEMPTS', 3)
        with pytest.raises(OSError):
            ports.free_ports(1)


def test_a_port_that_another_process_reserved_is_not_free():
    """Test processes that run side by side choose before they listen."""
    port = ports.free_ports(1)[0]
    source = (
        'from redwingvalve.standins import ports\n'
        f'ports.FIRST_PORT = ports.LAST_PORT = {port}\n'
        'ports.MAX_ATTEMPTS = 3\n'
        'ports.free_ports(1)\n'
    )
    other = subprocess.run(
        [sys.executable, '-c', source], capture_output=True, check=False
    )
    assert b'fewer than 1 free ports' in other.stderr


def test_no_socket_is_opened_at_a_port_that_another_process_reserved(
    monkeypatch,
):
    """A trial socket there kept the other process from listening."""
    reserved = ports.free_ports(1)[0]
    tried = []

    def is_free(port, held):
        tried.append(port)
        return True

    monkeypatch.setattr(ports, '_is_free', is_free)
    monkeypatch.setattr(ports, 'FIRST_PORT', reserved)
    monkeypatch.setattr(ports, 'LAST_PORT', reserved)
    monkeypatch.setattr(ports, 'MAX_ATTEMPTS', 3)
    with pytest.raises(OSError):
        ports.free_ports(1)
    assert tried == []


def test_a_process_gives_the_ports_back_that_it_reserved_long_ago(
    monkeypatch, tmp_path
):
    """Test processes that run for long used up all ports."""
    # Others reserve ports of the same range.
    monkeypatch.setattr(ports, '_LOCK_DIRECTORY', tmp_path)
    monkeypatch.setattr(ports, 'LAST_PORT', ports.FIRST_PORT + 199)
    monkeypatch.setattr(ports, 'MAX_RESERVED', 50)
    monkeypatch.setattr(ports, '_LOCKS', collections.deque())
    for _ in range(20):
        assert len(set(ports.free_ports(25))) == 25
