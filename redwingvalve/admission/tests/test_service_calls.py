"""Calls to plain services on the same addresses, light and long."""

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
    """Calls to one service, and the queue before it."""

    def __init__(self):
        self.times = service_calls.CallDurations()
        self.queue = fair_queue.make_admission_queue(
            capacity.make_service_capacity(SERVICE),
            service_calls.ADMISSION_SETTINGS,
        )
        self.number = 0

    def ended(self, path, ms, times=1):
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
def test_exports_do_not_hold_up_light_calls(known):
    """Exports of half a minute are asked for without end.

    They never take all ten places, also when no call has ended yet, so that
    nothing is known of any; a light call goes at once.
    """
    calls = Calls()
    if known:
        calls.ended('/parts/17', 5.0)
        calls.ended('/parts/export/all', 30_000.0)
    first = [calls.offer('/parts/export/all') for _ in range(20)]
    assert sum(isinstance(one, messages.Admitted) for one in first) == 9
    calls.ended('/parts/17', 5.0)
    assert isinstance(calls.offer('/parts/23'), messages.Admitted)


def test_no_more_calls_are_sent_than_are_declared():
    """Calls end in time while others wait, hundreds of times.

    For a model the bound would grow; a service's is the operator's word.
    """
    calls = Calls()
    calls.ended('/parts/17', 5.0)
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
    """The service takes two seconds a call; 10 places, 10 s to answer."""
    calls = Calls()
    calls.ended('/parts/17', 2000.0)
    decisions = [calls.offer('/parts/17') for _ in range(60)]
    refused = [one for one in decisions if isinstance(one, messages.RefusedNow)]
    assert 20 < len(refused) < 50 and decisions[-1] in refused
    assert refused[0].reason == messages.RefusalReason.WOULD_MISS_TARGET


def test_paths_that_name_things_are_one_kind_of_call():
    """50,000 parts are asked for by name; exports stay known as long."""
    calls = Calls()
    calls.ended('/parts/17', 5.0)
    calls.ended('/parts/export', 30_000.0)
    for number in range(50_000):
        calls.ended(f'/parts/{number}', 6.0)
    assert calls.kind('/parts/export') == Kind.LONG
    assert calls.kind('/parts/new') == Kind.LIGHT
