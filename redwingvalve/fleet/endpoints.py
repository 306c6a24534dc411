"""Endpoints as they report themselves, and the replicas that they form."""

import enum

import attrs


class MemberState(enum.Enum):
    """State of an endpoint as a member of a replica."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@attrs.frozen
class Membership:
    """The replica that an endpoint reports to be a member of."""

    replica: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self) -> tuple[str, int]:
        """Return name and epoch, which together identify one formation."""
        return self.replica, self.epoch


@attrs.frozen
class Endpoint:
    """One incarnation of a process that serves requests on its own VM."""

    endpoint_id: str
    # Unix milliseconds of the start; tells incarnations of one id apart.
    born_ms: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    # Fabric domain; empty for services without models.
    domain: str = ''
    # Models whose weights are stored on the host, the newest last.
    staged: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    membership: Membership | None = None
    # How much longer it was cold when the entry was written.
    cold_left_ms: int = 0
    # Whether the entry has all the fields that a served model needs.
    has_model_fields: bool = True
    # Count of the changes that this incarnation has written.
    sequence: int = attrs.field(default=0, eq=False)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what tells this incarnation from others of the same id."""
        return self.endpoint_id, self.born_ms


@attrs.frozen
class Replica:
    """Endpoints that report the same replica and epoch, ordered by rank."""

    name: str
    epoch: int
    members: tuple[Endpoint, ...]

    @property
    def head(self) -> Endpoint | None:
        """Return the member that takes requests, or None if it is unknown."""
        first = self.members[0]
        assert first.membership is not None
        return first if first.membership.rank == 0 else None

    @property
    def key(self) -> tuple[str, int]:
        """Return name and epoch, which together identify one formation."""
        return self.name, self.epoch

    @property
    def model(self) -> str:
        """Return the model that this replica was formed for."""
        return model_of(self.name)

    @property
    def is_leaving(self) -> bool:
        """Return whether any member is draining."""
        return any(member.draining for member in self.members)


def replica_name(model: str, term: int, number: int) -> str:
    """Return a replica name from which the model can be read back."""
    return f'{model}.{term}.{number}'


def model_of(name: str) -> str:
    """Return the model in a replica's name."""
    return name.split('.', 1)[0]


def group_replicas(endpoints: list[Endpoint]) -> dict[str, list[Replica]]:
    """Return the replicas by service, complete or not."""
    members: dict[tuple[str, str, int], list[Endpoint]] = {}
    for endpoint in endpoints:
        membership = endpoint.membership
        if membership is None:
            continue
        key = (endpoint.service, *membership.key)
        members.setdefault(key, []).append(endpoint)
    replicas: dict[str, list[Replica]] = {}
    for (service, name, epoch), group in members.items():
        group.sort(key=_rank)
        replicas.setdefault(service, []).append(
            Replica(name, epoch, tuple(group))
        )
    return replicas


def _rank(endpoint: Endpoint) -> int:
    assert endpoint.membership is not None
    return endpoint.membership.rank
