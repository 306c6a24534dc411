"""All actions of the administration API.

The routes, the OpenAPI document and the audit trail are generated from this
table, so that they can't diverge.
"""

import typing

import attrs

from redwingvalve.administration import rights

BASE_PATH = '/admin/v1'
TEXT = 'string'
NUMBER = 'number'


@attrs.frozen
class Field:
    """A field of a request body; kind is a JSON schema type."""

    name: str
    kind: str = TEXT
    required: bool = True
    help: str = ''


@attrs.frozen
class Action:
    """An action of the API; actions that change anything are audited."""

    name: str
    method: str
    path: str
    right: rights.Right
    summary: str
    fields: tuple[Field, ...] = ()

    @property
    def changes(self) -> bool:
        """Tell whether the action may change anything."""
        return self.method != 'GET'


ALL = (
    Action(
        'status',
        'GET',
        '/status',
        rights.Right.VIEW,
        'Replicas that serve, pending changes and deployments at risk.',
    ),
    Action(
        'replicas',
        'GET',
        '/replicas',
        rights.Right.VIEW,
        'All replicas with their VMs and state.',
    ),
    Action(
        'entries',
        'GET',
        '/entries',
        rights.Right.VIEW,
        'Entries and controllers, and whether configuration is in force.',
    ),
    Action(
        'events',
        'GET',
        '/events',
        rights.Right.VIEW,
        'Events of the controllers, newest first.',
    ),
    Action(
        'audits',
        'GET',
        '/audits',
        rights.Right.VIEW,
        'The audit trail, newest first.',
    ),
    Action(
        'describe',
        'GET',
        '/objects/{kind}/{name}',
        rights.Right.VIEW,
        'An object as stored.',
    ),
    Action(
        'plans',
        'GET',
        '/plans',
        rights.Right.VIEW,
        'Proposed, confirmed and discarded plans.',
    ),
    Action(
        'plan',
        'POST',
        '/plans',
        rights.Right.PLAN,
        'Make a plan for a declaration; nothing changes until it is confirmed.',
        (
            Field('declaration', help='the YAML text'),
            Field('file_name', required=False, help='named in findings'),
        ),
    ),
    Action(
        'confirm',
        'POST',
        '/plans/{name}/confirm',
        rights.Right.CONFIRM,
        'Put a plan into force, unless it is outdated.',
    ),
    Action(
        'discard',
        'POST',
        '/plans/{name}/discard',
        rights.Right.PLAN,
        'Discard a proposed plan.',
    ),
    Action(
        'drain',
        'POST',
        '/drains',
        rights.Right.DRAIN,
        'Drain a vm, replica or entry; requests in progress are finished.',
        (
            Field('kind', help='vm, replica or entry'),
            Field('name'),
            Field('undo', kind='boolean', required=False),
        ),
    ),
    Action(
        'tokens',
        'GET',
        '/tokens',
        rights.Right.MANAGE_TOKENS,
        'All tokens, without their secrets.',
    ),
    Action(
        'token-create',
        'POST',
        '/tokens',
        rights.Right.MANAGE_TOKENS,
        'Create a token; the bearer is shown only once.',
        (
            Field('name'),
            Field('team'),
            Field('role', help='viewer, operator or administrator'),
            Field('scopes', kind='array', required=False),
            Field('expires_at_s', kind=NUMBER, required=False),
        ),
    ),
    Action(
        'token-revoke',
        'POST',
        '/tokens/{name}/revoke',
        rights.Right.MANAGE_TOKENS,
        'Revoke a token by its id.',
    ),
)


def openapi() -> dict[str, typing.Any]:
    """Return the OpenAPI 3.1 document of the API."""
    paths: dict[str, dict[str, typing.Any]] = {}
    for action in ALL:
        path = paths.setdefault(f'{BASE_PATH}{action.path}', {})
        path[action.method.lower()] = _operation(action)
    return {
        'openapi': '3.1.0',
        'info': {'title': 'redwingvalve administration', 'version': '1'},
        'paths': paths,
        'components': {
            'securitySchemes': {'bearer': {'type': 'http', 'scheme': 'bearer'}}
        },
        'security': [{'bearer': []}],
    }


def _operation(action: Action) -> dict[str, typing.Any]:
    operation: dict[str, typing.Any] = {
        'operationId': action.name,
        'summary': action.summary,
        'description': f'Requires the right {action.right.value!r}.',
        'parameters': [_parameter(name) for name in path_names(action)],
        'responses': {
            '200': {'description': 'done'},
            '401': {'description': 'no valid token'},
            '403': {'description': 'a right is missing; nothing changed'},
            '503': {'description': 'the store is unavailable; nothing changed'},
        },
    }
    if action.changes:
        operation['responses']['409'] = {
            'description': 'refused, with the reason'
        }
        operation['responses']['422'] = {
            'description': 'invalid, with findings'
        }
    if action.fields:
        operation['requestBody'] = {
            'required': True,
            'content': {'application/json': {'schema': _schema(action)}},
        }
    return operation


def path_names(action: Action) -> tuple[str, ...]:
    """Return the names of the path parameters of an action."""
    return tuple(
        part[1:-1] for part in action.path.split('/') if part.startswith('{')
    )


def _parameter(name: str) -> dict[str, typing.Any]:
    return {
        'name': name,
        'in': 'path',
        'required': True,
        'schema': {'type': TEXT},
    }


def _schema(action: Action) -> dict[str, typing.Any]:
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': [field.name for field in action.fields if field.required],
        'properties': {
            field.name: {'type': field.kind, 'description': field.help}
            for field in action.fields
        },
    }
