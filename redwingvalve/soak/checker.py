"""Compares the records of callers with the ledgers of endpoints.

The functions are pure and read no clock. Each one finds the violations of one
guarantee; bounds are arguments, so that a report can state them.
"""

import collections
import itertools
import math
from collections import abc as collections_abc

import attrs

from redwingvalve.soak import breaches, operators, records, workload
from redwingvalve.standins import generated_text, ledger

Guarantee = breaches.Guarantee
Found = collections_abc.Iterator[breaches.Breach]
Records = collections_abc.Sequence[records.Record]
Runs = collections_abc.Sequence[ledger.LedgerEntry]
DEATHS_ALLOWED = 2


@attrs.frozen
class LeavingPeriod:
    """The time in which a VM was leaving, from at_s to until_s (wall clock)."""

    vm: str
    at_s: float
    until_s: float = math.inf


@attrs.frozen
class Bounds:
    """The maximum reaction times that the product requirements allow."""

    missing_vm_s: float = 3.0
    leaving_s: float = 3.0


@attrs.frozen
class Evidence:
    """The records and ledgers of a run, and what else the checks need."""

    records: Records
    runs: Runs
    leaving: tuple[LeavingPeriod, ...] = ()
    versions: frozenset[tuple[str, str]] = frozenset()


def compare(evidence: Evidence, bounds: Bounds) -> tuple[breaches.Breach, ...]:
    """Return every violation in records and ledgers, ordered by time."""
    found = itertools.chain(
        _find_unanswered(evidence.records),
        _wrong_answers(evidence.records, evidence.versions),
        _false_not_run(evidence.records, evidence.runs),
        _double_runs(evidence.records, evidence.runs),
        _incomplete_replicas(evidence.runs, bounds.missing_vm_s),
        _work_for_leaving(evidence, bounds.leaving_s),
        _cut_by_orders(evidence.runs),
        _cut_by_entries(evidence.records),
        _find_poison_deaths(evidence.records, evidence.runs),
    )
    return tuple(sorted(found, key=lambda breach: breach.at_s))


def _runs_by_digest(runs: Runs) -> dict[str, list[ledger.LedgerEntry]]:
    grouped: dict[str, list[ledger.LedgerEntry]] = collections.defaultdict(list)
    for run in runs:
        grouped[run.digest].append(run)
    return grouped


def _find_unanswered(all_records: Records) -> Found:
    for record in all_records:
        for attempt in record.attempts:
            problem = _unanswered_because(attempt)
            if problem:
                yield breaches.Breach(
                    Guarantee.ANSWERED,
                    record.request.name,
                    f'{attempt.entry} {problem}',
                    attempt.started_s,
                )


def _unanswered_because(attempt: records.Attempt) -> str:
    if attempt.overdue:
        return 'gave no final answer by the deadline'
    if attempt.ended_s is not None and not attempt.outcome:
        return f'answered {attempt.status} without an outcome'
    return ''


def _wrong_answers(
    all_records: Records, versions: frozenset[tuple[str, str]]
) -> Found:
    for record in all_records:
        for attempt in record.attempts:
            guarantee = _broken_by_text(record.request, attempt, versions)
            if guarantee is not None:
                state = 'whole' if attempt.whole else 'a part'
                yield breaches.Breach(
                    guarantee,
                    record.request.name,
                    f'{attempt.entry} gave {attempt.text[:80]!r}'
                    f' ({len(attempt.text)} characters) as {state}',
                    attempt.ended_s or attempt.started_s,
                )


def _broken_by_text(
    request: workload.Request,
    attempt: records.Attempt,
    versions: frozenset[tuple[str, str]],
) -> Guarantee | None:
    """Return what a text breaks; a stream may end early if it says so."""
    if not attempt.whole and not attempt.text:
        return None
    expected = [request.digest]
    if request.prompt:
        expected = [
            generated_text.full_text(
                request.prompt, model, version, request.max_tokens
            )
            for model, version in versions
        ]
    if attempt.whole:
        is_right = attempt.text in expected
        return None if is_right else Guarantee.WHOLE_AND_OWN
    is_right = any(text.startswith(attempt.text) for text in expected)
    return None if is_right else Guarantee.ORDER


def _false_not_run(all_records: Records, runs: Runs) -> Found:
    by_digest = _runs_by_digest(runs)
    for record in all_records:
        # After any other outcome the request may still run at any later time.
        refused = itertools.takewhile(
            lambda attempt: attempt.surely_not_run, record.attempts
        )
        for index, attempt in enumerate(refused):
            until_s = _next_start_s(record, index)
            for run in by_digest[record.request.digest]:
                if attempt.started_s <= run.started < until_s:
                    yield _make_not_run_breach(record, attempt, run)


def _next_start_s(record: records.Record, index: int) -> float:
    following = record.attempts[index + 1 :]
    return following[0].started_s if following else math.inf


def _make_not_run_breach(
    record: records.Record, attempt: records.Attempt, run: ledger.LedgerEntry
) -> breaches.Breach:
    return breaches.Breach(
        Guarantee.NOT_RUN,
        record.request.name,
        f'{attempt.entry} said not-run ({attempt.code}), '
        f'{run.vm} ran it as {run.request_id}',
        run.started,
    )


def _double_runs(all_records: Records, runs: Runs) -> Found:
    by_digest = _runs_by_digest(runs)
    for record in all_records:
        ran = by_digest[record.request.digest]
        if record.request.idempotent or len(ran) <= 1:
            continue
        places = ', '.join(f'{run.vm} as {run.request_id}' for run in ran)
        yield breaches.Breach(
            Guarantee.AT_MOST_ONCE,
            record.request.name,
            f'it ran {len(ran)} times: {places}',
            ran[1].started,
        )


def _incomplete_replicas(runs: Runs, bound_s: float) -> Found:
    for run in runs:
        if run.missing_s > bound_s:
            yield breaches.Breach(
                Guarantee.NO_VM_MISSING,
                run.replica,
                f'{run.request_id} was sent {run.missing_s:.2f} s after a VM '
                'had gone',
                run.started,
            )


def _work_for_leaving(evidence: Evidence, bound_s: float) -> Found:
    for left in evidence.leaving:
        for run in evidence.runs:
            concerned = left.vm == run.vm or left.vm in run.members
            late = left.at_s + bound_s < run.started < left.until_s
            if concerned and late:
                yield breaches.Breach(
                    Guarantee.LEAVING,
                    left.vm,
                    f'{run.request_id} came {run.started - left.at_s:.2f} s '
                    'after it began to leave',
                    run.started,
                )


def _cut_by_entries(all_records: Records) -> Found:
    for record in all_records:
        for attempt in record.attempts:
            if attempt.cut:
                yield breaches.Breach(
                    Guarantee.PLANNED_STOP,
                    attempt.entry,
                    f'{record.request.name} ({record.request.kind}, status '
                    f'{attempt.status}) was cut off after '
                    f'{attempt.lasted_s:.2f} s by an entry that no fault had '
                    f'hit: {attempt.error}',
                    attempt.ended_s or attempt.started_s,
                )


def _find_poison_deaths(all_records: Records, runs: Runs) -> Found:
    by_digest = _runs_by_digest(runs)
    for record in all_records:
        deadly = [
            run
            for run in by_digest[record.request.digest]
            if record.request.poison and run.cut == 'died'
        ]
        if len(deadly) > DEATHS_ALLOWED:
            yield breaches.Breach(
                Guarantee.POISON,
                record.request.name,
                f'it killed {", ".join(run.vm for run in deadly)}',
                deadly[-1].started,
            )


def double_wins(
    races: collections_abc.Iterable[
        collections_abc.Sequence[operators.Confirmation]
    ],
) -> Found:
    """Yield the races in which more than one plan was confirmed."""
    for race in races:
        won = [each for each in race if each.status == operators.OK_STATUS]
        if len(won) > 1:
            yield breaches.Breach(
                Guarantee.RACE,
                won[0].plan,
                f'{", ".join(each.plan for each in won)} were all confirmed',
                0.0,
            )


def _cut_by_orders(runs: Runs) -> Found:
    for run in runs:
        if run.cut == 'order':
            yield breaches.Breach(
                Guarantee.PLANNED_STOP,
                run.replica,
                f'an order cut {run.request_id} after {run.tokens} tokens',
                run.finished or run.started,
            )
