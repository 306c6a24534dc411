"""Routes, services and client accounts of one configuration version."""

import enum
import random

import attrs


class RouteKind(enum.Enum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@attrs.frozen
class Model:
    """A model whose replicas span several VMs."""

    name: str
    # Number of endpoints in one replica, each on its own VM.
    size: int
    # Initial share of the service's load, between 0 and 1.
    share: float
    # Multiplies all processing times of the model's replicas.
    time_factor: float
    load_s: float
    load_from_host_s: float


@attrs.frozen
class Engine:
    """How the endpoints of a service process requests."""

    slots: int
    models: tuple[Model, ...]
    # Duration of a token step, and what each running request adds to it.
    step_ms: float
    step_ms_per_request: float
    prompt_tokens_per_s: float
    # Token steps between two events of a stream.
    steps_per_event: int
    loads_per_s: float
    max_concurrent_loads: int
    formation_ms: float
    # How old the values of an endpoint's report are.
    report_lag_ms: float = 0

    def find_model(self, name: str) -> Model | None:
        """Return the model of a name, if it is configured."""
        for model in self.models:
            if model.name == name:
                return model
        return None


@attrs.frozen
class Service:
    """A service whose endpoints serve the same routes."""

    name: str
    health_path: str
    # Connections that an endpoint accepts from all nodes together.
    max_connections: int
    engine: Engine | None = None
    # How long an endpoint is cold after its start.
    cold_s: float = 0
    # Requests per second that a cold endpoint takes from all nodes together;
    # 0: no limit.
    cold_per_s: float = 0


@attrs.frozen
class Split:
    """Weight of one service in a route's traffic split."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Handling of the requests of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_ms: int
    goal_ms: int
    max_attempts: int
    # 0 is the most urgent.
    priority: int
    anonymous: bool
    resumable: bool
    # Longest gap between two events of a stream that is on time; 0: no goal.
    gap_goal_ms: int

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class ClientAccount:
    """The account that an API key belongs to."""

    name: str
    priority: int | None


@attrs.frozen
class RequestLimits:
    """Size and time limits for what callers send."""

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


DEFAULT_LIMITS = RequestLimits(
    # The values of the platform's example, used until a configuration is known.
    head_bytes=16_384,
    body_bytes=4_194_304,
    head_timeout_ms=3000,
    idle_timeout_ms=15_000,
)


@attrs.frozen(eq=False)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    # Store revision at which this version was read.
    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts_by_key: dict[str, ClientAccount]
    # Whether requests need an API key; not if no accounts are configured.
    needs_keys: bool
    limits: RequestLimits
    _by_host: dict[str, tuple[Route, ...]] = attrs.field(init=False)
    _has_several_accounts: bool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Sort each host's routes, the longest prefix first."""
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        sorted_hosts = {
            host: tuple(sorted(found, key=_prefix_length, reverse=True))
            for host, found in hosts.items()
        }
        object.__setattr__(self, '_by_host', sorted_hosts)
        names = {account.name for account in self.accounts_by_key.values()}
        object.__setattr__(self, '_has_several_accounts', len(names) > 1)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching prefix."""
        name = host.rsplit(':', 1)[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_engine(self, service: str) -> Engine | None:
        """Return the engine of a service, None for a plain service."""
        found = self.services.get(service)
        return found.engine if found else None

    def has_model(self, service: str, model: str) -> bool:
        """Return whether endpoints of a service may be given a model.

        A service without a list of models takes any name.
        """
        engine = self.find_engine(service)
        if engine is None or not engine.models:
            return True
        return engine.find_model(model) is not None

    def has_competing_accounts(self, service: str) -> bool:
        """Return whether client accounts compete for a service's slots."""
        if not self._has_several_accounts:
            return False
        return self.find_engine(service) is not None


def pick_service(route: Route, rng: random.Random) -> str:
    """Return one of the route's services, chosen randomly by weight."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return rng.choices(route.splits, weights)[0].service


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
