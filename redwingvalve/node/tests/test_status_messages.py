"""Status messages match node.thrift and survive encoding."""

import pathlib
import time

import pytest
import thriftpy2

from redwingvalve.allocation import messages
from redwingvalve.node import probe_messages, status_messages
from redwingvalve.wire import structs

STRUCTS = (
    'NodeAddress',
    'ClearedEndpoint',
    'SuspectedEndpoint',
    'BrokenRun',
    'AnsweredRequest',
    'CutOffReport',
    'StatusMessage',
)
# Far less than it takes to allocate what a garbled length claims.
GARBLED_LIMIT_S = 0.5
PROBE_STRUCTS = ('ProbeAsk', 'ProbedMembership', 'ProbeReply', 'ProbeMessage')


@pytest.fixture(scope='module')
def declared():
    path = pathlib.Path(status_messages.__file__).with_name('node.thrift')
    return thriftpy2.load(str(path), module_name='declared_thrift')


def by_name(spec):
    """Return fields with the names of nested structs in place of classes."""
    return {
        number: tuple(map(without_classes, field))
        for number, field in spec.items()
    }


def without_classes(part):
    if isinstance(part, tuple):
        return tuple(map(without_classes, part))
    return getattr(part, '__name__', part)


@pytest.mark.parametrize('name', STRUCTS)
def test_each_struct_has_the_declared_fields(declared, name):
    """Different versions of nodes rely on the same field numbers."""
    found = getattr(status_messages, name).thrift_spec
    assert by_name(found) == by_name(getattr(declared, name).thrift_spec)


@pytest.mark.parametrize('name', PROBE_STRUCTS)
def test_each_struct_about_probes_has_the_declared_fields(declared, name):
    """Different versions of nodes rely on the same field numbers."""
    found = getattr(probe_messages, name).thrift_spec
    assert by_name(found) == by_name(getattr(declared, name).thrift_spec)


def test_a_decoded_message_equals_the_encoded_one():
    sent = status_messages.StatusMessage(
        vm='vm-1',
        number=3,
        usage={'engine/small': 2},
        suspects=[
            status_messages.SuspectedEndpoint(
                endpoint_id='e2', epoch=5, left_ms=9
            )
        ],
        address=status_messages.NodeAddress(ip='127.0.0.1', peer_port=7000),
        broken_runs=[
            status_messages.BrokenRun(
                fingerprint=-7, endpoint_id='e3', age_ms=20, is_crash=True
            )
        ],
    )
    assert status_messages.unpack(status_messages.pack(sent)) == sent


def test_a_node_of_an_earlier_version_is_understood_and_understands():
    """Its messages have no hash at their end."""
    sent = status_messages.StatusMessage(vm='vm-1', number=3)
    assert status_messages.unpack(structs.pack(sent)) == sent
    packed = status_messages.pack(sent)
    assert structs.unpack(packed, status_messages.StatusMessage) == sent


@pytest.mark.parametrize('codec', [status_messages, messages])
def test_a_garbled_length_does_not_stop_a_node(codec):
    """A text that claims to have 1.5 GB took a node four seconds."""
    packed = status_messages.pack(
        status_messages.StatusMessage(vm='vm-1', number=3)
    )
    if codec is messages:
        sender = messages.Sender('vm-1', 1)
        pool = messages.Pool('engine', '', '')
        packed = messages.pack(
            messages.Envelope(sender, messages.HoldingsRequest(pool))
        )
    garbled = packed.replace(b'\0\0\0\x04vm-1', b'\x5e\x48\x42\xfavm-1')
    assert garbled != packed
    began_s = time.monotonic()
    with pytest.raises(ValueError):
        codec.unpack(garbled)
    assert time.monotonic() - began_s < GARBLED_LIMIT_S


@pytest.mark.parametrize('packed', [b'', b'not a message', bytes(40)])
def test_other_bytes_are_rejected(packed):
    with pytest.raises(status_messages.StatusMessageError):
        status_messages.unpack(packed)
