"""Tells which endpoints are cold, and how many requests they may get.

Load pattern: an endpoint that has just started crashes under a fraction of the
load of a warm one. Its entry, its answers and other nodes say that it is cold,
each at another time, and its data centre may return as a whole. Until anybody
says so, it looks like a warm endpoint.
"""

import itertools
import math
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import messages, owner_knowledge, start_limits
from redwingvalve.fleet import endpoints as fleet_endpoints
from redwingvalve.ingress import routes
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('cold')
# Endpoints that were not listed for this long are forgotten. Entries lapse
# while the store is unavailable; their endpoints register again within 2 s.
RETENTION_S = 60.0
# Interval at which it is noted that endpoints are gone or warm.
CHECK_INTERVAL_S = 1.0
_MS_IN_S = 1000.0


@attrs.define
class _Endpoint:
    """One incarnation of an endpoint."""

    born_ms: int
    seen_s: float
    service: str = ''
    data_centre: str = ''
    # What its entry said last; entries are also listed again unchanged.
    stated_ms: int = 0
    cold_until_s: float = -math.inf
    is_logged: bool = False


@attrs.frozen
class _ColdDataCentre:
    since_s: float
    # None: as long as endpoints of each service are cold after their start.
    cold_s: float | None


@attrs.define(eq=False)
class ColdEndpoints:
    """Endpoints of services whose cold endpoints tolerate few requests."""

    clock: collections_abc.Callable[[], float]
    bound: start_limits.Bound = attrs.field(factory=start_limits.Bound)
    _services: dict[str, routes.Service] = attrs.field(factory=dict)
    _limits: dict[str, start_limits.ServiceLimits] = attrs.field(factory=dict)
    _known: dict[str, _Endpoint] = attrs.field(factory=dict)
    _data_centres: dict[str, _ColdDataCentre] = attrs.field(factory=dict)
    _checked_s: float = -math.inf

    @property
    def is_enabled(self) -> bool:
        """Return whether any service limits what cold endpoints get."""
        return bool(self._limits)

    @property
    def window_s(self) -> float:
        """Return for how long starts have to be remembered."""
        return max(
            (limits.longest_window_s for limits in self._limits.values()),
            default=0,
        )

    def configure(
        self, services: collections_abc.Iterable[routes.Service]
    ) -> None:
        """Apply the services of a new configuration."""
        self._services = {service.name: service for service in services}
        self._limits = {
            service.name: start_limits.make_service_limits(
                service.cold_per_s, self.bound
            )
            for service in self._services.values()
            if service.cold_per_s > 0
        }

    def update(
        self, listed: collections_abc.Iterable[fleet_endpoints.Endpoint]
    ) -> None:
        """Take over what the entries of all endpoints say."""
        now_s = self.clock()
        for endpoint in listed:
            known = self._incarnation(endpoint.endpoint_id, endpoint.born_ms)
            if known is None:
                continue
            known.seen_s = now_s
            known.service = endpoint.service
            known.data_centre = endpoint.data_centre
            if endpoint.cold_left_ms != known.stated_ms:
                known.stated_ms = endpoint.cold_left_ms
                left_s = endpoint.cold_left_ms / _MS_IN_S
                known.cold_until_s = max(known.cold_until_s, now_s + left_s)
            self._log_change(endpoint.endpoint_id, known)

    def record(self, endpoint_id: str, born_ms: int, left_s: float) -> bool:
        """Record that an endpoint is cold; return whether that is new."""
        known = self._incarnation(endpoint_id, born_ms)
        if known is None or left_s <= 0:
            return False
        was_cold = self.is_cold(endpoint_id)
        until_s = self.clock() + left_s
        known.cold_until_s = max(known.cold_until_s, until_s)
        self._log_change(endpoint_id, known)
        return not was_cold

    def forget(self, endpoint_id: str, born_ms: int) -> None:
        """Forget the previous processes of an endpoint that has restarted.

        The start of the next one may be earlier, if a clock was set back.
        """
        known = self._known.get(endpoint_id)
        if known is not None and not (born_ms and known.born_ms == born_ms):
            self._begin(endpoint_id, born_ms)

    def mark_cold(self, data_centre: str, cold_s: float | None = None) -> None:
        """Treat all endpoints of a data centre as cold from now on.

        Its evacuation has just ended. Without cold_s, they are cold for as long
        as after a start.
        """
        since_s = self.clock()
        self._data_centres[data_centre] = _ColdDataCentre(since_s, cold_s)
        LOG.info('data centre cold', extra={'data_centre': data_centre})
        self._checked_s = -math.inf
        self.drop_expired()

    def is_cold(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is known to be cold."""
        return self.left_s(endpoint_id) > 0

    def left_s(self, endpoint_id: str) -> float:
        """Return how much longer an endpoint is cold, 0 if it isn't."""
        known = self._known.get(endpoint_id)
        if known is None:
            return 0
        return max(0, self._cold_until_s(known) - self.clock())

    def is_limited(self, endpoint_id: str) -> bool:
        """Return whether the starts at an endpoint count.

        An endpoint that is not listed yet may belong to any service.
        """
        known = self._known.get(endpoint_id)
        if known is None or not known.service:
            return self.is_enabled
        return known.service in self._limits

    def limit(
        self, endpoint_id: str, knowledge: owner_knowledge.Knowledge
    ) -> start_limits.StartLimit | None:
        """Return an endpoint's limit, or None if it has none."""
        known = self._known.get(endpoint_id)
        limits = self._limits.get(known.service) if known else None
        if limits is None:
            return None
        if knowledge is owner_knowledge.Knowledge.NONE:
            return limits.uninformed
        if self.is_cold(endpoint_id):
            is_told = knowledge <= owner_knowledge.Knowledge.MOST
            return limits.cold if is_told else limits.uninformed
        is_told = knowledge is owner_knowledge.Knowledge.ALL
        return limits.warm if is_told else limits.shared

    def cold_ids(self) -> list[str]:
        """Return the endpoints that are cold."""
        return [
            endpoint_id
            for endpoint_id, known in self._known.items()
            if known.service in self._limits and self.is_cold(endpoint_id)
        ]

    def pools(self) -> set[messages.Pool]:
        """Return the pools in which starts at endpoints are limited."""
        data_centres: dict[str, set[str]] = {}
        for known in self._known.values():
            if known.service in self._limits:
                found = data_centres.setdefault(known.service, {''})
                found.add(known.data_centre)
        pools: set[messages.Pool] = set()
        for name, found in data_centres.items():
            models = _model_names(self._services[name])
            pairs = itertools.product(models, found)
            pools.update(messages.Pool(name, *pair) for pair in pairs)
        return pools

    def drop_expired(self) -> None:
        """Forget endpoints that are gone; log those that are warm now.

        Owners of pools call this ten times a second.
        """
        now_s = self.clock()
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        self._known = {
            endpoint_id: known
            for endpoint_id, known in self._known.items()
            if known.seen_s > now_s - RETENTION_S or known.cold_until_s > now_s
        }
        for endpoint_id, known in self._known.items():
            self._log_change(endpoint_id, known)

    def samples(self) -> list[node_metrics.Sample]:
        """Return the number of cold endpoints by service."""
        counts = dict.fromkeys(self._limits, 0)
        for endpoint_id in self.cold_ids():
            counts[self._known[endpoint_id].service] += 1
        return [
            node_metrics.Sample(count, (('service', service),))
            for service, count in counts.items()
        ]

    def _incarnation(self, endpoint_id: str, born_ms: int) -> _Endpoint | None:
        """Return what is known of an incarnation, None if it has ended.

        Nothing known of an earlier one holds for a later one. 0 is a start that
        isn't known.
        """
        known = self._known.get(endpoint_id)
        if known is not None and born_ms and born_ms < known.born_ms:
            return None
        if known is not None and born_ms in {0, known.born_ms}:
            return known
        return self._begin(endpoint_id, born_ms)

    def _begin(self, endpoint_id: str, born_ms: int) -> _Endpoint:
        """Start an incarnation of which nothing is known."""
        known = self._known.get(endpoint_id)
        found = _Endpoint(born_ms, self.clock())
        if known is not None:
            found.service = known.service
            found.data_centre = known.data_centre
            found.is_logged = known.is_logged
        self._known[endpoint_id] = found
        return found

    def _cold_until_s(self, known: _Endpoint) -> float:
        centre = self._data_centres.get(known.data_centre)
        if centre is None:
            return known.cold_until_s
        cold_s = centre.cold_s
        if cold_s is None:
            service = self._services.get(known.service)
            cold_s = service.cold_s if service else 0
        return max(known.cold_until_s, centre.since_s + cold_s)

    def _log_change(self, endpoint_id: str, known: _Endpoint) -> None:
        left_s = self.left_s(endpoint_id)
        is_cold = left_s > 0 and known.service in self._limits
        if is_cold == known.is_logged:
            return
        known.is_logged = is_cold
        if is_cold:
            LOG.info(
                'endpoint cold',
                extra={'endpoint': endpoint_id, 'left_s': round(left_s, 3)},
            )
        else:
            LOG.info('endpoint warm', extra={'endpoint': endpoint_id})


def _model_names(service: routes.Service) -> list[str]:
    if service.engine is None:
        return ['']
    return [model.name for model in service.engine.models]
