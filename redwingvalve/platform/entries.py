"""Decodes endpoints' entries in the store and the reports they send.

Load pattern: any program may write entries. A heartbeat with one unusable field
is not used, instead of sending two hundred requests a second to a wrong
address.
"""

import math
import typing

from redwingvalve.core import texts
from redwingvalve.fleet import endpoints
from redwingvalve.platform import damaged_pages, settings

_READY = 'ready'
_DRAINING = 'draining'
# Counts are sent to other nodes as 32-bit numbers, times and epochs as 64-bit.
_MAX_COUNT = 2**31 - 1
_MAX_NUMBER = 2**63 - 1
# Characters of a text that an error repeats.
_MAX_QUOTED = 40
# Fields of entries of services that serve a model.
_MODEL_FIELDS = ('domain', 'group', 'models', 'staged')


# Raised when a document has an unexpected structure.
_MALFORMED_DOCUMENT = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


class EndpointEntryError(ValueError):
    """The entry does not describe a usable endpoint; the message says why."""


def decode_endpoint(stored: dict[str, typing.Any]) -> endpoints.Endpoint:
    """Decode a stored entry; raises EndpointEntryError.

    Other writers may create entries: missing fields, wrong types and unknown
    states are errors, so that such an endpoint is never used.
    """
    reason = stored.get(damaged_pages.REASON_FIELD)
    if reason is not None:
        raise EndpointEntryError(str(reason))
    try:
        return _decode(stored['metadata']['name'], stored['spec'])
    except EndpointEntryError:
        raise
    except KeyError as error:
        raise EndpointEntryError(f'field {error} is missing') from error
    except _MALFORMED_DOCUMENT as error:
        raise EndpointEntryError(f'{type(error).__name__}: {error}') from error


def born_ms_of(stored: dict[str, typing.Any]) -> int:
    """Return the start time in a stored entry, 0 if it can't be read."""
    spec = stored.get('spec')
    born_ms = spec.get('born') if isinstance(spec, dict) else 0
    return born_ms if isinstance(born_ms, int) else 0


def _decode(name: str, entry: dict[str, typing.Any]) -> endpoints.Endpoint:
    if not isinstance(entry, dict):
        raise EndpointEntryError('spec is not an object')
    state = entry['state']
    if state not in {_READY, _DRAINING}:
        raise EndpointEntryError(f'unknown state {state!r}')
    _check_unused_fields(entry)
    _check_model_fields(entry)
    address = settings.parse_address(_require_text(entry['address']))
    return endpoints.Endpoint(
        endpoint_id=_require_text(name),
        born_ms=decode_born_ms(entry),
        service=_require_text(entry['service']),
        host=address.host,
        port=address.port,
        data_centre=_require_text(entry['zone']),
        slots=_require_int(entry['slots'], _MAX_COUNT),
        draining=state == _DRAINING,
        domain=_optional_text(entry.get('domain')),
        staged=decode_models(entry.get('staged')),
        models=decode_models(entry.get('models')),
        membership=decode_membership(entry.get('group')),
        cold_left_ms=_require_duration_ms(entry['cold_left_ms']),
        has_model_fields=all(name in entry for name in _MODEL_FIELDS),
        sequence=_require_int(entry['seq']),
    )


def _check_unused_fields(entry: dict[str, typing.Any]) -> None:
    """Check fields that no decision reads: every writer knows them."""
    if entry['version'] != '':
        _require_text(entry['version'])


def _check_model_fields(entry: dict[str, typing.Any]) -> None:
    """Check that an entry with data about models has all fields of them.

    Entries of plain services may lack these fields or leave them empty.
    """
    missing = [name for name in _MODEL_FIELDS if name not in entry]
    if missing and any(map(entry.get, _MODEL_FIELDS)):
        raise EndpointEntryError(f'missing fields of models: {missing}')


def decode_born_ms(document: dict[str, typing.Any]) -> int:
    """Return the start time in an entry or report, 0 without one.

    Raises EndpointEntryError.
    """
    return _require_int(document.get('born', 0))


def decode_membership(group: typing.Any) -> endpoints.Membership | None:
    """Decode the `group` of an entry or report; raises EndpointEntryError."""
    if group is None:
        return None
    if not isinstance(group, dict):
        raise EndpointEntryError('group is not an object')
    if group.get('name') in {None, ''}:
        return None
    try:
        return endpoints.Membership(
            replica=_require_text(group['name']),
            epoch=_require_int(group['epoch']),
            rank=_require_int(group['rank'], _MAX_COUNT),
            state=endpoints.MemberState(group['state']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise EndpointEntryError(f'group: {error}') from error


def decode_models(models: typing.Any) -> tuple[str, ...]:
    """Return the model names in a list; raises EndpointEntryError."""
    if models is None:
        return ()
    if not isinstance(models, list):
        raise EndpointEntryError('models are not a list')
    return tuple(map(_model_name, models))


def _model_name(model: typing.Any) -> str:
    if isinstance(model, dict):
        return _require_text(model.get('name'))
    return _require_text(model)


def _optional_text(value: typing.Any) -> str:
    return '' if value is None or value == '' else _require_text(value)


def _require_text(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise EndpointEntryError(f'expected a non-empty string, got {value!r}')
    if not texts.is_name(value):
        start = value[:_MAX_QUOTED]
        raise EndpointEntryError(f'too long or unprintable: {start!r}')
    return value


def _require_int(value: typing.Any, limit: int = _MAX_NUMBER) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise EndpointEntryError(f'expected an integer, got {value!r}')
    if not 0 <= value <= limit:
        raise EndpointEntryError(f'number out of range: {value!r}')
    return value


def _require_duration_ms(value: typing.Any) -> int:
    if isinstance(value, float) and math.isfinite(value):
        return _require_int(math.ceil(value))
    return _require_int(value)
