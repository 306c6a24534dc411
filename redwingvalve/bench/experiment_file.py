"""An experiment as a YAML file: fleet, load, faults, policies and seeds."""

import typing

import attrs
from expression import Error, Ok, Result

from redwingvalve.bench import experiment_policies
from redwingvalve.core import findings
from redwingvalve.documents import binder
from redwingvalve.soak import schedule, workload

FAULT_NAMES = tuple(map(str, schedule.FaultName))
KINDS = tuple(map(str, workload.Kind))
Named = tuple[str, tuple[str, ...], tuple[str | int, ...]]


@attrs.frozen
class Domain:
    """A fabric domain with so many VMs."""

    name: str
    data_centre: str
    vms: int


@attrs.frozen
class Fleet:
    """What serves; speeds are those of the stand-ins."""

    domains: tuple[Domain, ...]
    replicas: int
    floor_replicas: int = 0
    vms_per_replica: int = 4
    load_time_s: float = 0.5
    step_s: float = 0.02
    token_budget: int = 512
    kv_capacity_tokens: int = 65_536
    loads_per_s: float = 4.0
    downtime_per_replica_minute: float = 1.0
    stranded_per_accelerator_minute: float = 0.05


@attrs.frozen
class Account:
    """An account's load: Poisson arrivals, kinds by share.

    in target means whole and, for streams, a first token within
    first_token_target_s; for other kinds a whole answer within it.
    """

    name: str
    requests_per_s: float
    kinds: dict[str, float]
    priority: int = 5
    weight: float = 1.0
    penalty_per_missed_request: float = 1.0
    first_token_target_s: float = 1.7


@attrs.frozen
class Burst:
    """An account's rate times factor between two moments."""

    account: str
    from_s: float
    to_s: float
    factor: float


@attrs.frozen
class FaultEntry:
    """A fault of the soak run's list at its moment."""

    name: str
    at_s: float
    where: float = 0.0
    duration_s: float = 5.0


@attrs.frozen
class Experiment:
    """The whole file."""

    name: str
    duration_s: float
    fleet: Fleet
    accounts: tuple[Account, ...]
    policies: tuple[str, ...]
    seeds: tuple[int, ...] = (1,)
    repetitions: int = 1
    loads: tuple[float, ...] = (1.0,)
    bursts: tuple[Burst, ...] = ()
    faults: tuple[FaultEntry, ...] = ()


def read_text(
    text: str, file_name: str
) -> Result[Experiment, findings.Findings]:
    """Return the experiment, or every finding with its place."""
    bound = binder.bind_text(text, file_name, Experiment)
    if bound.is_error():
        return Error(bound.error)
    found = list(_check(bound.ok))
    if found:
        return Error(findings.Findings(tuple(found)))
    return Ok(bound.ok.content)


def _check(
    bound: binder.BoundDocument[Experiment],
) -> list[findings.Finding]:
    return [
        findings.Finding(
            bound.locations.locate(*path), f'{name!r} is not known'
        )
        for name, known, path in _named(bound.content)
        if name not in known
    ]


def _named(content: Experiment) -> typing.Iterator[Named]:
    """Yield every name that the file uses, with the names that exist."""
    for place, policy in enumerate(content.policies):
        yield policy, experiment_policies.NAMES, ('policies', place)
    for place, fault in enumerate(content.faults):
        yield fault.name, FAULT_NAMES, ('faults', place, 'name')
    accounts = tuple(account.name for account in content.accounts)
    for place, burst in enumerate(content.bursts):
        yield burst.account, accounts, ('bursts', place, 'account')
    for place, account in enumerate(content.accounts):
        for kind in account.kinds:
            yield kind, KINDS, ('accounts', place, 'kinds')
