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
    """A replica as its domain object names it; members[0] is the head.

    serving is false while it forms and from the moment it drains.
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
    """One consistent view; version only ever rises within a process."""

    version: int
    deployments: tuple[schema.ModelDeployment, ...] = ()
    services: tuple[schema.PlainService, ...] = ()
    client_accounts: tuple[schema.ClientAccount, ...] = ()
    replicas: tuple[Replica, ...] = ()


class ConfigurationSource(abc.ABC):
    """Where a process finds the configuration in force."""

    @abc.abstractmethod
    def current(self) -> Snapshot:
        """Return the newest snapshot this process knows."""
