"""The control-cost bench as a command: loads, sizes, a table and lines."""

import argparse
import json
import math
import types
import typing

import anyio
import attrs

from redwingvalve.bench import control_cost, fits, probing_cost, shares_cost
from redwingvalve.cli import options
from redwingvalve.core import environment, exit_status

DEFAULT_SIZES = '30,60,120,240'
# Whether heads vouch for their members; a load of one entry alone.
PROBING_LOADS = types.MappingProxyType({'probing': False, 'vouched': True})
# Whether the callers of some accounts come to a few entries only.
SHARES_LOADS = types.MappingProxyType({'shares': False, 'skewed': True})
PROBED_REPLICAS = math.ceil(
    control_cost.REPLICAS * control_cost.PROBERS / control_cost.TARGET_SIZE
)
# The loop on which the daemons run.
LOOP = types.MappingProxyType({'use_uvloop': True})
MEGABYTE = 1_000_000
AT_TARGET = f'at_{control_cost.TARGET_SIZE}'
FITTED = ('processor_ms', 'sent_bytes', 'received_bytes', 'memory_bytes')


def fit_costs(costs: list[control_cost.Cost]) -> dict[str, fits.Line]:
    """Return each cost as a line over the number of members."""
    return {
        name: fits.fit_line(
            [(cost.size, getattr(cost, name)) for cost in costs]
        )
        for name in FITTED
    }


def run_control_cost(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Measure at several sizes and print costs and fits."""
    named = arguments.sizes or DEFAULT_SIZES
    sizes = [int(size) for size in named.split(',')]
    report: dict[str, typing.Any] = {'costs': [], 'fits': {}}
    loads = arguments.loads.split(',')
    report['probing'] = [
        attrs.asdict(
            anyio.run(
                probing_cost.measure,
                PROBED_REPLICAS,
                arguments.measured_s,
                PROBING_LOADS[load],
                backend_options=LOOP,
            )
        )
        for load in loads
        if load in PROBING_LOADS
    ]
    report['shares'] = [
        attrs.asdict(shares_cost.measure(size, skewed=SHARES_LOADS[load]))
        for load in loads
        if load in SHARES_LOADS
        for size in sizes
    ]
    for load in loads:
        if load in PROBING_LOADS or load in SHARES_LOADS:
            continue
        costs = [
            anyio.run(
                control_cost.measure,
                size,
                load,
                arguments.measured_s,
                arguments.per_vm,
                backend_options=LOOP,
            )
            for size in sizes
        ]
        report['costs'].extend(attrs.asdict(cost) for cost in costs)
        if len(set(sizes)) > 1:
            report['fits'][load] = {
                name: {
                    **attrs.asdict(line),
                    AT_TARGET: line.at(control_cost.TARGET_SIZE),
                }
                for name, line in fit_costs(costs).items()
            }
    if arguments.output == 'json':
        print(json.dumps(report, indent=1), file=surroundings.stdout)
        return exit_status.ExitStatus.SUCCESS
    for line in _table(report):
        print(line, file=surroundings.stdout)
    return exit_status.ExitStatus.SUCCESS


def _table(report: dict[str, typing.Any]) -> typing.Iterator[str]:
    yield (
        'members load     cpu ms/s  sent B/s  rcvd B/s  calls/s'
        '  MB/member  idle conn  news age p50 p99 s'
    )
    for cost in report['costs']:
        yield (
            f'{cost["size"]:7} {cost["load"]:8} {cost["processor_ms"]:8.2f}'
            f' {cost["sent_bytes"]:9.0f} {cost["received_bytes"]:9.0f}'
            f' {cost["messages"]:7.1f}'
            f' {cost["memory_bytes"] / MEGABYTE:10.2f}'
            f' {cost["connections"]:10.1f}'
            f' {cost["news_age_p50_s"]:9.2f} {cost["news_age_p99_s"]:.2f}'
        )
    for probing in report['probing']:
        yield (
            f'one entry probing {probing["replicas"]} replicas,'
            f' heads vouching {probing["vouching"]}:'
            f' {probing["probes"]:.1f} probes/s,'
            f' {probing["processor_ms"]:.2f} ms/s,'
            f' {probing["news_bytes"]:.0f} B/s of news'
        )
    for shares in report['shares']:
        yield (
            f'shares among {shares["size"]} entries,'
            f' skewed {shares["skewed"]}:'
            f' {shares["processor_ms"]:.2f} ms/s,'
            f' {shares["heard_bytes"]:.0f} B/s heard,'
            f' {shares["unmet_share"]:.3f} of demand without a share'
        )
    for load, lines in report['fits'].items():
        for name, line in lines.items():
            yield (
                f'{load} {name}: {line["intercept"]:.3f}'
                f' + {line["slope"]:.4f} (+-{line["slope_error"]:.4f})'
                f' a member;'
                f' at {control_cost.TARGET_SIZE}: {line[AT_TARGET]:.2f}'
            )


OPTIONS = (
    options.flag(
        'sizes', 'fleet benches: numbers of members, separated by commas', ''
    ),
    options.flag(
        'loads',
        (
            'control-cost: rest, batched, single, changes, storm, rack,'
            ' return, probing, vouched, shares, skewed'
        ),
        'rest,batched,changes',
    ),
    options.flag(
        'measured_s',
        'control-cost: how long a fleet is measured, in its own time',
        control_cost.MEASURED_S,
        float,
    ),
    options.flag(
        'per_vm',
        'control-cost: processes on each VM, one of which gossips',
        1,
        int,
    ),
)
