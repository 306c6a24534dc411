"""The declaration as attrs classes; field names have their unit.

Prices are in the operator's own currency. Decisions depend only on their
ratios (see docs/design/0010-replicas.md).
"""

import enum

import attrs


class EndpointTrust(enum.StrEnum):
    """Whether an endpoint refuses an order with an old fencing number."""

    REFUSES_OLD_ORDERS = 'refuses-old-orders'
    IGNORES_FENCING = 'ignores-fencing'


@attrs.frozen
class Prices:
    """The cost of a minute of downtime or of stranded accelerators."""

    downtime_per_replica_minute: float = 1.0
    stranded_per_accelerator_minute: float = 0.05


@attrs.frozen
class ModelDeployment:
    """A model served by replicas that span several VMs of one domain.

    If no domain has VMs free for one more replica, a change of model, version
    or adapters waits. With accepts_change_in_place, replicas above the floor
    are drained instead, before new ones are formed.
    """

    name: str
    model: str
    version: str
    replicas: int
    vms_per_replica: int
    accelerators_per_vm: int = 1
    floor_replicas: int = 0
    accepts_change_in_place: bool = False
    adapters: tuple[str, ...] = ()
    tokens_per_s_per_replica: float = 2000.0
    max_batch_tokens: int = 8192
    load_time_s: float = 60.0
    first_token_target_s: float = 1.7
    token_gap_target_s: float = 0.06
    endpoint_trust: EndpointTrust = EndpointTrust.REFUSES_OLD_ORDERS
    data_centres: tuple[str, ...] = ()
    prices: Prices = attrs.field(factory=Prices)


@attrs.frozen
class PlainService:
    """A plain service besides the model engines, routed by path."""

    name: str
    path_prefix: str
    addresses: tuple[str, ...]
    non_idempotent_paths: tuple[str, ...] = ()
    timeout_s: float = 10.0
    max_in_flight_per_address: int = 64


@attrs.frozen
class ClientAccount:
    """A caller's account: deployments, priority, limits and penalty."""

    name: str
    credential_sha256: str
    priority: int
    weight: float = 1.0
    tokens_per_s: float = 0.0
    requests_per_s: float = 0.0
    penalty_per_missed_request: float = 0.0
    first_token_target_s: float = 0.0
    deployments: tuple[str, ...] = ()


@attrs.frozen
class FailureFigures:
    """Failure rates and repair times, from operational records.

    The defaults are those of a fleet of 9,600 VMs, scaled to one VM: 47 VMs
    fail and 650 are restarted or replaced a day, a rack or switch fails every
    45 days, and each of 13 data centres fails every nine years. A restart
    takes ten minutes. That a rack is down for four hours and a failed domain
    for half an hour are assumptions, for operators to replace with their own.
    """

    vm_failures_per_vm_day: float = 47 / 9600
    vm_restarts_per_vm_day: float = 650 / 9600
    rack_failures_per_vm_day: float = 1 / (45 * 9600)
    domain_failures_per_day: float = 1.5 / (365 * 13)
    rack_vms: int = 8
    vm_repair_time_s: float = 600.0
    rack_repair_time_s: float = 14400.0
    domain_repair_time_s: float = 1800.0


@attrs.frozen
class Declaration:
    """The complete desired state of an operator, never a difference."""

    operator: str
    deployments: tuple[ModelDeployment, ...] = ()
    services: tuple[PlainService, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()
    failures: FailureFigures = attrs.field(factory=FailureFigures)
