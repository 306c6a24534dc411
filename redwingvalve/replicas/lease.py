"""The lease on a domain, timed by each process's own monotonic clock.

Load pattern: holders pause, clocks drift, the store becomes unavailable. Wall
clocks of different processes are never compared. A candidate acquires the lease
only after it has observed no renewal for a whole term, and a holder counts its
term from before it sent the renewal. Otherwise a holder that resumes after a
pause and the new holder could both send orders to the same VMs.

A term of 15 s with a renewal every 5 s tolerates two lost renewals, costs 12
writes a minute for each domain, and lets a domain heal 20 s after its
controller died. Quartz clocks drift by less than 1 in 1000; the lease allows
for 1 in 100.
"""

import attrs

from redwingvalve.replicas import domain as domain_module

TERM_S = 15.0
RENEW_INTERVAL_S = 5.0
MAX_CLOCK_DRIFT = 0.01
ORDER_TIMEOUT_S = 2.0
ORDER_IN_FLIGHT_S = 3.0
PAUSE_DETECTION_S = 2.0


@attrs.frozen
class Observation:
    """The lease as last read, and since when it has been unchanged."""

    lease: domain_module.Lease
    fencing_number: int
    since_s: float


@attrs.frozen
class HeldLease:
    """A lease that this process holds until until_s of its own clock.

    Endpoints that ignore fencing may be sent orders from
    unfenced_orders_from_s on.
    """

    fencing_number: int
    until_s: float
    unfenced_orders_from_s: float

    def remaining_s(self, now_s: float) -> float:
        """Return for how much longer orders may be in flight."""
        return self.until_s - now_s


def observe(
    before: Observation | None,
    domain: domain_module.FabricDomain,
    now_s: float,
) -> Observation:
    """Return the observation updated with a read at now_s."""
    unchanged = (
        before is not None
        and before.lease == domain.lease
        and before.fencing_number == domain.fencing_number
    )
    since_s = before.since_s if unchanged and before else now_s
    return Observation(domain.lease, domain.fencing_number, since_s)


def may_acquire(observation: Observation, now_s: float) -> bool:
    """Tell whether the lease is free or has expired by this clock."""
    if not observation.lease.holder:
        return True
    expires_after_s = observation.lease.term_s * (1 + MAX_CLOCK_DRIFT)
    return now_s - observation.since_s > expires_after_s


def acquired(
    domain: domain_module.FabricDomain, owner: str
) -> domain_module.FabricDomain:
    """Return the domain with a new holder and a higher fencing number."""
    return attrs.evolve(
        domain,
        lease=domain_module.Lease(owner, 0, TERM_S),
        fencing_number=domain.fencing_number + 1,
    )


def renewed(
    domain: domain_module.FabricDomain,
) -> domain_module.FabricDomain:
    """Return the domain with one more renewal."""
    lease = attrs.evolve(domain.lease, renewals=domain.lease.renewals + 1)
    return attrs.evolve(domain, lease=lease)


def released(
    domain: domain_module.FabricDomain,
) -> domain_module.FabricDomain:
    """Return the domain with the lease released."""
    return attrs.evolve(domain, lease=domain_module.Lease('', 0, TERM_S))


def held_lease_after(
    domain: domain_module.FabricDomain,
    request_sent_s: float,
    now_s: float,
    *,
    had_holder: bool,
) -> HeldLease:
    """Return the lease acquired by a write that was sent at request_sent_s.

    Orders of the previous holder may be in flight for ORDER_IN_FLIGHT_S after
    its term. Endpoints that ignore fencing would obey them after those of the
    new holder, so a lease that had a holder delays orders to such endpoints.
    """
    wait_s = ORDER_IN_FLIGHT_S * (1 + MAX_CLOCK_DRIFT) if had_holder else 0.0
    return HeldLease(
        domain.fencing_number, _until_s(domain, request_sent_s), now_s + wait_s
    )


def extended(
    held_lease: HeldLease,
    domain: domain_module.FabricDomain,
    request_sent_s: float,
) -> HeldLease:
    """Return the held lease after a renewal sent at request_sent_s."""
    return attrs.evolve(held_lease, until_s=_until_s(domain, request_sent_s))


def _until_s(
    domain: domain_module.FabricDomain, request_sent_s: float
) -> float:
    return request_sent_s + domain.lease.term_s * (1 - MAX_CLOCK_DRIFT)
