"""Decodes what endpoints say of themselves in the store and in reports."""

import typing

from redwingvalve.fleet import endpoints
from redwingvalve.platform import settings

_READY = 'ready'
_DRAINING = 'draining'


# What reading a document of another shape raises.
_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)


class EndpointEntryError(ValueError):
    """An entry that names no usable endpoint; the text says why."""


def decode_endpoint(stored: dict[str, typing.Any]) -> endpoints.Endpoint:
    """Turn a stored entry into an endpoint; raises EntryError.

    Entries may come from another writer: missing fields, other types and
    unknown states are errors, never an endpoint to be used.
    """
    try:
        return _decode(stored['metadata']['name'], stored['spec'])
    except _UNREADABLE as error:
        raise EndpointEntryError(f'{type(error).__name__}: {error}') from error


def _decode(name: str, entry: dict[str, typing.Any]) -> endpoints.Endpoint:
    state = entry['state']
    if state not in {_READY, _DRAINING}:
        raise EndpointEntryError(f'unknown state {state!r}')
    address = settings.parse_address(_text(entry['address']))
    return endpoints.Endpoint(
        endpoint_id=_text(name),
        born_ms=_whole(entry.get('born', 0)),
        service=_text(entry['service']),
        host=address.host,
        port=address.port,
        data_centre=_text(entry['zone']),
        slots=_whole(entry['slots']),
        draining=state == _DRAINING,
        domain=str(entry.get('domain', '')),
        staged=decode_models(entry.get('staged')),
        models=decode_models(entry.get('models')),
        membership=decode_membership(entry.get('group')),
    )


def decode_membership(group: typing.Any) -> endpoints.Membership | None:
    """Read the `group` of an entry or of a report; raises EntryError."""
    if not group or not group.get('name'):
        return None
    try:
        return endpoints.Membership(
            replica=_text(group['name']),
            epoch=_whole(group['epoch']),
            rank=_whole(group['rank']),
            state=endpoints.MemberState(group['state']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise EndpointEntryError(f'group: {error}') from error


def decode_models(models: typing.Any) -> tuple[str, ...]:
    """Return the names in a list of models; raises EntryError."""
    return tuple(map(_model_name, models or ()))


def _model_name(model: typing.Any) -> str:
    if isinstance(model, dict):
        return _text(model['name'])
    return _text(model)


def _text(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise EndpointEntryError(f'no text: {value!r}')
    return value


def _whole(value: typing.Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise EndpointEntryError(f'no whole number: {value!r}')
    return value
