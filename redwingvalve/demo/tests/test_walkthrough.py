"""The demo shows the main job and ends well."""

import io
import types

import anyio

from redwingvalve.core import clock, environment, exit_status
from redwingvalve.demo import walkthrough


def test_a_declaration_becomes_a_whole_streamed_answer():
    surroundings = environment.Environment(
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        stdin=io.StringIO(),
        variables=types.MappingProxyType({}),
        clock=clock.make_system_clock(),
    )
    status = anyio.run(
        walkthrough.run_walkthrough, surroundings, walkthrough.DECLARATION
    )
    told = surroundings.stdout.getvalue()
    assert status == exit_status.ExitStatus.SUCCESS, told
    assert 'nothing happens until: redwingvalve confirm plan-' in told
    assert 'streamed 40 of 40 tokens, whole' in told
    assert 'runs of the request at engines: 1' in told
