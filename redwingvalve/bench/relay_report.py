"""Writes the figures of the relay bench."""

import json
import typing

import attrs
import rich.console
import rich.table

from redwingvalve.bench import relay_cost

TABLE_WIDTH = 120
COLUMNS = (
    'relay',
    'tokens',
    'processor us/token',
    'share of plainest',
    'delay p50 ms',
    'delay p95 ms',
)


def write_report(
    costs: tuple[relay_cost.RelayCost, ...],
    output: str,
    stream: typing.TextIO,
) -> None:
    """Write a table, or JSON for programs; the first cost is the baseline."""
    if output == 'json':
        stream.write(f'{json.dumps([attrs.asdict(cost) for cost in costs])}\n')
        return
    table = rich.table.Table(*COLUMNS)
    for cost in costs:
        share = cost.processor_us_per_token / costs[0].processor_us_per_token
        table.add_row(
            cost.name,
            str(cost.tokens),
            f'{cost.processor_us_per_token:.1f}',
            f'{share:.2f}',
            f'{cost.delay_p50_ms:.2f}',
            f'{cost.delay_p95_ms:.2f}',
        )
    rich.console.Console(file=stream, width=TABLE_WIDTH).print(table)
