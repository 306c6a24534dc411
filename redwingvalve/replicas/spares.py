"""Computes how many spare VMs to keep in which domains.

The operator's prices of downtime and of idle accelerators decide.

Load pattern: VMs fail independently, now and then a rack or switch fails with
several VMs, and rarely a whole domain becomes unreachable. Each returns after
its own repair time. With too few spares a replica is down until the repair.
Each spare too many costs money and serves no requests.

A spare VM can only heal replicas of its own fabric domain. Enough free VMs in
one domain for a whole replica form a spare group: any domain may move a broken
replica to it. One group covers all domains, whereas one spare in each of six
domains costs half as much again. The VMs that the moved replica leaves behind
become the next group once the lost VM is back.

The number of VMs out of use is Poisson distributed with mean failure rate x
repair time (an M/G/infinity queue, for which only the mean repair time
matters). A replica without a spare waits for a repair. With a spare it waits
only for the load, which is needed in both cases and so does not count. One more
spare pays while it saves more in downtime than it costs while idle.
"""

import itertools
import math

import attrs

from redwingvalve.declaration import schema

MAX_SPARES = 64
SECONDS_PER_DAY = 86400.0
SECONDS_PER_MINUTE = 60.0

FailureRates = schema.FailureFigures


@attrs.frozen
class DeploymentDemand:
    """The replicas of one deployment in a domain."""

    deployment: schema.ModelDeployment
    replicas: int

    def vms(self) -> int:
        """Return the number of VMs in the replicas."""
        return self.replicas * self.deployment.vms_per_replica


DomainDemand = tuple[DeploymentDemand, ...]


@attrs.frozen
class Advice:
    """The cheapest number of spares, and the price with and without them."""

    spares: int
    price_per_minute: float
    price_without_per_minute: float


@attrs.frozen
class PoolAdvice:
    """Spare VMs for each domain, in the order in which domains were given."""

    spares: tuple[int, ...]
    price_per_minute: float
    price_without_per_minute: float


@attrs.frozen
class _Outage:
    """The share of time during which a domain is short of some replicas."""

    share: float
    replicas: int


def advise(demand: DomainDemand, failure_rates: FailureRates) -> Advice:
    """Return the number of spares with the lowest price for one domain."""
    prices = [
        price_per_minute(demand, failure_rates, spares)
        for spares in range(_max_useful_spares(demand) + 1)
    ]
    best = min(range(len(prices)), key=prices.__getitem__)
    return Advice(best, prices[best], prices[0])


def price_per_minute(
    demand: DomainDemand, failure_rates: FailureRates, spares: int
) -> float:
    """Return the price per minute of one domain that shares no spares."""
    return pool_price_per_minute((demand,), failure_rates, (spares,))


def advise_pool(
    domains: tuple[DomainDemand, ...], failure_rates: FailureRates
) -> PoolAdvice:
    """Return the layout of spares with the lowest price.

    The layouts compared have the same number of spares in every domain and in
    addition spare groups in the first domains. The price falls and then rises
    with the number of groups, so that search ends at the first rise.
    """
    best = _best_group_count(domains, failure_rates, 0)
    for spares in range(1, _group_vms(domains) + 1):
        found = _best_group_count(domains, failure_rates, spares)
        if found.price_per_minute < best.price_per_minute:
            best = found
    return best


def _best_group_count(
    domains: tuple[DomainDemand, ...], failure_rates: FailureRates, spares: int
) -> PoolAdvice:
    """Return the best layout with this many spares in every domain."""
    indexes = range(len(domains))
    group_vms = _group_vms(domains)
    without = pool_price_per_minute(domains, failure_rates, (0,) * len(domains))
    best = PoolAdvice((0,) * len(domains), without, without)
    for groups in range(len(domains) + 1):
        layout = tuple(
            spares + group_vms * (index < groups) for index in indexes
        )
        price = pool_price_per_minute(domains, failure_rates, layout)
        if price < best.price_per_minute:
            best = PoolAdvice(layout, price, without)
        elif groups:
            break
    return best


def pool_price_per_minute(
    domains: tuple[DomainDemand, ...],
    failure_rates: FailureRates,
    spares: tuple[int, ...],
) -> float:
    """Return the price per minute of idle spares and downtime together.

    Each VM for which there is no spare counts as one broken replica of the
    cheapest deployment, since the most expensive replicas are healed first.
    Spares of a domain that suffice for whole replicas count as spare groups,
    unless there is only one domain, which has no other to share them with.
    """
    stranded = sum(
        count * _idle_vm_price(demand)
        for demand, count in zip(domains, spares, strict=True)
    )
    min_downtime_price = min(
        (
            _min_downtime_price(demand)
            for demand in domains
            if _total_vms(demand)
        ),
        default=0.0,
    )
    return stranded + min_downtime_price * _expected_short(
        domains, failure_rates, spares
    )


def _expected_short(
    domains: tuple[DomainDemand, ...],
    failure_rates: FailureRates,
    spares: tuple[int, ...],
) -> float:
    """Return the mean number of replicas that must wait for a repair."""
    group_vms = _group_vms(domains)
    shared = len(domains) > 1
    groups = sum(count // group_vms for count in spares) if shared else 0
    mean = sum(
        _poisson_excess(_mean_vms_out(demand, failure_rates), count)
        for demand, count in zip(domains, spares, strict=True)
    )
    outages = [
        outage
        for demand, count in zip(domains, spares, strict=True)
        for outage in _correlated_outages(
            demand, failure_rates, count, group_vms
        )
    ]
    normal_share = 1 - min(sum(outage.share for outage in outages), 1.0)
    short = normal_share * _poisson_excess(mean, groups)
    return short + sum(
        outage.share * _poisson_excess(mean, groups - outage.replicas)
        for outage in outages
    )


def _mean_vms_out(demand: DomainDemand, failure_rates: FailureRates) -> float:
    """Return the mean number of VMs out of use by independent failures."""
    outages_per_day = (
        failure_rates.vm_failures_per_vm_day
        + failure_rates.vm_restarts_per_vm_day
    )
    repair_days = failure_rates.vm_repair_time_s / SECONDS_PER_DAY
    return _total_vms(demand) * outages_per_day * repair_days


def _correlated_outages(
    demand: DomainDemand,
    failure_rates: FailureRates,
    spares: int,
    group_vms: int,
) -> tuple[_Outage, _Outage]:
    """Return the outages by the loss of a rack and of the whole domain.

    After the loss of a rack, what is left of its replicas can be merged.
    """
    rack_outage_days = failure_rates.rack_repair_time_s / SECONDS_PER_DAY
    domain_outage_days = failure_rates.domain_repair_time_s / SECONDS_PER_DAY
    lost = min(failure_rates.rack_vms, _total_vms(demand))
    short = math.ceil(max(lost - spares, 0) / group_vms)
    replicas = sum(each.replicas for each in demand)
    return (
        _Outage(
            _total_vms(demand)
            * failure_rates.rack_failures_per_vm_day
            * rack_outage_days,
            short,
        ),
        _Outage(
            failure_rates.domain_failures_per_day * domain_outage_days, replicas
        ),
    )


def _group_vms(domains: tuple[DomainDemand, ...]) -> int:
    """Return the size of a spare group, which can hold any one replica."""
    return max(
        (
            each.deployment.vms_per_replica
            for each in itertools.chain.from_iterable(domains)
            if each.replicas
        ),
        default=1,
    )


def _poisson_excess(mean: float, spares: int) -> float:
    """Return the mean of max(out - spares, 0)."""
    if spares <= 0:
        return mean - spares
    excess = mean
    # E[max(N - s, 0)] = E[N] - sum over k < s of P(N > k).
    term = math.exp(-mean)
    below = 0.0
    for count in range(spares):
        below += term
        excess -= 1 - below
        term *= mean / (count + 1)
    return max(excess, 0.0)


def _max_useful_spares(demand: DomainDemand) -> int:
    return min(_total_vms(demand), MAX_SPARES)


def _total_vms(demand: DomainDemand) -> int:
    return sum(each.vms() for each in demand)


def _idle_vm_price(demand: DomainDemand) -> float:
    """Return the price per minute of one idle VM, at its most expensive."""
    return max(
        (
            each.deployment.accelerators_per_vm
            * each.deployment.prices.stranded_per_accelerator_minute
            for each in demand
        ),
        default=0.0,
    )


def _min_downtime_price(demand: DomainDemand) -> float:
    """Return the downtime price per minute of the replica healed last."""
    return min(
        (
            each.deployment.prices.downtime_per_replica_minute
            for each in demand
            if each.replicas
        ),
        default=0.0,
    )
