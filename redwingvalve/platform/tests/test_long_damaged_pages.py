"""Damaged pages whose objects are as long as the store allows."""

import time

import anyio
import anyio.lowlevel
import pytest

from redwingvalve.platform import damaged_pages, json_answers, store
from redwingvalve.platform.tests import test_damaged_pages

# The processor time of a step on a machine that does other work too: twice
# what an idle one may take.
STEP_S = 0.1
KEYS = ('items', 'events')
PIECES = [
    b'{"id": 7, "samples": [{"v": 1}]}, ',
    b'[{}],',
    b'}]',
    b'}, {"metadata":',
    b'}, {"object":',
    b'{"metadata": [{}, ',
    b'{"metadata": x}, ',
    b'{"object": [{}, ',
    b'}, {"type":' + b' ' * 100_000,
    b'"',
    b'\\',
    b'9',
    b'1, ',
    b'"%b", ' % (b'x' * 600),
]


def damaged(key, piece, size):
    """Return a page of three objects, of which the second is unreadable."""
    spec = b'{x [' + piece * (size // len(piece)) + b'"\xff'
    parts = [
        test_damaged_pages.item(name, content)
        for name, content in (('a', b'{}'), ('b', spec), ('c', b'{}'))
    ]
    if key == 'events':
        parts = [b'{"deleted": false, "object": %b}' % one for one in parts]
    return test_damaged_pages.page(parts, key.encode())


def names(page, key):
    found = page[key]
    if key == 'events':
        found = [one['object'] for one in found]
    return [store.name_of(one) for one in found]


@pytest.mark.parametrize('key', KEYS)
@pytest.mark.parametrize('piece', PIECES)
def test_work_is_linear_in_a_damaged_page(key, piece):
    """An entry of a megabyte of devices stopped all nodes for 9 s."""
    raw = damaged(key, piece, 200_000)
    started_s = time.process_time()
    found = names(damaged_pages.recover(raw), key)
    assert time.process_time() - started_s < 1
    assert found[:2] == ['a', 'b'] and found[-1] == 'c'


@pytest.mark.parametrize('key', KEYS)
@pytest.mark.parametrize('piece', PIECES)
def test_the_longest_object_is_read_in_short_steps(key, piece):
    """Each node answers its callers while it reads a damaged page."""
    runs = []
    for _ in range(2):
        recovery = damaged_pages.Recovery(
            damaged(key, piece, json_answers.MAX_OBJECT_BYTES)
        )
        durations_s = []
        more = True
        while more:
            started_s = time.process_time()
            more = recovery.step()
            durations_s.append(time.process_time() - started_s)
        runs.append(durations_s)
    assert names(recovery.page, key)[-1] == 'c'
    assert max(map(min, zip(*runs, strict=True))) < STEP_S


def test_other_tasks_run_while_a_damaged_page_is_read():
    raw = damaged('items', b'{"metadata": x}, ', 200_000)

    async def main():
        answer = json_answers.make_page_answer()
        answer.body_received(raw)
        answer.completed()
        turns = []

        async def take_turns():
            while True:
                turns.append(None)
                await anyio.lowlevel.checkpoint()

        async with anyio.create_task_group() as group:
            group.start_soon(take_turns)
            page = await answer.parse()
            group.cancel_scope.cancel()
        assert names(page, 'items')[-1] == 'c'
        assert len(turns) > 10

    anyio.run(main)


@pytest.mark.parametrize('tail', [b'', b', {}'])
def test_a_text_like_the_end_of_the_page_hides_no_object(tail):
    """An unreadable object could end the page for those behind it."""
    spec = b'[}], "x": [{"y": {}' + tail
    raw = test_damaged_pages.page(
        [test_damaged_pages.item('a', spec), test_damaged_pages.item('b')]
    )
    assert names(damaged_pages.recover(raw), 'items') == ['a', 'b']


def test_an_object_that_holds_others_is_read_whole():
    """It may have more of them than a window, or than the budget allows."""
    inner = b', '.join(test_damaged_pages.item(f'{one}') for one in range(200))
    raw = test_damaged_pages.page(
        [
            test_damaged_pages.item('a', b'\xff'),
            test_damaged_pages.item('b', b'[%b]' % inner),
            test_damaged_pages.item('c'),
        ]
    )
    found = damaged_pages.recover(raw)['items']
    assert [store.name_of(one) for one in found] == ['a', 'b', 'c']
    assert len(found[1]['spec']) == 200
