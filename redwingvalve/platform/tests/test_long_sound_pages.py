"""Long bodies without a fault, as a fleet of thousands of endpoints has."""

import gc
import json
import time
import zlib

import anyio
import anyio.lowlevel
import pytest

from redwingvalve.core import steps
from redwingvalve.platform import json_answers, store, store_responses
from redwingvalve.platform.tests import test_damaged_pages

STEP_S = 0.05
LISTS = b'[%b]' % b', '.join([b'[1]'] * 200_000)
# Of 2,400 replicas of four VMs.
LISTED = [
    test_damaged_pages.item(
        f'{one}', b'{"state": "ready", "models": ["%b"]}' % (b'm' * 250)
    )
    for one in range(9600)
]
BODIES = {
    'an object of lists': test_damaged_pages.page(
        [test_damaged_pages.item('a', LISTS), test_damaged_pages.item('b')]
    ),
    'a listing of thousands': test_damaged_pages.page(LISTED),
    'an object by itself': test_damaged_pages.item(
        'a', b'{"items": %b}' % LISTS
    ),
}


@pytest.fixture(autouse=True)
def small_heap():
    """Let the collector pass over what other tests have left in the process."""
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


def make_answer(body, is_page):
    answer = (
        json_answers.make_page_answer()
        if is_page
        else json_answers.make_report_answer()
    )
    answer.body_received(body)
    answer.completed()
    return answer


def parse_beside(body, is_page=True):
    """Return the parsed body and the longest time between two turns."""

    async def main():
        answer = make_answer(body, is_page)
        longest_s = 0.0
        found = None

        async def measure():
            nonlocal longest_s
            while True:
                started_s = time.process_time()
                await anyio.lowlevel.checkpoint()
                longest_s = max(longest_s, time.process_time() - started_s)

        async with anyio.create_task_group() as group:
            group.start_soon(measure)
            await anyio.lowlevel.checkpoint()
            found = await answer.parse()
            await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()
        return found, longest_s

    return anyio.run(main)


@pytest.mark.parametrize('is_page', [True, False])
@pytest.mark.parametrize('body', BODIES.values(), ids=BODIES)
def test_a_long_sound_body_keeps_no_caller_waiting(body, is_page):
    """A sound entry of a megabyte kept nodes from their callers for 0.13 s."""
    runs = [parse_beside(body, is_page) for _ in range(3)]
    assert runs[0][0] == json.loads(body)
    assert min(longest_s for _, longest_s in runs) < STEP_S


@pytest.mark.parametrize('filler', [b'', b'x' * 70_000])
def test_a_deep_object_adds_no_objects_of_its_own(filler):
    """Objects inside it must not pass for objects of the page."""
    deep = b'[' * 80 + b']' * 80
    inner = b'[{}, {"metadata": {"name": "no"}}, %b, "%b"]' % (deep, filler)
    raw = test_damaged_pages.page(
        [
            test_damaged_pages.item('a', inner),
            test_damaged_pages.item('b'),
        ]
    )
    found, _ = parse_beside(raw)
    assert [store.name_of(one) for one in found['items']] == ['a', 'b']
    assert 'unreadable' in found['items'][0]


def test_a_relay_sends_a_long_listing_in_short_steps():
    """Each node that starts asks the hubs of its data centre for one."""
    objects = json.loads(BODIES['a listing of thousands'])['items']
    durations_s = []

    def timed(work):
        """Pass on the steps, and their processor time."""
        while True:
            started_s = time.process_time()
            try:
                next(work)
            except StopIteration as end:
                return end.value
            finally:
                durations_s.append(time.process_time() - started_s)
            yield

    page = steps.finish(
        timed(store_responses.encode_listing(store.Listing(objects, 7, 0.5)))
    )
    found = json.loads(zlib.decompress(page))
    assert found.pop('items') == objects
    assert found == {'has_more': False, 'store_revision': 7, 'age_s': 0.5}
    assert max(durations_s) < STEP_S
