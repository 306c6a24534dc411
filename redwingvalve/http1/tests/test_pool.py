"""Connects to addresses that no socket takes."""

import asyncio

import pytest

from redwingvalve.http1 import pool


@pytest.mark.parametrize(
    'address',
    [
        ('lm..svc', 80),
        ('l' * 70, 80),
        ('a\0b', 80),
        ('\ud800', 80),
        ('host.example', 80),
        ('', 80),
        ('127.0.0.1', 70_000),
        ('127.0.0.1', -1),
    ],
)
def test_an_unusable_address_is_a_failed_connect(address, monkeypatch):
    """UnicodeError, ValueError and OverflowError ended requests and loops.

    A lookup would run in a thread, which may hang.
    """

    async def main():
        loop = asyncio.get_running_loop()
        looked_up = []
        monkeypatch.setattr(
            loop, 'getaddrinfo', lambda *sought, **how: looked_up.append(sought)
        )
        with pytest.raises(pool.ConnectError):
            await pool.Pool().connect(address)
        assert not looked_up

    asyncio.run(main())
