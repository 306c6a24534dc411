"""Operator commands that call the administration API."""

import argparse
import typing
from collections import abc as collections_abc

from redwingvalve.cli import api_client, options, tables
from redwingvalve.core import environment, exit_status
from redwingvalve.documents import files

Printer = collections_abc.Callable[[typing.Any, environment.Environment], None]
CHANGE_COLUMNS = ('kind', 'subject', 'count', 'details')
RISK_COLUMNS = ('deployment', 'replicas', 'time_s', 'price', 'reason')
REPLICA_COLUMNS = (
    'name',
    'deployment',
    'state',
    'epoch',
    'fabric_domain',
    'data_centre',
    'members',
    'reason',
)
ENTRY_COLUMNS = (
    'name',
    'role',
    'data_centre',
    'address',
    'state',
    'in_force',
)
EVENT_COLUMNS = ('at_s', 'fabric_domain', 'subject', 'message')
AUDIT_COLUMNS = ('at_s', 'who', 'action', 'target', 'result', 'detail')
PLAN_COLUMNS = ('name', 'state', 'proposed_by', 'decided_by')
DEPLOYMENT_COLUMNS = (
    'name',
    'wanted',
    'serving',
    'forming',
    'draining',
    'broken',
)
DOMAIN_COLUMNS = (
    'name',
    'data_centre',
    'vms',
    'missing',
    'spares',
    'lease_holder',
)

NAME = options.Option(dest='name', help='the name')


def _make_get_runner(path: str, printer: Printer) -> options.Runner:
    def run(
        arguments: argparse.Namespace, surroundings: environment.Environment
    ) -> exit_status.ExitStatus:
        client = api_client.make_api_client(arguments, surroundings)
        response = client.get(path.format(**vars(arguments)))
        return finish(response, arguments.output, printer, surroundings)

    return run


def _make_decision_runner(verb: str) -> options.Runner:
    def run(
        arguments: argparse.Namespace, surroundings: environment.Environment
    ) -> exit_status.ExitStatus:
        client = api_client.make_api_client(arguments, surroundings)
        response = client.post(f'/plans/{arguments.name}/{verb}', {})
        return finish(response, arguments.output, _print_decision, surroundings)

    return run


def run_plan(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Create a plan from a declaration and print it."""
    text = files.read_text(arguments.file)
    if text.is_error():
        surroundings.stderr.write(f'{text.error}\n')
        return exit_status.ExitStatus.FINDINGS
    client = api_client.make_api_client(arguments, surroundings)
    response = client.post(
        '/plans', {'declaration': text.ok, 'file_name': arguments.file}
    )
    return finish(response, arguments.output, print_plan, surroundings)


def run_drain(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Drain a vm, replica or entry, or cancel its drain."""
    client = api_client.make_api_client(arguments, surroundings)
    body = {
        'kind': arguments.kind,
        'name': arguments.name,
        'undo': arguments.undo,
    }
    response = client.post('/drains', body)
    return finish(response, arguments.output, _print_decision, surroundings)


def finish(
    response: api_client.ApiResult,
    output: str,
    printer: Printer,
    surroundings: environment.Environment,
) -> exit_status.ExitStatus:
    """Print a response in the output format, or the error message."""
    if response.is_error():
        surroundings.stderr.write(f'{response.error.message}\n')
        return response.error.status
    if output == 'json':
        tables.print_json(response.ok, surroundings)
    else:
        printer(response.ok, surroundings)
    return exit_status.ExitStatus.SUCCESS


def print_plan(plan: typing.Any, surroundings: environment.Environment) -> None:
    """Print the changes of a plan and the deployments it puts at risk."""
    tables.print_line(
        f'plan {plan["name"]} ({plan["state"]}), made by {plan["proposed_by"]}',
        surroundings,
    )
    tables.print_rows(plan['changes'], CHANGE_COLUMNS, surroundings, 'changes')
    tables.print_rows(plan['risks'], RISK_COLUMNS, surroundings, 'at risk')
    tables.print_line(
        f'price at risk: {sum(risk["price"] for risk in plan["risks"]):.2f}',
        surroundings,
    )
    if plan['state'] == 'proposed':
        tables.print_line(
            f'nothing happens until: redwingvalve confirm {plan["name"]}',
            surroundings,
        )


def print_status(
    status: typing.Any, surroundings: environment.Environment
) -> None:
    """Print deployments, fabric domains and pending or risky items."""
    tables.print_line(
        f'configuration generation {status["generation"]}', surroundings
    )
    tables.print_rows(
        status['deployments'], DEPLOYMENT_COLUMNS, surroundings, 'deployments'
    )
    tables.print_rows(
        status['domains'], DOMAIN_COLUMNS, surroundings, 'fabric domains'
    )
    for name in status['not_in_force_on']:
        tables.print_line(f'not in force on: {name}', surroundings)
    for title in ('at_risk', 'waits'):
        for line in status[title]:
            tables.print_line(
                f'{title.replace("_", " ")}: {line}', surroundings
            )


def _make_rows_printer(field: str, columns: tuple[str, ...]) -> Printer:
    def printer(
        response: typing.Any, surroundings: environment.Environment
    ) -> None:
        tables.print_rows(response[field], columns, surroundings, field)

    return printer


def _print_decision(
    response: typing.Any, surroundings: environment.Environment
) -> None:
    tables.print_line(response['message'], surroundings)


def _make_get_command(
    name: str, help_text: str, path: str, printer: Printer
) -> options.Command:
    return options.Command(
        name=name,
        help=help_text,
        example=f'redwingvalve {name}',
        run=_make_get_runner(path, printer),
        options=api_client.COMMON_OPTIONS,
    )


STATUS = _make_get_command(
    'status',
    'show deployments, fabric domains, pending work and risks',
    '/status',
    print_status,
)
REPLICAS = _make_get_command(
    'replicas',
    'list replicas with their VMs and state',
    '/replicas',
    _make_rows_printer('replicas', REPLICA_COLUMNS),
)
ENTRIES = _make_get_command(
    'entries',
    'list entries and controllers with their configuration version',
    '/entries',
    _make_rows_printer('entries', ENTRY_COLUMNS),
)
EVENTS = _make_get_command(
    'events',
    'list controller events, newest first',
    '/events',
    _make_rows_printer('events', EVENT_COLUMNS),
)
AUDITS = _make_get_command(
    'audits',
    'list audit records, newest first',
    '/audits',
    _make_rows_printer('audits', AUDIT_COLUMNS),
)
PLANS = _make_get_command(
    'plans',
    'list plans and their state',
    '/plans',
    _make_rows_printer('plans', PLAN_COLUMNS),
)
PLAN = options.Command(
    name='plan',
    help='create a plan from a declaration; applied once it is confirmed',
    example='redwingvalve plan examples/tapiceria.yaml',
    run=run_plan,
    options=(
        options.Option(dest='file', help='the declaration'),
        *api_client.COMMON_OPTIONS,
    ),
)
CONFIRM = options.Command(
    name='confirm',
    help='confirm a plan so that it is applied',
    example='redwingvalve confirm plan-3f2a',
    run=_make_decision_runner('confirm'),
    options=(NAME, *api_client.COMMON_OPTIONS),
)
DISCARD = options.Command(
    name='discard',
    help='discard a proposed plan',
    example='redwingvalve discard plan-3f2a',
    run=_make_decision_runner('discard'),
    options=(NAME, *api_client.COMMON_OPTIONS),
)
DESCRIBE = options.Command(
    name='describe',
    help='show one object as stored',
    example='redwingvalve describe fabricdomains nave-a-1',
    run=_make_get_runner('/objects/{kind}/{name}', tables.print_json),
    options=(
        options.Option(
            dest='kind', help='kind of the object, such as deployments or plans'
        ),
        NAME,
        *api_client.COMMON_OPTIONS,
    ),
)
DRAIN = options.Command(
    name='drain',
    help='drain a vm, replica or entry: finish requests, accept no new ones',
    example='redwingvalve drain vm nave-a-vm-7',
    run=run_drain,
    options=(
        options.Option(
            dest='kind',
            help='what to drain',
            choices=('vm', 'replica', 'entry'),
        ),
        NAME,
        options.Option(
            dest='undo',
            flags=('--undo',),
            switch=True,
            help='cancel the drain',
        ),
        *api_client.COMMON_OPTIONS,
    ),
)
ALL = (
    PLAN,
    CONFIRM,
    DISCARD,
    PLANS,
    STATUS,
    DESCRIBE,
    EVENTS,
    AUDITS,
    DRAIN,
    REPLICAS,
    ENTRIES,
)
