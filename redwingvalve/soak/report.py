"""Summary of a run, and what is needed to reproduce its violations."""

import collections
import statistics
import typing

from redwingvalve.soak import breaches, fleet_run

PERCENTILE_CUTS = 20


def summarize(outcome: fleet_run.Outcome) -> dict[str, typing.Any]:
    """Return the summary of a run as JSON data."""
    attempts = [
        attempt for record in outcome.records for attempt in record.attempts
    ]
    first_tokens = [
        attempt.first_token_s for attempt in attempts if attempt.first_token_s
    ]
    in_force = [
        generation.in_force_s - generation.seen_s
        for generation in outcome.generations
        if generation.in_force_s
    ]
    return {
        'seed': outcome.options.seed,
        'duration_s': outcome.options.duration_s,
        'disabled': list(outcome.options.disabled),
        'faults': len(outcome.schedule),
        'requests': len(outcome.records),
        'answered': sum(record.answered for record in outcome.records),
        'attempts': len(attempts),
        'runs': outcome.runs,
        'outcomes': dict(
            collections.Counter(
                f'{attempt.outcome} {attempt.code}'.strip()
                for attempt in attempts
            )
        ),
        'first_token_p50_s': round(_quantile(first_tokens, 10), 3),
        'first_token_p95_s': round(_quantile(first_tokens, 19), 3),
        'confirmations': len(outcome.generations),
        'in_force_longest_s': round(max(in_force, default=0.0), 2),
        'not_yet_in_force': len(outcome.generations) - len(in_force),
        'stops': len(outcome.stop_times_s),
        'breaches': dict(
            collections.Counter(
                breach.guarantee.value for breach in outcome.breaches
            )
        ),
    }


def _quantile(values: list[float], twentieth: int) -> float:
    """Return the quantile at a number of twentieths."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=PERCENTILE_CUTS)[twentieth - 1]


def breach_lines(outcome: fleet_run.Outcome) -> list[str]:
    """Return seed, schedule and the events before each first violation."""
    if not outcome.breaches:
        return []
    lines = [f'seed {outcome.options.seed}', 'schedule:']
    lines.extend(f'  {fault}' for fault in outcome.schedule)
    reported: set[breaches.Guarantee] = set()
    for breach in outcome.breaches:
        if breach.guarantee in reported:
            continue
        reported.add(breach.guarantee)
        lines.extend(_one_breach(breach, outcome.journal))
    return lines


def _one_breach(
    breach: breaches.Breach, journal: breaches.Journal
) -> list[str]:
    start_s = journal.started_s
    lines = [
        f'BREACH at {breach.at_s - start_s:.2f} s: {breach.guarantee.value}',
        f'  {breach.subject}: {breach.details}',
        '  preceding events:',
    ]
    lines.extend(
        f'  {event.at_s - start_s:8.2f} s  {event.what}'
        for event in journal.before(breach.at_s)
    )
    return lines
