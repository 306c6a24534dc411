"""Bodies of the declared objects, and the record of the confirmed plan.

A declared object carries the generation that wrote it, and a removed object
stays as a tombstone. A process that resumes applying an old generation after
a pause finds the newer generation in the object and does not overwrite it.
"""

import typing

import attrs

from redwingvalve.declaration import schema
from redwingvalve.platform_api import object_api
from redwingvalve.replicas import codec

DEPLOYMENTS = 'deployments'
SERVICES = 'services'
CLIENT_ACCOUNTS = 'clientaccounts'
DECLARATIONS = 'declarations'
PLANS = 'plans'
CURRENT = 'current'

ContentType = typing.TypeVar('ContentType')


@attrs.frozen
class Confirmation:
    """The single object that decides between concurrent confirmations.

    plan names the plan with the details. applied is true once the declared
    objects and the allocation of that plan have been written.
    """

    generation: int = 0
    plan: str = ''
    confirmed_by: str = ''
    confirmed_at_s: float = 0.0
    applied: bool = True


@attrs.frozen
class Declared:
    """The body of a declared object; content is None once it is removed."""

    generation: int
    content: dict[str, typing.Any] | None


def declared_body(
    generation: int,
    content: schema.ModelDeployment
    | schema.PlainService
    | schema.ClientAccount
    | None,
) -> object_api.Body:
    """Return the body of a declared object, or its tombstone for None."""
    plain = None if content is None else codec.to_body(content)
    return codec.to_body(Declared(generation, plain))


def read_declared(
    stored: object_api.StoredObject, target: type[ContentType]
) -> ContentType | None:
    """Return the declared content of an object, or None for a tombstone."""
    declared = codec.from_body(stored.body, Declared)
    if declared.content is None:
        return None
    return codec.from_body(declared.content, target)


def declared_content(body: object_api.Body) -> object_api.Body | None:
    """Return the declared part of a body, or None for a tombstone."""
    if 'generation' not in body or 'content' not in body:
        # The object was written directly, without a plan.
        return body
    return body['content']


def declared_objects(
    declaration: schema.Declaration,
) -> dict[tuple[str, str], typing.Any]:
    """Return all declared objects by kind and name."""
    parts: dict[tuple[str, str], typing.Any] = {}
    for kind, group in (
        (DEPLOYMENTS, declaration.deployments),
        (SERVICES, declaration.services),
        (CLIENT_ACCOUNTS, declaration.client_accounts),
    ):
        parts.update({(kind, part.name): part for part in group})
    return parts
