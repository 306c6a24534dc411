"""Light and long calls to plain services on the same addresses."""

import pytest

from redwingvalve.admission import (
    capacity,
    fair_queue,
    messages,
    service_calls,
)
from redwingvalve.declaration import schema

Kind = messages.JobKind
SERVICE = schema.PlainService(
    'parts', '/parts', ('s1:1', 's2:1'), max_in_flight_per_address=5
)


class Calls:
    """Calls to one service through its admission queue."""

    def __init__(self):
        self.times = service_calls.CallDurations()
        self.queue = fair_queue.make_admission_queue(
            capacity.make_service_capacity(SERVICE),
            service_calls.ADMISSION_SETTINGS,
        )
        self.number = 0

    def record_durations(self, path, ms, times=1):
        for _ in range(times):
            self.times.learn('parts', 'GET', path, ms)

    def kind(self, path):
        return self.times.kind('parts', 'GET', path)

    def offer(self, path, now_s=0.0, **more):
        self.number += 1
        expected_ms = self.times.expected_ms('parts', 'GET', path)
        fields = {'account': 'a', 'deadline_s': now_s + 10.0, **more}
        return self.queue.offer(
            messages.AdmissionRequest(
                f'c{self.number}',
                estimated_tokens=expected_ms,
                arrived_s=now_s,
                kind=self.kind(path),
                **fields,
            ),
            now_s,
        )


@pytest.mark.parametrize('known', [True, False])
def test_long_calls_do_not_delay_light_calls(known):
    """Exports of half a minute are requested continuously.

    They never take all ten slots, even before any call has ended and no
    duration is known, so that a light call is sent at once.
    """
    calls = Calls()
    if known:
        calls.record_durations('/parts/17', 5.0)
        calls.record_durations('/parts/export/all', 30_000.0)
    first = [calls.offer('/parts/export/all') for _ in range(20)]
    assert sum(isinstance(one, messages.Admitted) for one in first) == 9
    calls.record_durations('/parts/17', 5.0)
    assert isinstance(calls.offer('/parts/23'), messages.Admitted)


def test_calls_in_flight_do_not_exceed_the_declared_limit():
    """Hundreds of calls end in time while others are queued.

    The limit of a model would grow; that of a service is fixed by the operator.
    """
    calls = Calls()
    calls.record_durations('/parts/17', 5.0)
    sent = [f'c{number}' for number in range(1, 11)]
    for _ in range(30):
        calls.offer('/parts/17')
    for _ in range(500):
        calls.queue.finished(sent.pop(0), 5.0, 1.0)
        ready = calls.queue.next_ready(1.0)
        sent.append(ready.request_id)
        calls.offer('/parts/17', 1.0)
        assert calls.queue.in_flight() == 10


def test_a_call_that_would_be_late_is_refused_on_arrival():
    """Calls take two seconds each, with 10 slots and a deadline of 10 s."""
    calls = Calls()
    calls.record_durations('/parts/17', 2000.0)
    decisions = [calls.offer('/parts/17') for _ in range(60)]
    refused = [one for one in decisions if isinstance(one, messages.RefusedNow)]
    assert 20 < len(refused) < 50 and decisions[-1] in refused
    assert refused[0].reason == messages.RefusalReason.WOULD_MISS_TARGET


def test_paths_of_single_objects_share_one_duration():
    """Calls for 50,000 named parts don't change the lane of exports."""
    calls = Calls()
    calls.record_durations('/parts/17', 5.0)
    calls.record_durations('/parts/export', 30_000.0)
    for number in range(50_000):
        calls.record_durations(f'/parts/{number}', 6.0)
    assert calls.kind('/parts/export') == Kind.LONG
    assert calls.kind('/parts/new') == Kind.LIGHT
