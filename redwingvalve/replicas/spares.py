"""How many spare VMs to keep, and where, by the operator's two prices.

Load pattern: VMs fail one by one, a rack or switch takes several at once now
and then, a domain goes dark; each is back after its own repair time. With too
few spares a replica is down until the repair; each spare too many is paid for
and serves nobody.

A spare VM heals its own fabric domain only. VMs for one whole replica, free
in one domain, are a set: any domain may move a broken replica into it, so
one set insures all domains, where one spare in each of six domains costs half
as much again. What the set's user leaves behind is the next set, once the lost
VM is back.

Grounds: VMs out of use are Poisson distributed with mean failures x repair
time (the M/G/infinity queue, for which only the mean repair time matters). A
replica short of spares waits for a repair; with a spare it only waits for the
load, which is lost either way and so does not count. One more spare pays
while the downtime that it saves costs more than it does while it lies idle.
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
        """Return the VMs that the replicas are made of."""
        return self.replicas * self.deployment.vms_per_replica


DomainDemand = tuple[DeploymentDemand, ...]


@attrs.frozen
class Advice:
    """How many spares pay, and the price of a minute with and without."""

    spares: int
    price_per_minute: float
    price_without_per_minute: float


@attrs.frozen
class PoolAdvice:
    """Spare VMs for each domain, in the order of the needs given."""

    spares: tuple[int, ...]
    price_per_minute: float
    price_without_per_minute: float


@attrs.frozen
class _Outage:
    """A share of time in which one domain is short of so many replicas."""

    share: float
    replicas: int


def advise(needs: DomainDemand, rates: FailureRates) -> Advice:
    """Return the number of spares with the lowest price for one domain."""
    prices = [
        price_per_minute(needs, rates, spares)
        for spares in range(_max_useful_spares(needs) + 1)
    ]
    best = min(range(len(prices)), key=prices.__getitem__)
    return Advice(best, prices[best], prices[0])


def price_per_minute(
    needs: DomainDemand, rates: FailureRates, spares: int
) -> float:
    """Return the price of a minute of one domain that shares no spares."""
    return pool_price_per_minute((needs,), rates, (spares,))


def advise_pool(
    domains: tuple[DomainDemand, ...], rates: FailureRates
) -> PoolAdvice:
    """Return the layout with the lowest price.

    Weighed are equal spares in every domain, and whole sets in the first
    domains beside them. The price of either falls and then rises, so that
    the search of each ends at the first rise.
    """
    best = _best_group_count(domains, rates, 0)
    for spares in range(1, _group_vms(domains) + 1):
        found = _best_group_count(domains, rates, spares)
        if found.price_per_minute < best.price_per_minute:
            best = found
    return best


def _best_group_count(
    domains: tuple[DomainDemand, ...], rates: FailureRates, spares: int
) -> PoolAdvice:
    """Return the best number of sets beside so many spares a domain."""
    places = range(len(domains))
    group_vms = _group_vms(domains)
    without = pool_price_per_minute(domains, rates, (0,) * len(domains))
    best = PoolAdvice((0,) * len(domains), without, without)
    for groups in range(len(domains) + 1):
        layout = tuple(
            spares + group_vms * (place < groups) for place in places
        )
        price = pool_price_per_minute(domains, rates, layout)
        if price < best.price_per_minute:
            best = PoolAdvice(layout, price, without)
        elif groups:
            break
    return best


def pool_price_per_minute(
    domains: tuple[DomainDemand, ...],
    rates: FailureRates,
    spares: tuple[int, ...],
) -> float:
    """Return what spares and downtime together cost in a minute.

    Broken replicas short of a spare are counted as one for each VM that is
    short, the cheapest last, since healing serves the dearest first. Sets are
    whatever of a domain's spares makes whole replicas; with one domain there
    is none to share them with.
    """
    stranded = sum(
        count * _idle_vm_price(needs)
        for needs, count in zip(domains, spares, strict=True)
    )
    min_downtime_price = min(
        (_min_downtime_price(needs) for needs in domains if _total_vms(needs)),
        default=0.0,
    )
    return stranded + min_downtime_price * _expected_short(
        domains, rates, spares
    )


def _expected_short(
    domains: tuple[DomainDemand, ...],
    rates: FailureRates,
    spares: tuple[int, ...],
) -> float:
    """Return the mean number of replicas that only a repair can bring back."""
    group_vms = _group_vms(domains)
    shared = len(domains) > 1
    groups = sum(count // group_vms for count in spares) if shared else 0
    mean = sum(
        _poisson_excess(_mean_vms_out(needs, rates), count)
        for needs, count in zip(domains, spares, strict=True)
    )
    outages = [
        outage
        for needs, count in zip(domains, spares, strict=True)
        for outage in _outages(needs, rates, count, group_vms)
    ]
    quiet = 1 - min(sum(outage.share for outage in outages), 1.0)
    short = quiet * _poisson_excess(mean, groups)
    return short + sum(
        outage.share * _poisson_excess(mean, groups - outage.replicas)
        for outage in outages
    )


def _mean_vms_out(needs: DomainDemand, rates: FailureRates) -> float:
    """Return the mean of VMs out of use one by one."""
    outages_per_day = (
        rates.vm_failures_per_vm_day + rates.vm_restarts_per_vm_day
    )
    repair_days = rates.vm_repair_time_s / SECONDS_PER_DAY
    return _total_vms(needs) * outages_per_day * repair_days


def _outages(
    needs: DomainDemand, rates: FailureRates, spares: int, group_vms: int
) -> tuple[_Outage, _Outage]:
    """Return the loss of a rack, whose remnants merge, and of the domain."""
    rack_days = rates.rack_repair_time_s / SECONDS_PER_DAY
    dark_days = rates.domain_repair_time_s / SECONDS_PER_DAY
    lost = min(rates.rack_vms, _total_vms(needs))
    short = math.ceil(max(lost - spares, 0) / group_vms)
    replicas = sum(need.replicas for need in needs)
    return (
        _Outage(
            _total_vms(needs) * rates.rack_failures_per_vm_day * rack_days,
            short,
        ),
        _Outage(rates.domain_failures_per_day * dark_days, replicas),
    )


def _group_vms(domains: tuple[DomainDemand, ...]) -> int:
    """Return the VMs that hold any one replica."""
    return max(
        (
            need.deployment.vms_per_replica
            for need in itertools.chain.from_iterable(domains)
            if need.replicas
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


def _max_useful_spares(needs: DomainDemand) -> int:
    return min(_total_vms(needs), MAX_SPARES)


def _total_vms(needs: DomainDemand) -> int:
    return sum(need.vms() for need in needs)


def _idle_vm_price(needs: DomainDemand) -> float:
    """Return the stranded price of one spare VM a minute."""
    return max(
        (
            need.deployment.accelerators_per_vm
            * need.deployment.prices.stranded_per_accelerator_minute
            for need in needs
        ),
        default=0.0,
    )


def _min_downtime_price(needs: DomainDemand) -> float:
    """Return the price of a minute of the replica that is healed last."""
    return min(
        (
            need.deployment.prices.downtime_per_replica_minute
            for need in needs
            if need.replicas
        ),
        default=0.0,
    )
