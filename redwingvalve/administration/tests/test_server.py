"""Calls of the administration API while a controller stops."""

import anyio
import pytest

from redwingvalve.administration import server

SCOPE = {'type': 'http'}


@pytest.mark.parametrize('has_started', [False, True])
def test_a_call_that_outlasts_the_stop_is_answered(has_started):
    """Guards against calls whose connections a stop closes unanswered."""
    sent = []

    async def hang(scope, receive, send):
        if has_started:
            await send({'type': 'http.response.start'})
        await anyio.sleep_forever()

    async def send(message):
        sent.append(message)

    async def scenario():
        application = server.AnsweredApp(hang)
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(application, SCOPE, None, send)
                await anyio.wait_all_tasks_blocked()
                application.give_up_all()

    anyio.run(scenario)
    if has_started:
        assert len(sent) == 1
        return
    assert sent[0]['status'] == 503
    assert dict(sent[0]['headers'])[b'x-redwingvalve-outcome'] == b'unknown'
