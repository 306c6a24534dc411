"""Spells orders to endpoints and reads their reports."""

import enum
import types
import typing

import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.http1 import messages
from redwingvalve.platform import entries, names, store

# An order is answered at once; endpoints that don't answer may carry it out
# seconds later all the same.
ORDER_TIMEOUT_S = 0.4
REPORT_TIMEOUT_S = 0.2
_BEGUN = 202
_HOLDS = 200
_CONFLICT = 409
_OUTDATED = 412
_OTHER_ENDPOINT = 421


class OrderResult(enum.Enum):
    """What an endpoint said to an order."""

    ACCEPTED = 'accepted'
    # The order doesn't fit the endpoint's state.
    CONFLICT = 'conflict'
    # A later epoch was seen there, or other members under this one.
    OUTDATED = 'outdated'
    # Another endpoint answers at the address.
    OTHER_ENDPOINT = 'other-endpoint'
    REFUSED = 'refused'
    # It may be carried out, now or seconds later.
    UNKNOWN = 'unknown'
    # Nothing was sent: the connection failed.
    UNREACHED = 'unreached'


_RESULTS: typing.Final = types.MappingProxyType(
    {
        _BEGUN: OrderResult.ACCEPTED,
        _HOLDS: OrderResult.ACCEPTED,
        _CONFLICT: OrderResult.CONFLICT,
        _OUTDATED: OrderResult.OUTDATED,
        _OTHER_ENDPOINT: OrderResult.OTHER_ENDPOINT,
    }
)


@attrs.frozen
class Report:
    """What an endpoint says of itself when it is asked."""

    born_ms: int
    membership: endpoints.Membership | None
    staged: tuple[str, ...]


class EndpointClient:
    """Gives orders to endpoints and asks them."""

    def __init__(self, json_client: store.JsonClient) -> None:
        """Use the client's connections."""
        self._json = json_client

    async def join(
        self,
        endpoint: endpoints.Endpoint,
        replica: str,
        epoch: int,
        member_ids: tuple[str, ...],
    ) -> OrderResult:
        """Make an endpoint a member of a replica; the first is the head."""
        return await self._order(
            endpoint,
            {
                'operation': 'join',
                'group': replica,
                'epoch': epoch,
                'model': endpoints.model_of(replica),
                'members': list(member_ids),
            },
        )

    async def open(
        self, head: endpoints.Endpoint, replica: str, epoch: int
    ) -> OrderResult:
        """Let a head whose replica is ready begin to serve."""
        return await self._order(
            head, {'operation': 'open', 'group': replica, 'epoch': epoch}
        )

    async def close(
        self,
        head: endpoints.Endpoint,
        replica: str,
        epoch: int,
        is_graceful: bool,
    ) -> OrderResult:
        """Stop a head from serving; graceful lets its requests finish."""
        mode = 'queue' if is_graceful else 'sever'
        return await self._order(
            head,
            {
                'operation': 'close',
                'group': replica,
                'epoch': epoch,
                'close_mode': mode,
            },
        )

    async def leave(
        self, endpoint: endpoints.Endpoint, replica: str, epoch: int
    ) -> OrderResult:
        """End an endpoint's membership at once."""
        return await self._order(
            endpoint, {'operation': 'leave', 'group': replica, 'epoch': epoch}
        )

    async def stage(
        self, endpoint: endpoints.Endpoint, model: str
    ) -> OrderResult:
        """Load a model's weights onto the endpoint's host."""
        return await self._order(
            endpoint, {'operation': 'stage', 'model': model}
        )

    async def report(self, endpoint: endpoints.Endpoint) -> Report | None:
        """Return what an endpoint says, or None if it doesn't answer."""
        try:
            status, body = await self._json.call(
                (endpoint.host, endpoint.port),
                f'GET {names.REPORT_PATH}',
                None,
                REPORT_TIMEOUT_S,
                _addressed_to(endpoint),
            )
        except store.StoreError:
            return None
        if status != _HOLDS or not isinstance(body, dict):
            return None
        return _decode_report(body)

    async def _order(
        self, endpoint: endpoints.Endpoint, order: store.Document
    ) -> OrderResult:
        try:
            status, _ = await self._json.call(
                (endpoint.host, endpoint.port),
                f'POST {names.ORDER_PATH}',
                order,
                ORDER_TIMEOUT_S,
                _addressed_to(endpoint),
            )
        except store.StoreRefusedError:
            return OrderResult.UNREACHED
        except store.StoreError:
            return OrderResult.UNKNOWN
        return _RESULTS.get(status, OrderResult.REFUSED)


def _addressed_to(endpoint: endpoints.Endpoint) -> messages.Headers:
    # Addresses are used again: another endpoint there must not obey.
    return [(names.EXPECTED_ENDPOINT_HEADER, endpoint.endpoint_id.encode())]


def _decode_report(body: store.Document) -> Report | None:
    try:
        return Report(
            born_ms=int(body.get('born', 0)),
            membership=entries.decode_membership(body.get('group')),
            staged=entries.decode_models(body.get('staged')),
        )
    except (ValueError, TypeError, AttributeError):
        return None
