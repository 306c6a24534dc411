"""The token commands; token-bootstrap writes directly to the store."""

import argparse
import functools
import typing

import anyio

from redwingvalve.administration import rights, tokens
from redwingvalve.cli import api_client, operate, options, tables
from redwingvalve.core import environment, exit_status
from redwingvalve.platform_api import http_object_api

STORE_TIMEOUT_S = 5.0
TOKEN_COLUMNS = ('token_id', 'name', 'team', 'role', 'scopes', 'revoked')


def run_bootstrap(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Write the first administrator token directly into the store.

    Write access to the store already implies every right. Once a token exists,
    further ones are issued by the API, which records them in the audit log.
    """
    return anyio.run(functools.partial(_bootstrap, arguments, surroundings))


async def _bootstrap(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    store = http_object_api.make_http_object_api(
        arguments.object_api, STORE_TIMEOUT_S
    )
    try:
        return await _bootstrap_in(store, arguments, surroundings)
    finally:
        await store.aclose()


async def _bootstrap_in(
    store: http_object_api.HttpObjectApi,
    arguments: argparse.Namespace,
    surroundings: environment.Environment,
) -> exit_status.ExitStatus:
    listed = await store.list(tokens.KIND)
    if listed.is_error():
        surroundings.stderr.write(
            f'platform store unavailable: {listed.error}\n'
        )
        return exit_status.ExitStatus.UNREACHABLE
    if listed.ok.objects:
        surroundings.stderr.write(
            'the store has tokens already; ask an administrator for another\n'
        )
        return exit_status.ExitStatus.REFUSED
    issued = tokens.issue(
        arguments.name, arguments.team, rights.Role.ADMINISTRATOR
    )
    created = await store.create(
        tokens.KIND, issued.record.token_id, tokens.encode(issued.record)
    )
    if created.is_error():
        surroundings.stderr.write(
            f'token could not be written: {created.error}\n'
        )
        return exit_status.ExitStatus.FAILURE
    tables.print_line(issued.bearer, surroundings)
    return exit_status.ExitStatus.SUCCESS


def run_create(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Create a token through the API; its bearer secret is shown only once."""
    client = api_client.make_api_client(arguments, surroundings)
    response = client.post(
        '/tokens',
        {
            'name': arguments.name,
            'team': arguments.team,
            'role': arguments.role,
            'scopes': arguments.scope or ['*'],
        },
    )
    return operate.finish(
        response, arguments.output, _print_bearer, surroundings
    )


def run_revoke(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """Revoke a token by its ID."""
    client = api_client.make_api_client(arguments, surroundings)
    response = client.post(f'/tokens/{arguments.token_id}/revoke', {})
    return operate.finish(
        response, arguments.output, _print_message, surroundings
    )


def run_list(
    arguments: argparse.Namespace, surroundings: environment.Environment
) -> exit_status.ExitStatus:
    """List all tokens without their secrets."""
    client = api_client.make_api_client(arguments, surroundings)
    response = client.get('/tokens')
    return operate.finish(response, arguments.output, _print_list, surroundings)


def _print_bearer(
    response: dict[str, str], surroundings: environment.Environment
) -> None:
    tables.print_line(response['bearer'], surroundings)


def _print_message(
    response: dict[str, str], surroundings: environment.Environment
) -> None:
    tables.print_line(response['message'], surroundings)


def _print_list(
    response: dict[str, typing.Any],
    surroundings: environment.Environment,
) -> None:
    tables.print_rows(response['tokens'], TOKEN_COLUMNS, surroundings, 'tokens')


NAME = options.Option(
    dest='name', flags=('--name',), required=True, help='holder of the token'
)
TEAM = options.Option(
    dest='team', flags=('--team',), required=True, help='team of the holder'
)
ALL = (
    options.Command(
        name='token-bootstrap',
        help='write the first administrator token into the store',
        example='redwingvalve token-bootstrap --object-api '
        'http://127.0.0.1:8001 --name ana --team depot',
        run=run_bootstrap,
        options=(
            options.Option(
                dest='object_api',
                flags=('--object-api',),
                required=True,
                help='URL of the object API',
            ),
            NAME,
            TEAM,
        ),
    ),
    options.Command(
        name='token-create',
        help='create a token for a person or program',
        example='redwingvalve token-create --name ci --team depot '
        '--role viewer',
        run=run_create,
        options=(
            NAME,
            TEAM,
            options.Option(
                dest='role',
                flags=('--role',),
                choices=tuple(role.value for role in rights.Role),
                default='viewer',
                help='role of the token, which determines its rights',
            ),
            options.Option(
                dest='scope',
                flags=('--scope',),
                nargs='*',
                help='patterns of names it may change (default: all)',
            ),
            *api_client.COMMON_OPTIONS,
        ),
    ),
    options.Command(
        name='token-revoke',
        help='revoke a token by its ID',
        example='redwingvalve token-revoke 3f2a91c04d5e',
        run=run_revoke,
        options=(
            options.Option(dest='token_id', help='ID of the token'),
            *api_client.COMMON_OPTIONS,
        ),
    ),
    options.Command(
        name='tokens',
        help='list all tokens without their secrets',
        example='redwingvalve tokens',
        run=run_list,
        options=api_client.COMMON_OPTIONS,
    ),
)
