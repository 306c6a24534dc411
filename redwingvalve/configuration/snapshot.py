"""The configuration in force, as the request path reads it."""

import abc

import attrs

from redwingvalve.declaration import schema


@attrs.frozen
class ReplicaMember:
    """A VM of a replica; address is host:port of its engine."""

    vm: str
    address: str


@attrs.frozen
class Replica:
    """A replica as its domain object describes it; members[0] is the head.

    serving is false while the replica is being formed and once it drains.
    """

    name: str
    deployment: str
    epoch: int
    fabric_domain: str
    data_centre: str
    region: str
    members: tuple[ReplicaMember, ...]
    serving: bool
    model: str = ''
    version: str = ''


@attrs.frozen
class Snapshot:
    """A consistent view; version only increases within a process."""

    version: int
    deployments: tuple[schema.ModelDeployment, ...] = ()
    services: tuple[schema.PlainService, ...] = ()
    client_accounts: tuple[schema.ClientAccount, ...] = ()
    replicas: tuple[Replica, ...] = ()


class ConfigurationSource(abc.ABC):
    """Provides the configuration in force."""

    @abc.abstractmethod
    def current(self) -> Snapshot:
        """Return the newest snapshot of this process."""
