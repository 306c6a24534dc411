"""Commands of operators that call the administration API."""

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


def _reader(path: str, printer: Printer) -> options.Runner:
    def run(
        arguments: argparse.Namespace, surroundings: environment.Environment
    ) -> exit_status.ExitStatus:
        client = api_client.make_api_client(arguments, surroundings)
        answer = client.get(path.format(**vars(arguments)))
        return finish(answer, arguments.output, printer, surroundings)

    return run


def _decider(verb: str) -> options.Runner:
    def run(
        arguments: argparse.Namespace, surroundings: environment.Environment
    ) -> exit_status.ExitStatus:
        client = api_client.make_api_client(arguments, surroundings)
        answer = client.post(f'/plans/{arguments.name}/{verb}', {})
        return finish(answer, arguments.output, _print_decision, surroundings)

    return run


def run_plan(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Send a declaration to be planned and print the plan."""
    text = files.read_text(arguments.file)
    if text.is_error():
        surroundings.stderr.write(f'{text.error}\n')
        return exit_status.ExitStatus.FINDINGS
    client = api_client.make_api_client(arguments, surroundings)
    answer = client.post(
        '/plans', {'declaration': text.ok, 'file_name': arguments.file}
    )
    return finish(answer, arguments.output, print_plan, surroundings)


def run_drain(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Drain a vm, replica or entry, or take that back."""
    client = api_client.make_api_client(arguments, surroundings)
    body = {
        'kind': arguments.kind,
        'name': arguments.name,
        'undo': arguments.undo,
    }
    answer = client.post('/drains', body)
    return finish(answer, arguments.output, _print_decision, surroundings)


def finish(
    answer: api_client.Answer,
    output: str,
    printer: Printer,
    surroundings: environment.Environment,
) -> exit_status.ExitStatus:
    """Print an answer in the form asked for, or the reason of a failure."""
    if answer.is_error():
        surroundings.stderr.write(f'{answer.error.message}\n')
        return answer.error.status
    if output == 'json':
        tables.print_json(answer.ok, surroundings)
    else:
        printer(answer.ok, surroundings)
    return exit_status.ExitStatus.SUCCESS


def print_plan(plan: typing.Any, surroundings: environment.Environment) -> None:
    """Print what a plan changes, stops and puts at risk."""
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
    """Print what serves, what waits and what is at risk."""
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


def _rows(field: str, columns: tuple[str, ...]) -> Printer:
    def printer(
        answer: typing.Any, surroundings: environment.Environment
    ) -> None:
        tables.print_rows(answer[field], columns, surroundings, field)

    return printer


def _print_decision(
    answer: typing.Any, surroundings: environment.Environment
) -> None:
    tables.print_line(answer['message'], surroundings)


def _reading(
    name: str, help_text: str, path: str, printer: Printer
) -> options.Command:
    return options.Command(
        name=name,
        help=help_text,
        example=f'redwingvalve {name}',
        run=_reader(path, printer),
        options=api_client.COMMON,
    )


STATUS = _reading(
    'status', 'what serves, waits and is at risk', '/status', print_status
)
REPLICAS = _reading(
    'replicas',
    'all replicas with their VMs and state',
    '/replicas',
    _rows('replicas', REPLICA_COLUMNS),
)
ENTRIES = _reading(
    'entries',
    'entries and controllers, and the configuration each has',
    '/entries',
    _rows('entries', ENTRY_COLUMNS),
)
EVENTS = _reading(
    'events',
    'what the controllers did, newest first',
    '/events',
    _rows('events', EVENT_COLUMNS),
)
AUDITS = _reading(
    'audits',
    'who did what, newest first',
    '/audits',
    _rows('audits', AUDIT_COLUMNS),
)
PLANS = _reading(
    'plans', 'plans and their state', '/plans', _rows('plans', PLAN_COLUMNS)
)
PLAN = options.Command(
    name='plan',
    help='plan a declaration; nothing happens until it is confirmed',
    example='redwingvalve plan examples/tapiceria.yaml',
    run=run_plan,
    options=(
        options.Option(dest='file', help='the declaration'),
        *api_client.COMMON,
    ),
)
CONFIRM = options.Command(
    name='confirm',
    help='put a plan into force',
    example='redwingvalve confirm plan-3f2a',
    run=_decider('confirm'),
    options=(NAME, *api_client.COMMON),
)
DISCARD = options.Command(
    name='discard',
    help='drop a plan that waits',
    example='redwingvalve discard plan-3f2a',
    run=_decider('discard'),
    options=(NAME, *api_client.COMMON),
)
DESCRIBE = options.Command(
    name='describe',
    help='show one object as the store holds it',
    example='redwingvalve describe fabricdomains nave-a-1',
    run=_reader('/objects/{kind}/{name}', tables.print_json),
    options=(
        options.Option(dest='kind', help='such as deployments or plans'),
        NAME,
        *api_client.COMMON,
    ),
)
DRAIN = options.Command(
    name='drain',
    help='drain a vm, replica or entry: no new work, nothing cut off',
    example='redwingvalve drain vm nave-a-vm-7',
    run=run_drain,
    options=(
        options.Option(
            dest='kind', help='what', choices=('vm', 'replica', 'entry')
        ),
        NAME,
        options.Option(
            dest='undo',
            flags=('--undo',),
            switch=True,
            help='take the drain back',
        ),
        *api_client.COMMON,
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
