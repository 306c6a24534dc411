"""Encoding and decoding of messages about slots."""

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.allocation import endpoint_reports, messages
from redwingvalve.ingress import reservations, wait_queue

SENDER = messages.Sender('vm-1', 1_700_000_000_000)
POOL = messages.Pool('engine', 'small', 'zone-1')
NEED = wait_queue.SlotRequest(1, 0.25, 1.5, has_returned=True)
COMPETING = wait_queue.SlotRequest(
    1, 0.25, 1.5, account='an account', kind='a route', size_rank=2
)


@pytest.mark.parametrize(
    'message',
    [
        messages.Ask(7, POOL, True, NEED, ('e1',), ('e2', 'e3'), ('e4',)),
        messages.Ask(
            7, POOL, False, wait_queue.SlotRequest(1, 0, 0, is_hedge=True)
        ),
        messages.Reply(7, messages.Outcome.GRANTED, 'e1'),
        messages.Reply(7, messages.Outcome.REFUSED, retry_after_s=0.8),
        messages.Reply(7, messages.Outcome.FULL, expected_wait_s=0.02),
        messages.Release(7, reservations.ReleaseState.REFUSED),
        messages.Ask(7, POOL, True, COMPETING),
        messages.Holdings(POOL, {7: 'e1', 9: 'e2'}),
        messages.Holdings(POOL, {7: 'e1', 9: 'e2'}, {7: 'an account'}),
        messages.Holdings(
            POOL,
            {7: 'e1', 9: 'e2'},
            {9: 'an account'},
            {7: 1_700_000_000_000},
        ),
        endpoint_reports.EndpointReport(leaving=('e1',)),
        endpoint_reports.EndpointReport(
            (endpoint_reports.StatedLimit('e1', 1.5, 2.0, 1.0, 1000),),
            (endpoint_reports.Start('e1', 7, 1.0, 'vm-2', 1, 1000),),
            ('e1', 'e2'),
            (endpoint_reports.ColdMark('e1', 1000, 2.5),),
            True,
            True,
            (1000, 0),
        ),
    ],
)
def test_messages_survive_a_round_trip(message):
    sent = messages.Envelope(SENDER, message)
    assert messages.unpack(messages.pack(sent)) == sent


@hypothesis.given(strategies.binary(max_size=80))
def test_random_bytes_are_rejected(packed):
    with pytest.raises(messages.MessageError):
        messages.unpack(packed)


@hypothesis.given(strategies.integers(0, 60), strategies.integers(0, 255))
def test_damaged_messages_raise_message_errors_only(position, byte):
    sent = messages.Envelope(SENDER, messages.Ask(7, POOL, True, NEED))
    packed = bytearray(messages.pack(sent))
    packed[position % len(packed)] = byte
    for found in (bytes(packed), bytes(packed[:position])):
        try:
            messages.unpack(found)
        except messages.MessageError:
            continue


def test_an_ask_names_a_bounded_number_of_endpoints():
    """An ask must fit into one packet however many endpoints were tried."""
    many = tuple(f'endpoint-{number}' for number in range(500))
    ask = messages.Ask(7, POOL, True, NEED, many, many, many)
    assert len(messages.pack(messages.Envelope(SENDER, ask))) < 1200
