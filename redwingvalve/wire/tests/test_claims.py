"""Encoded structs that claim more than they hold."""

import struct
import time

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.node import status_messages
from redwingvalve.wire import claims, structs

# A vm and a number, without which no status message is valid.
BEGIN = b'\x0b\x00\x01\x00\x00\x00\x01v\x0a\x00\x03' + b'\x00' * 8
COUNT = struct.pack('!i', 2_000_000)
LIST, MAP, STRUCT = b'\x0f', b'\x0d', b'\x0c'
SUSPECTS, USAGE, UNKNOWN = b'\x00\x07', b'\x00\x10', b'\x00\x63'
STEP_S = 0.05


def received(datagram):
    """Return the processor time, and whether the datagram was decoded."""
    started_s = time.process_time()
    is_decoded = True
    try:
        status_messages.unpack(datagram)
    except status_messages.StatusMessageError:
        is_decoded = False
    return time.process_time() - started_s, is_decoded


@pytest.mark.parametrize('kind', [b'\x00', b'\x01', b'\x05', b'\x7f'])
@pytest.mark.parametrize('field', [SUSPECTS, UNKNOWN])
def test_elements_without_bytes_take_no_time(kind, field):
    """A datagram of forty bytes stopped a node, 2 s for four million."""
    took_s, is_decoded = received(BEGIN + LIST + field + kind + COUNT + b'\x00')
    assert took_s < STEP_S and not is_decoded


@pytest.mark.parametrize('field', [USAGE, UNKNOWN])
def test_pairs_without_bytes_take_no_time(field):
    """The same as a map."""
    datagram = BEGIN + MAP + field + b'\x01\x01' + COUNT + b'\x00'
    took_s, is_decoded = received(datagram)
    assert took_s < STEP_S and not is_decoded


@pytest.mark.parametrize(
    'content',
    [
        LIST + SUSPECTS + STRUCT + struct.pack('!i', 60_000) + b'\x00' * 60_001,
        (STRUCT + UNKNOWN) * 20_000,
        (LIST + UNKNOWN + LIST + b'\x00\x00\x00\x01') * 8000,
    ],
)
def test_the_longest_datagram_takes_a_short_step(content):
    """One of 60,000 empty elements took over 0.1 s."""
    took_s = min(received(BEGIN + content)[0] for _ in range(3))
    assert took_s < STEP_S


@hypothesis.given(strategies.binary(max_size=60), strategies.booleans())
def test_any_bytes_are_decoded_or_refused(noise, is_short):
    datagram = (b'' if is_short else BEGIN) + noise
    took_s, _ = received(datagram)
    assert took_s < 1


def test_sound_messages_hold_what_they_claim():
    suspects = [
        status_messages.SuspectedEndpoint(endpoint_id=f'm{one}', epoch=one)
        for one in range(500)
    ]
    sent = status_messages.StatusMessage(
        vm='v', number=7, suspects=suspects, usage={'a': 1}, evacuated=['x']
    )
    packed = structs.pack(sent)
    claims.check(packed)
    assert status_messages.unpack(packed) == sent
    assert status_messages.unpack(status_messages.pack(sent)) == sent
