"""The demo runs from a declaration to a streamed response."""

import io
import types

import anyio

from redwingvalve.core import clock, environment, exit_status
from redwingvalve.demo import walkthrough


def test_demo_streams_a_complete_response():
    env = environment.Environment(
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        stdin=io.StringIO(),
        variables=types.MappingProxyType({}),
        clock=clock.make_system_clock(),
    )
    status = anyio.run(
        walkthrough.run_walkthrough, env, walkthrough.DECLARATION
    )
    output = env.stdout.getvalue()
    assert status == exit_status.ExitStatus.SUCCESS, output
    assert 'nothing happens until: redwingvalve confirm plan-' in output
    assert 'streamed 40 of 40 tokens, whole' in output
    assert 'runs of the request at engines: 1' in output


def test_the_contact_of_the_demo_is_the_peer_address_of_a_member():
    """Members that miss each other at the start find each other through it."""
    addresses = types.SimpleNamespace(
        object_api_url='http://a', vm_list_url='http://b', weight_store_url='c'
    )
    fleet = walkthrough.make_fleet_settings(addresses)
    peers = {
        f'{member.node.host}:{member.listen.peer_port}'
        for member in (*fleet.entries, fleet.control)
    }
    assert set(fleet.control.peers.contacts) <= peers
