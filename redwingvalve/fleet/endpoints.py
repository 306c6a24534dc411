"""What an endpoint says of itself, and the replicas that endpoints form."""

import enum

import attrs


class MemberState(enum.Enum):
    """How far an endpoint is as a member of a replica."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@attrs.frozen
class Membership:
    """The replica that an endpoint belongs to, as the endpoint says."""

    replica: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self) -> tuple[str, int]:
        """Return name and epoch; both name one forming."""
        return self.replica, self.epoch


@attrs.frozen
class Endpoint:
    """One incarnation of a process that serves requests on its own VM."""

    endpoint_id: str
    # Unix milliseconds of the start: tells incarnations with one id apart.
    born_ms: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    # Fabric domain; empty for services without models.
    domain: str = ''
    # Models whose weights lie on the host, the newest last.
    staged: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    membership: Membership | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what tells this life from an earlier one of the same id."""
        return self.endpoint_id, self.born_ms


@attrs.frozen
class Replica:
    """Endpoints that name the same replica and epoch, in order of rank."""

    name: str
    epoch: int
    members: tuple[Endpoint, ...]

    @property
    def head(self) -> Endpoint | None:
        """Return the member that takes requests, if it is known."""
        first = self.members[0]
        assert first.membership is not None
        return first if first.membership.rank == 0 else None

    @property
    def key(self) -> tuple[str, int]:
        """Return name and epoch; both name one forming."""
        return self.name, self.epoch

    @property
    def model(self) -> str:
        """Return the model that this replica was formed for."""
        return model_of(self.name)

    @property
    def is_leaving(self) -> bool:
        """Return whether a member is about to leave."""
        return any(member.draining for member in self.members)


def replica_name(model: str, term: int, number: int) -> str:
    """Name a replica so that its model can be read back from the name."""
    return f'{model}.{term}.{number}'


def model_of(name: str) -> str:
    """Return the model in a replica's name."""
    return name.split('.', 1)[0]


def group_replicas(endpoints: list[Endpoint]) -> dict[str, list[Replica]]:
    """Return the replicas of each service, whole or not."""
    members: dict[tuple[str, str, int], list[Endpoint]] = {}
    for endpoint in endpoints:
        membership = endpoint.membership
        if membership is None:
            continue
        key = (endpoint.service, *membership.key)
        members.setdefault(key, []).append(endpoint)
    found: dict[str, list[Replica]] = {}
    for (service, name, epoch), group in members.items():
        group.sort(key=_rank)
        found.setdefault(service, []).append(Replica(name, epoch, tuple(group)))
    return found


def _rank(endpoint: Endpoint) -> int:
    assert endpoint.membership is not None
    return endpoint.membership.rank
