"""Sends orders to endpoints and decodes their reports."""

import enum
import types
import typing

import anyio
import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.http1 import messages
from redwingvalve.observability import logs
from redwingvalve.platform import entries, json_answers, names, store

LOG = logs.make_logger('orders')

# Endpoints acknowledge orders immediately. After a timeout the order may still
# be executed seconds later.
ORDER_TIMEOUT_S = 0.4
REPORT_TIMEOUT_S = 0.2
# Of each try while an endpoint is silent: an open connection may be dead.
SILENT_REPORT_TIMEOUT_S = 0.4
# Between two tries.
SILENT_RETRY_INTERVAL_S = 0.05
_ACCEPTED = 202
_OK = 200
_CONFLICT = 409
_OUTDATED = 412
_OTHER_ENDPOINT = 421


class OrderResult(enum.Enum):
    """Result of an order."""

    ACCEPTED = 'accepted'
    # The order is not valid in the endpoint's current state.
    CONFLICT = 'conflict'
    # The endpoint has seen a later epoch, or other members in this epoch.
    OUTDATED = 'outdated'
    # The address now belongs to another endpoint.
    OTHER_ENDPOINT = 'other-endpoint'
    REFUSED = 'refused'
    # No response: the order may be executed now or seconds later.
    UNKNOWN = 'unknown'
    # The connection failed, so the order was not sent.
    UNREACHED = 'unreached'


class Liveness(enum.Enum):
    """What a probe shows about one process of an endpoint."""

    ALIVE = 'alive'
    ENDED = 'ended'
    # Its host replied that nothing listens at its address. A full endpoint may
    # refuse connections too.
    NOT_LISTENING = 'not-listening'
    # No response: it may have ended, be overloaded or cut off.
    UNKNOWN = 'unknown'


# Raised when a report has an unexpected structure.
_MALFORMED_REPORT = (ValueError, TypeError, AttributeError, OverflowError)
_RESULTS_BY_STATUS: typing.Final = types.MappingProxyType(
    {
        _ACCEPTED: OrderResult.ACCEPTED,
        _OK: OrderResult.ACCEPTED,
        _CONFLICT: OrderResult.CONFLICT,
        _OUTDATED: OrderResult.OUTDATED,
        _OTHER_ENDPOINT: OrderResult.OTHER_ENDPOINT,
    }
)


@attrs.frozen
class Report:
    """Current state reported by an endpoint."""

    born_ms: int
    membership: endpoints.Membership | None
    staged: tuple[str, ...]


@attrs.frozen
class LifeProbe:
    """What the answer to a probe shows about one process, and its report."""

    liveness: Liveness
    # None without a valid one.
    report: Report | None = None


class EndpointClient:
    """Sends orders and report requests to endpoints."""

    def __init__(self, json_client: store.JsonClient) -> None:
        """Send requests through json_client."""
        self._json = json_client

    async def join(
        self,
        endpoint: endpoints.Endpoint,
        replica: str,
        epoch: int,
        member_ids: tuple[str, ...],
    ) -> OrderResult:
        """Make an endpoint a member of a replica; member_ids[0] is the head."""
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
        """Tell the head of a ready replica to start serving."""
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
        """Tell a head to stop serving; graceful lets its requests finish."""
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
        """End an endpoint's membership immediately."""
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
        """Return the endpoint's report, or None without a valid response."""
        try:
            return await self._request_report(endpoint, REPORT_TIMEOUT_S)
        except store.StoreError:
            return None

    async def accepts_connections(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint's host takes a new connection."""
        try:
            await self._json.connect((endpoint.host, endpoint.port))
        except store.StoreError as error:
            LOG.debug(
                'endpoint not reached',
                extra={'endpoint': endpoint.endpoint_id, 'error': str(error)},
            )
            return False
        return True

    async def await_report(
        self, endpoint: endpoints.Endpoint, timeout_s: float
    ) -> Report | None:
        """Return the report of an endpoint that may be silent for a while.

        None if it is silent for longer, or if nothing listens at its address.
        """
        with anyio.move_on_after(timeout_s):
            while True:
                try:
                    return await self._request_report(
                        endpoint, SILENT_REPORT_TIMEOUT_S
                    )
                except store.NotListeningError:
                    return None
                except store.StoreError as error:
                    LOG.debug(
                        'endpoint silent',
                        extra={
                            'endpoint': endpoint.endpoint_id,
                            'error': str(error),
                        },
                    )
                await anyio.sleep(SILENT_RETRY_INTERVAL_S)
        return None

    async def check_liveness(self, endpoint: endpoints.Endpoint) -> Liveness:
        """Return whether the process of an endpoint's entry still runs."""
        probed = await self.probe(endpoint)
        return probed.liveness

    async def probe(self, endpoint: endpoints.Endpoint) -> LifeProbe:
        """Return the same, and what the process reports."""
        try:
            status, body = await self._json.call(
                (endpoint.host, endpoint.port),
                f'GET {names.REPORT_PATH}',
                None,
                REPORT_TIMEOUT_S,
                _expected_endpoint_headers(endpoint),
                json_answers.make_report_answer(),
            )
        except store.NotListeningError:
            return LifeProbe(Liveness.NOT_LISTENING)
        except store.StoreError:
            return LifeProbe(Liveness.UNKNOWN)
        if status == _OTHER_ENDPOINT:
            return LifeProbe(Liveness.ENDED)
        # Plain services needn't know the path; any answer shows life.
        report = _decode_report(body) if isinstance(body, dict) else None
        if report is not None and report.born_ms not in {0, endpoint.born_ms}:
            return LifeProbe(Liveness.ENDED)
        return LifeProbe(Liveness.ALIVE, report)

    async def check_process(self, endpoint: endpoints.Endpoint) -> Liveness:
        """Return the same, if the endpoint takes a new connection.

        Connections that are open may outlive what listened for them.
        """
        try:
            await self._json.connect((endpoint.host, endpoint.port))
        except store.NotListeningError:
            return Liveness.NOT_LISTENING
        except store.StoreError:
            return Liveness.UNKNOWN
        return await self.check_liveness(endpoint)

    async def _request_report(
        self, endpoint: endpoints.Endpoint, timeout_s: float
    ) -> Report | None:
        status, body = await self._json.call(
            (endpoint.host, endpoint.port),
            f'GET {names.REPORT_PATH}',
            None,
            timeout_s,
            _expected_endpoint_headers(endpoint),
            json_answers.make_report_answer(),
        )
        if status != _OK or not isinstance(body, dict):
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
                _expected_endpoint_headers(endpoint),
                json_answers.make_report_answer(),
            )
        except store.StoreRefusedError:
            return OrderResult.UNREACHED
        except store.StoreError:
            return OrderResult.UNKNOWN
        return _RESULTS_BY_STATUS.get(status, OrderResult.REFUSED)


def _expected_endpoint_headers(
    endpoint: endpoints.Endpoint,
) -> messages.Headers:
    # Addresses are reused: another endpoint at this address must reject the
    # request.
    return [(names.EXPECTED_ENDPOINT_HEADER, endpoint.endpoint_id.encode())]


def _decode_report(body: store.Document) -> Report | None:
    try:
        return Report(
            born_ms=entries.decode_born_ms(body),
            membership=entries.decode_membership(body.get('group')),
            staged=entries.decode_models(body.get('staged')),
        )
    except _MALFORMED_REPORT:
        return None
