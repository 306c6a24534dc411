"""Decides which VMs load which model, and which of them form a replica.

Load pattern: every few seconds VMs in use are lost for good and empty ones
arrive, and at times a whole fabric domain fails. A cold load takes over ten
seconds, and a join of a VM that was in a replica of the same model a fifth of
a second. So each domain holds VMs for every model that fits it, and one spare
for each model where it can: a lost VM is then replaced from its own domain.
"""

import collections
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.ingress import routes

# With fewer domains than this, a failed domain would take a model down.
DOMAINS_PER_MODEL = 2
# A model with less coverage runs short when a burst arrives or a domain fails.
LOW_COVERAGE = 1.2
# With a smaller difference, a spare would move back and forth between models.
COVERAGE_MARGIN = 0.25
# Probability that a replica of the domain loses a member within the time of a
# load and is repaired with the spare: of about forty VMs two are lost in 2.7 s.
FIRST_SPARE_VALUE = 0.5
# Lower bound, so that a model without a complete replica comes first.
MIN_COVERAGE = 0.1

Domains: typing.TypeAlias = dict[str, list[endpoints.Endpoint]]


def group_by_domain(
    found: collections_abc.Iterable[endpoints.Endpoint],
) -> Domains:
    """Return endpoints by fabric domain, each list ordered by id."""
    domains: Domains = {}
    for endpoint in sorted(found, key=_endpoint_id):
        domains.setdefault(endpoint.domain, []).append(endpoint)
    return domains


def assign_models(
    domains: Domains, models: tuple[routes.Model, ...]
) -> dict[str, str]:
    """Return a model for each empty endpoint of a fleet that starts.

    With enough domains, each domain holds a single model, so that VMs of lost
    replicas become spares for the other replicas of their domain. If every
    domain were split evenly, ten VMs would hold one replica of four with one
    spare, and two losses would leave three VMs that no replica can use.
    """
    deficits = dict.fromkeys((model.name for model in models), 0.0)
    if len(domains) < DOMAINS_PER_MODEL * len(models):
        return _assign_within_domains(domains, models, deficits)
    assigned: dict[str, str] = {}
    for name in sorted(domains):
        members = domains[name]
        _add_shares(deficits, models, len(members))
        fitting = [one for one in models if one.size <= len(members)]
        if not fitting:
            continue
        chosen = _largest_deficit(fitting, deficits)
        deficits[chosen.name] -= len(members)
        for endpoint in members:
            assigned[endpoint.endpoint_id] = chosen.name
    return assigned


def _add_shares(
    deficits: dict[str, float], models: tuple[routes.Model, ...], count: int
) -> None:
    """Add each model's share of count VMs to its deficit."""
    for model in models:
        deficits[model.name] += model.share * count


def _largest_deficit(
    models: list[routes.Model], deficits: dict[str, float]
) -> routes.Model:
    def rank(model: routes.Model) -> tuple[float, int]:
        return deficits[model.name], model.size

    return max(models, key=rank)


def _assign_within_domains(
    domains: Domains,
    models: tuple[routes.Model, ...],
    deficits: dict[str, float],
) -> dict[str, str]:
    """Split each domain between the models, the largest model first."""
    assigned: dict[str, str] = {}
    largest_first = sorted(models, key=_size, reverse=True)
    for name in sorted(domains):
        free = list(domains[name])
        for model in largest_first:
            deficits[model.name] += model.share * len(domains[name])
            count = _count_to_assign(
                deficits[model.name], model, len(free), models
            )
            for endpoint in free[:count]:
                assigned[endpoint.endpoint_id] = model.name
            deficits[model.name] -= count
            free = free[count:]
    return assigned


def _count_to_assign(
    deficit: float,
    model: routes.Model,
    free: int,
    models: tuple[routes.Model, ...],
) -> int:
    if model.size == min(known.size for known in models):
        return free
    wanted = round(deficit)
    if wanted < model.size:
        # Rounds up to a complete replica from half a replica on.
        wanted = model.size if deficit >= model.size / 2 else 0
    return wanted if wanted <= free else 0


@attrs.frozen
class ModelInventory:
    """The VMs that hold or load each model, and the VMs that each needs."""

    held: tuple[tuple[endpoints.Endpoint, str], ...]
    # By model; only the proportions are meaningful.
    needed_vms: dict[str, float]

    def coverage(self, model: routes.Model) -> float:
        """Return the VMs in complete replicas per VM that a model needs.

        VMs of a domain beyond its complete replicas serve no requests. In
        three domains of six VMs each, counting all VMs would overstate the
        supply of a model by half.
        """
        counts = collections.Counter(
            endpoint.domain
            for endpoint, name in self.held
            if name == model.name
        )
        whole = sum(count // model.size for count in counts.values())
        return whole * model.size / max(self.needed_vms[model.name], 0.01)

    def leftover_vms(self, domain: str, model: routes.Model) -> int:
        """Return a domain's VMs of a model beyond its complete replicas."""
        return self._count_in_domain(domain, model) % model.size

    def marginal_value(self, domain: str, model: routes.Model) -> float:
        """Return the value of one more VM of a model in a domain.

        The VM is a part of the next replica, or the spare with which the
        domain's replicas survive their next loss. Either counts for more the
        lower the coverage of the model is.
        """
        missing = model.size - self.leftover_vms(domain, model)
        share = 1 / missing
        if missing == model.size and self._count_in_domain(domain, model):
            share = max(share, FIRST_SPARE_VALUE)
        return share / max(self.coverage(model), MIN_COVERAGE)

    def _count_in_domain(self, domain: str, model: routes.Model) -> int:
        return sum(
            1
            for other, name in self.held
            if name == model.name and other.domain == domain
        )


def model_to_load(
    endpoint: endpoints.Endpoint,
    inventory: ModelInventory,
    models: tuple[routes.Model, ...],
) -> str:
    """Return the model that an empty VM should load."""
    return max(
        models,
        key=lambda model: inventory.marginal_value(endpoint.domain, model),
    ).name


def pick_spare_to_reload(
    spares: list[endpoints.Endpoint],
    inventory: ModelInventory,
    models: tuple[routes.Model, ...],
) -> tuple[endpoints.Endpoint, str] | None:
    """Return a spare of a well-covered model, and the model it should load.

    A load takes over ten seconds, so it starts well before the scarcest model
    runs out of slots, and only where the other model keeps a spare in the same
    domain.
    """
    coverages = {model.name: inventory.coverage(model) for model in models}
    scarcest = min(models, key=lambda model: coverages[model.name])
    if coverages[scarcest.name] >= LOW_COVERAGE:
        return None
    well_covered = {
        name
        for name, coverage in coverages.items()
        if coverage >= coverages[scarcest.name] + COVERAGE_MARGIN
    }
    candidates = [
        spare
        for spare in spares
        if spare.staged
        and spare.staged[-1] in well_covered
        and _has_other_spare(spare, spares)
    ]
    if not candidates:
        return None
    chosen = max(
        candidates,
        key=lambda spare: inventory.marginal_value(spare.domain, scarcest),
    )
    return chosen, scarcest.name


def _has_other_spare(
    spare: endpoints.Endpoint, spares: list[endpoints.Endpoint]
) -> bool:
    return any(
        other.domain == spare.domain and other.staged == spare.staged
        for other in spares
        if other is not spare
    )


def pick_members(
    free: list[endpoints.Endpoint],
    model: routes.Model,
    is_warm: typing.Callable[[endpoints.Endpoint], bool],
) -> tuple[endpoints.Endpoint, ...] | None:
    """Return the members of one domain that form a replica fastest.

    All endpoints in free have the model staged.
    """
    best: tuple[endpoints.Endpoint, ...] | None = None
    best_cold = 0
    for members in group_by_domain(free).values():
        if len(members) < model.size:
            continue
        warm_first = [one for one in members if is_warm(one)]
        rest = [one for one in members if not is_warm(one)]
        picked = (*warm_first, *rest)[: model.size]
        cold = max(0, model.size - len(warm_first))
        if best is None or cold < best_cold:
            best = picked
            best_cold = cold
    return best


@attrs.define
class LoadLimiter:
    """Limits the rate and the concurrency of loads from the weight store."""

    rate_per_s: float
    max_concurrent: int
    tokens: float = 0.0
    refilled_at_s: float | None = None
    running_until_s: list[float] = attrs.field(factory=list)

    def try_acquire(self, now_s: float, load_s: float) -> bool:
        """Return whether one more load may start now, and count it."""
        if self.refilled_at_s is None:
            self.refilled_at_s = now_s
        self.tokens += (now_s - self.refilled_at_s) * self.rate_per_s
        # With more saved tokens, a burst would exceed the rate in one second.
        self.tokens = min(self.tokens, self.rate_per_s / 2)
        self.refilled_at_s = now_s
        self.running_until_s = [
            until_s for until_s in self.running_until_s if until_s > now_s
        ]
        if self.tokens < 1 or len(self.running_until_s) >= self.max_concurrent:
            return False
        self.tokens -= 1
        self.running_until_s.append(now_s + load_s)
        return True


def _endpoint_id(endpoint: endpoints.Endpoint) -> str:
    return endpoint.endpoint_id


def _size(model: routes.Model) -> int:
    return model.size
