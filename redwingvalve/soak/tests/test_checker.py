"""Violations of each guarantee are found in records and ledgers."""

import attrs
import pytest

from redwingvalve.soak import breaches, checker, records, schedule, workload
from redwingvalve.standins import generated_text, ledger

TARGET = workload.Target('quotes', '/records/', '/records/job-cards')
QUOTE = workload.make_request('w1', workload.Kind.QUOTE, TARGET)
STREAM = workload.make_request('w2', workload.Kind.NARRATIVE, TARGET)
VERSIONS = frozenset({('m', '1'), ('m', '2')})


def attempt(**fields):
    return records.Attempt('entry', 10.0, 11.0, **{'outcome': 'ran', **fields})


def run(request, **fields):
    return ledger.LedgerEntry(
        **{
            'request_id': 'r',
            'started': 10.5,
            'digest': request.digest,
            **fields,
        }
    )


def text_of(request, version='1'):
    return generated_text.full_text(
        request.prompt, 'm', version, request.max_tokens
    )


CASES = [
    (
        breaches.Guarantee.ANSWERED,
        [records.Record(QUOTE, [attempt(overdue=True)])],
        [],
    ),
    (
        breaches.Guarantee.ANSWERED,
        [records.Record(QUOTE, [attempt(status=500, outcome='')])],
        [],
    ),
    (
        breaches.Guarantee.WHOLE_AND_OWN,
        [records.Record(STREAM, [attempt(whole=True, text=' t0-abc')])],
        [],
    ),
    (
        breaches.Guarantee.WHOLE_AND_OWN,
        [records.Record(STREAM, [attempt(whole=True, text=text_of(QUOTE))])],
        [],
    ),
    (
        breaches.Guarantee.ORDER,
        [records.Record(STREAM, [attempt(text=text_of(STREAM)[5:40])])],
        [],
    ),
    (
        breaches.Guarantee.ORDER,
        [records.Record(STREAM, [attempt(text=text_of(STREAM) + ' t0')])],
        [],
    ),
    (
        breaches.Guarantee.NOT_RUN,
        [records.Record(QUOTE, [attempt(outcome='not-run')])],
        [run(QUOTE)],
    ),
    (
        breaches.Guarantee.AT_MOST_ONCE,
        [records.Record(QUOTE, [attempt(outcome='unknown')])],
        [run(QUOTE), run(QUOTE, started=12.0)],
    ),
    (breaches.Guarantee.NO_VM_MISSING, [], [run(STREAM, missing_s=3.5)]),
    (
        breaches.Guarantee.LEAVING,
        [],
        [run(STREAM, members=('vm-1',), started=13.5)],
    ),
    (breaches.Guarantee.PLANNED_STOP, [], [run(STREAM, cut='order')]),
]


@pytest.mark.parametrize(('guarantee', 'seen', 'ran'), CASES)
def test_only_the_violated_guarantee_is_reported(guarantee, seen, ran):
    evidence = checker.Evidence(
        seen, ran, (checker.LeavingPeriod('vm-1', 10.0),), VERSIONS
    )
    found = checker.compare(evidence, checker.Bounds())
    assert [breach.guarantee for breach in found] == [guarantee]


def test_allowed_behaviour_is_not_reported():
    """Retries after not-run and repeated idempotent requests are allowed.

    The second attempt of the quote runs. The stream is broken once, and resumes
    on another replica after a VM of the first one died. Requests in the first
    seconds after a VM starts to leave are already in flight.
    """
    seen = [
        records.Record(
            QUOTE,
            [
                attempt(outcome='not-run'),
                records.Attempt(
                    'e',
                    12.0,
                    13.0,
                    outcome='ran',
                    whole=True,
                    text=text_of(QUOTE),
                ),
            ],
        ),
        records.Record(
            STREAM,
            [
                attempt(text=text_of(STREAM, '2')[:40]),
                attempt(whole=True, text=text_of(STREAM, '2')),
            ],
        ),
    ]
    ran = [
        run(QUOTE, started=12.1),
        run(STREAM, cut='died', members=('vm-1',)),
        run(STREAM, missing_s=0.2),
    ]
    evidence = checker.Evidence(
        seen, ran, (checker.LeavingPeriod('vm-1', 10.0),), VERSIONS
    )
    assert checker.compare(evidence, checker.Bounds()) == ()


def test_schedule_is_deterministic_for_a_seed():
    first = schedule.make_schedule(3, 600.0)
    assert first == schedule.make_schedule(3, 600.0)
    assert first != schedule.make_schedule(4, 600.0)
    assert {fault.name for fault in first} == set(schedule.FaultName)
    calm = schedule.make_schedule(
        3, 600.0, frozenset({schedule.FaultName.POISON})
    )
    assert schedule.FaultName.POISON not in {fault.name for fault in calm}
    assert attrs.evolve(first[0]) in first
