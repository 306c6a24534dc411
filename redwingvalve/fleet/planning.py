"""Which VMs load which model, and which of them form the next replica.

Load pattern: every few seconds VMs in use are lost for good, empty ones come,
and at times a whole fabric domain goes dark. A cold load takes over ten
seconds and a join of a VM that was in a replica of the same model a fifth of
one, so that each domain holds VMs for every model that fits it, and one over
for each model where it can: a lost VM is then replaced from its own domain.
"""

import collections
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.ingress import routes

# With fewer domains than this a dark one would take a model with it.
DOMAINS_PER_MODEL = 2
# A model with fewer VMs in whole replicas than this for each that it fills is
# short when a wave comes or a domain goes dark.
POOR_COVER = 1.2
# Covers that differ by less would send a spare to and fro between two models.
CLEARLY_MORE = 0.25
# The chance that a domain's replica loses a member within the time of a load,
# and is mended by the spare: two VMs of some forty are lost in 2.7 s.
FIRST_SPARE_SHARE = 0.5
# A model without a whole replica needs one before all others.
LEAST_COVER = 0.1

Domains: typing.TypeAlias = dict[str, list[endpoints.Endpoint]]


def group_by_domain(
    found: collections_abc.Iterable[endpoints.Endpoint],
) -> Domains:
    """Return endpoints by fabric domain, each in the order of their ids."""
    domains: Domains = {}
    for endpoint in sorted(found, key=_endpoint_id):
        domains.setdefault(endpoint.domain, []).append(endpoint)
    return domains


def assign_models(
    domains: Domains, models: tuple[routes.Model, ...]
) -> dict[str, str]:
    """Return a model for each empty endpoint of a fleet that starts.

    Where there are enough domains, each holds one model only: VMs of lost
    replicas are then spares for the others of their domain. Split evenly, ten
    VMs hold one replica of four with one spare, and two losses leave three
    VMs that no replica can use.
    """
    owed = dict.fromkeys((model.name for model in models), 0.0)
    if len(domains) < DOMAINS_PER_MODEL * len(models):
        return _deal_within(domains, models, owed)
    dealt: dict[str, str] = {}
    for name in sorted(domains):
        members = domains[name]
        _owe(owed, models, len(members))
        fitting = [one for one in models if one.size <= len(members)]
        if not fitting:
            continue
        chosen = _most_owed(fitting, owed)
        owed[chosen.name] -= len(members)
        for endpoint in members:
            dealt[endpoint.endpoint_id] = chosen.name
    return dealt


def _owe(
    owed: dict[str, float], models: tuple[routes.Model, ...], count: int
) -> None:
    for model in models:
        owed[model.name] += model.share * count


def _most_owed(
    models: list[routes.Model], owed: dict[str, float]
) -> routes.Model:
    def rank(model: routes.Model) -> tuple[float, int]:
        return owed[model.name], model.size

    return max(models, key=rank)


def _deal_within(
    domains: Domains, models: tuple[routes.Model, ...], owed: dict[str, float]
) -> dict[str, str]:
    dealt: dict[str, str] = {}
    largest_first = sorted(models, key=_size, reverse=True)
    for name in sorted(domains):
        free = list(domains[name])
        for model in largest_first:
            owed[model.name] += model.share * len(domains[name])
            count = _deal_count(owed[model.name], model, len(free), models)
            for endpoint in free[:count]:
                dealt[endpoint.endpoint_id] = model.name
            owed[model.name] -= count
            free = free[count:]
    return dealt


def _deal_count(
    owed: float,
    model: routes.Model,
    free: int,
    models: tuple[routes.Model, ...],
) -> int:
    if model.size == min(known.size for known in models):
        return free
    wanted = round(owed)
    if wanted < model.size:
        # Half a replica or more is owed: better one whole now.
        wanted = model.size if owed >= model.size / 2 else 0
    return wanted if wanted <= free else 0


@attrs.frozen
class ModelInventory:
    """How many VMs have or load each model, beside what it needs."""

    held: tuple[tuple[endpoints.Endpoint, str], ...]
    # By model; only their proportions count.
    needed_vms: dict[str, float]

    def cover(self, model: routes.Model) -> float:
        """Return the VMs in whole replicas for those that a model needs.

        What a domain has beyond its whole replicas serves nobody: with three
        domains of six VMs, half of a model's VMs would be counted in vain.
        """
        counts = collections.Counter(
            endpoint.domain
            for endpoint, name in self.held
            if name == model.name
        )
        whole = sum(count // model.size for count in counts.values())
        return whole * model.size / max(self.needed_vms[model.name], 0.01)

    def left_over(self, domain: str, model: routes.Model) -> int:
        """Return a domain's VMs of a model beyond its whole replicas."""
        return self._local(domain, model) % model.size

    def worth(self, domain: str, model: routes.Model) -> float:
        """Return what one more VM of a model is worth in a domain.

        It is a part of a replica, or the spare by which the domain's replicas
        outlive their next loss; either counts for as much as the model's cover
        is low.
        """
        missing = model.size - self.left_over(domain, model)
        share = 1 / missing
        if missing == model.size and self._local(domain, model):
            share = max(share, FIRST_SPARE_SHARE)
        return share / max(self.cover(model), LEAST_COVER)

    def _local(self, domain: str, model: routes.Model) -> int:
        return sum(
            1
            for other, name in self.held
            if name == model.name and other.domain == domain
        )


def model_to_load(
    endpoint: endpoints.Endpoint,
    stock: ModelInventory,
    models: tuple[routes.Model, ...],
) -> str:
    """Return the model that an empty VM should load."""
    return max(
        models, key=lambda model: stock.worth(endpoint.domain, model)
    ).name


def pick_spare_to_reload(
    spares: list[endpoints.Endpoint],
    stock: ModelInventory,
    models: tuple[routes.Model, ...],
) -> tuple[endpoints.Endpoint, str] | None:
    """Return a spare of a model that is well off, and what it should load.

    A load takes over ten seconds, so that it starts well before the poor model
    runs out, and only where the other one keeps a spare in the same domain.
    """
    covers = {model.name: stock.cover(model) for model in models}
    poor = min(models, key=lambda model: covers[model.name])
    if covers[poor.name] >= POOR_COVER:
        return None
    rich = {
        name
        for name, cover in covers.items()
        if cover >= covers[poor.name] + CLEARLY_MORE
    }
    found = [
        spare
        for spare in spares
        if spare.staged
        and spare.staged[-1] in rich
        and _has_twin(spare, spares)
    ]
    if not found:
        return None
    chosen = max(found, key=lambda spare: stock.worth(spare.domain, poor))
    return chosen, poor.name


def _has_twin(
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
    """Return members of one domain for a replica, those that join fastest.

    All of them have the model staged.
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
    """Loads from the weight store: so many a second and so many at once."""

    rate_per_s: float
    max_concurrent: int
    tokens: float = 0.0
    filled_s: float | None = None
    running_until_s: list[float] = attrs.field(factory=list)

    def try_acquire(self, now_s: float, load_s: float) -> bool:
        """Count one more load if it may begin now."""
        if self.filled_s is None:
            self.filled_s = now_s
        self.tokens += (now_s - self.filled_s) * self.rate_per_s
        # Saved tokens would let more begin within a second than allowed.
        self.tokens = min(self.tokens, self.rate_per_s / 2)
        self.filled_s = now_s
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
