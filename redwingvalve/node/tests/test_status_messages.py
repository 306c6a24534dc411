"""The datagrams between nodes are those that node.thrift declares."""

import pathlib

import pytest
import thriftpy2

from redwingvalve.node import status_messages

STRUCTS = ('AddressWord', 'ClearWord', 'SuspectWord', 'NodeWord')


@pytest.fixture(scope='module')
def declared():
    path = pathlib.Path(status_messages.__file__).with_name('node.thrift')
    return thriftpy2.load(str(path), module_name='declared_thrift')


def by_name(spec):
    """Return fields with the names of nested structs in place of classes."""
    return {number: tuple(map(plain, field)) for number, field in spec.items()}


def plain(part):
    if isinstance(part, tuple):
        return tuple(map(plain, part))
    return getattr(part, '__name__', part)


@pytest.mark.parametrize('name', STRUCTS)
def test_each_struct_has_the_declared_fields(declared, name):
    """Nodes of two versions read each other's words by the same numbers."""
    found = getattr(status_messages, name).thrift_spec
    assert by_name(found) == by_name(getattr(declared, name).thrift_spec)


def test_a_word_arrives_as_it_was_sent():
    sent = status_messages.NodeWord(
        vm='vm-1',
        number=3,
        usage={'engine/small': 2},
        suspects=[
            status_messages.SuspectWord(endpoint_id='e2', epoch=5, left_ms=9)
        ],
        address=status_messages.AddressWord(ip='127.0.0.1', peer_port=7000),
        crashes={-7: 2},
    )
    assert status_messages.unpack(status_messages.pack(sent)) == sent


@pytest.mark.parametrize('packed', [b'', b'no word', bytes(40)])
def test_other_bytes_are_no_word(packed):
    with pytest.raises(status_messages.WordError):
        status_messages.unpack(packed)
