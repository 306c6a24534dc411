"""Writes the figures of the replica bench as a table or as JSON lines."""

import json
import logging
import typing

import anyio
import attrs

from redwingvalve.bench import fits, replicas

DOMAIN_COUNTS = (1, 3, 6, 12)
DOMAINS_TO_COME = 160
LINE = '{user:10} {scenario:17} {strategy:20} {spares:6} {rest}'


def write_report(seed: int, output: str, stream: typing.TextIO) -> None:
    """Run everything and write each figure as it is there."""
    # The controllers' logs would drown the figures.
    logging.getLogger('redwingvalve').setLevel(logging.ERROR)
    anyio.run(_write_rows, seed, output, stream)
    anyio.run(_write_store_calls, output, stream)
    _write_decisions(output, stream)


async def _write_rows(seed: int, output: str, stream: typing.TextIO) -> None:
    async for row in replicas.run_rows(seed=seed):
        if output == 'json':
            _print(json.dumps(attrs.asdict(row)), stream)
            continue
        rest = (
            f'down {row.downtime_s:9.1f} s  stranded {row.stranded_s:11.1f} s'
            f'  price {row.price:9.2f}  whole after {row.whole_again_s:8.1f} s'
            f'  decided after {row.decided_after_s:6.1f} s'
        )
        _print(
            LINE.format(
                user=row.user,
                scenario=row.scenario,
                strategy=row.strategy,
                spares=row.spares,
                rest=rest,
            ),
            stream,
        )


async def _write_store_calls(output: str, stream: typing.TextIO) -> None:
    rates = [await replicas.measure_writes(count) for count in DOMAIN_COUNTS]
    for name in ('writes_per_minute', 'reads_per_minute'):
        line = fits.fit_line(
            [(rate.domains, getattr(rate, name)) for rate in rates]
        )
        figures = {
            'store': name,
            'measured': {rate.domains: getattr(rate, name) for rate in rates},
            'slope_per_domain': line.slope,
            'slope_error': line.slope_error,
            f'at_{DOMAINS_TO_COME}_domains': line.at(DOMAINS_TO_COME),
        }
        _print_figures(figures, output, stream)


def _write_decisions(output: str, stream: typing.TextIO) -> None:
    for domains in (1, DOMAINS_TO_COME):
        figures = {
            'decision': f'{domains} domains of {replicas.DOMAIN_VMS} VMs',
            'time_ms': 1000 * replicas.measure_decision_s(domains),
        }
        _print_figures(figures, output, stream)


def _print_figures(
    figures: dict[str, typing.Any], output: str, stream: typing.TextIO
) -> None:
    if output == 'json':
        _print(json.dumps(figures), stream)
        return
    _print('  '.join(f'{name} {figures[name]}' for name in figures), stream)


def _print(text: str, stream: typing.TextIO) -> None:
    print(text, file=stream, flush=True)
