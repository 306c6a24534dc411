"""How many spare VMs a fabric domain should keep, by the operator's prices.

Load pattern: VMs fail one by one, and a rack or switch takes several at once
now and then; each VM is back after the repair time. With too few spares a
replica is down until its own VM is repaired; each spare too many is paid for
and serves nobody.

Grounds: VMs out of use are Poisson distributed with mean failures x repair
time (the M/G/infinity queue, for which only the mean repair time matters). A
replica short of spares waits for a repair; with a spare it only waits for the
load, which is lost either way and so does not count. One more spare pays
while the downtime that it saves costs more than it does while it lies idle.
"""

import math

import attrs

from redwingvalve.declaration import schema

MOST_SPARES = 64
SECONDS_PER_DAY = 86400.0
SECONDS_PER_MINUTE = 60.0


@attrs.frozen
class FailureRates:
    """What fails; from the operator's records or the figures of the fleet.

    The defaults are 47 failing VMs and 650 restarts or replacements a day
    among 9,600, and a rack or switch in 45 days for a fleet of 150 domains,
    of which one loses rack_vms. A spare stands in for a restart as well.
    """

    vm_failures_per_day: float = 47 / 9600
    vm_restarts_per_day: float = 650 / 9600
    rack_failures_per_day: float = 1 / (45 * 150)
    rack_vms: int = 8
    repair_time_s: float = 600.0


@attrs.frozen
class Need:
    """The replicas of one deployment in a domain."""

    deployment: schema.ModelDeployment
    replicas: int

    def vms(self) -> int:
        """Return the VMs that the replicas are made of."""
        return self.replicas * self.deployment.vms_per_replica


@attrs.frozen
class Advice:
    """How many spares pay, and the price of a minute with and without."""

    spares: int
    price_per_minute: float
    price_without_per_minute: float


def advise(needs: tuple[Need, ...], rates: FailureRates) -> Advice:
    """Return the number of spares with the lowest price."""
    prices = [
        price_per_minute(needs, rates, spares)
        for spares in range(_most_useful(needs) + 1)
    ]
    best = min(range(len(prices)), key=prices.__getitem__)
    return Advice(best, prices[best], prices[0])


def price_per_minute(
    needs: tuple[Need, ...], rates: FailureRates, spares: int
) -> float:
    """Return what spares and downtime together cost in a minute.

    Broken replicas short of a spare are counted as one for each VM that is
    short, the dearest last, since healing serves the dearest first.
    """
    stranded = spares * _dearest_accelerators(needs)
    down = _expected_short(_vms(needs), rates, spares) * _cheapest(needs)
    return stranded + down


def _expected_short(vms: int, rates: FailureRates, spares: int) -> float:
    """Return the mean number of VMs out of use beyond the spares.

    Single failures make the Poisson part; a rack that is out takes rack_vms
    at once, for the share of time that racks are.
    """
    repair_days = rates.repair_time_s / SECONDS_PER_DAY
    outages_per_day = rates.vm_failures_per_day + rates.vm_restarts_per_day
    mean = vms * outages_per_day * repair_days
    rack_share = min(rates.rack_failures_per_day * repair_days, 1.0)
    single = _poisson_excess(mean, spares)
    with_rack = _poisson_excess(mean, spares - rates.rack_vms)
    return (1 - rack_share) * single + rack_share * with_rack


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


def _most_useful(needs: tuple[Need, ...]) -> int:
    return min(_vms(needs), MOST_SPARES)


def _vms(needs: tuple[Need, ...]) -> int:
    return sum(need.vms() for need in needs)


def _dearest_accelerators(needs: tuple[Need, ...]) -> float:
    """Return the stranded price of one spare VM a minute."""
    return max(
        (
            need.deployment.accelerators_per_vm
            * need.deployment.prices.stranded_per_accelerator_minute
            for need in needs
        ),
        default=0.0,
    )


def _cheapest(needs: tuple[Need, ...]) -> float:
    """Return the price of a minute of the replica that is healed last."""
    return min(
        (
            need.deployment.prices.downtime_per_replica_minute
            for need in needs
            if need.replicas
        ),
        default=0.0,
    )
