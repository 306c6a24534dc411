"""Selects the replica of an attempt with the policies of routing."""

import random

from opentelemetry import trace

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock, invariants
from redwingvalve.entry import model_request
from redwingvalve.evidence import permits
from redwingvalve.membership import members
from redwingvalve.platform_api import prefix_hashes
from redwingvalve.routing import cache_summary, policy, scored
from redwingvalve.routing import messages as routing_messages

# Used in place of measured delays. Another region is so far that requests are
# sent there only if the local region has no capacity.
SAME_REGION_DELAY_S = 0.001
OTHER_REGION_DELAY_S = 0.05
# Lengths, in blocks of an engine's cache, of the prompt prefixes to look up.
# Prompts share prefixes: common instructions come first, then the case.
PREFIX_BLOCKS = (2, 8, 32)
CHARACTERS_PER_TOKEN = 4
DRAW_BITS = 64


class ReplicaSelector:
    """Keeps one routing policy per deployment, updated by configuration."""

    def __init__(
        self,
        source: snapshot.ConfigurationSource,
        serving_permits: permits.ServingPermits,
        local_member: members.Member,
        time_source: clock.Clock,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Select replicas of source that serving_permits permits."""
        self._source = source
        self._permits = serving_permits
        self._local_member = local_member
        self._clock = time_source
        self._switches = switches
        self._rng = random.Random(
            f'{local_member.name}-{local_member.incarnation}'
        )
        self._version = -1
        self._replicas: dict[str, snapshot.Replica] = {}
        self._policies: dict[str, policy.RoutingPolicy] = {}
        self._regions: dict[str, str] = {}
        self.prefix_popularity = cache_summary.PrefixPopularity()

    def routing(self, deployment: str) -> policy.RoutingPolicy:
        """Return a deployment's policy for the current configuration."""
        self._refresh()
        if deployment not in self._policies:
            self._policies[deployment] = self._make_policy(deployment)
        return self._policies[deployment]

    def route_request(
        self,
        request: model_request.ModelRequest,
        send_id: str,
        excluded: frozenset[str],
        delivered_tokens: int,
    ) -> routing_messages.RouteRequest:
        """Return the routing request of one attempt."""
        text = prefix_hashes.prompt_text(request.prompt)
        prefixes = _prefixes(text)
        self.prefix_popularity.record(prefix.prefix_hash for prefix in prefixes)
        return routing_messages.RouteRequest(
            request_id=send_id,
            draw=self._rng.getrandbits(DRAW_BITS),
            prompt_tokens=len(text) / CHARACTERS_PER_TOKEN + delivered_tokens,
            output_tokens=max(request.max_tokens - delivered_tokens, 1),
            prefixes=prefixes,
            excluded=excluded,
        )

    def choose(
        self,
        request: model_request.ModelRequest,
        route: routing_messages.RouteRequest,
        span: trace.Span,
        only: frozenset[str] | None = None,
    ) -> snapshot.Replica | None:
        """Return a replica that may get the attempt now, or None."""
        now_s = self._clock.monotonic_s()

        def permitted(candidate: routing_messages.Candidate) -> bool:
            if only is not None and candidate.name not in only:
                return False
            return self.may_serve(self._replicas[candidate.name], now_s)

        chosen = self.routing(request.deployment.name).choose(
            route, now_s, permitted
        )
        if chosen is None:
            span.add_event('no replica may serve')
            return None
        span.add_event(
            'replica chosen',
            {'replica': chosen.name, 'excluded': sorted(route.excluded)},
        )
        return self._replicas[chosen.name]

    def has_other(self, deployment: str, excluded: frozenset[str]) -> bool:
        """Return whether a replica outside excluded may get work now."""
        self._refresh()
        now_s = self._clock.monotonic_s()
        return any(
            replica.deployment == deployment
            and replica.name not in excluded
            and self.may_serve(replica, now_s)
            for replica in self._replicas.values()
        )

    def may_serve(self, replica: snapshot.Replica, now_s: float) -> bool:
        """Return whether a replica may get new work."""
        if not replica.serving and self._leaving_excluded():
            return False
        if not self._switches.enabled(invariants.Safeguard.EVIDENCE_REQUIRED):
            return True
        return self._permits.permitted(replica, now_s)

    def replicas_of_other_versions(
        self, first_replica: snapshot.Replica | None
    ) -> frozenset[str]:
        """Return the replicas that may not continue an answer.

        During a rolling update two model versions serve at the same time. An
        answer started by one and continued by the other would belong to
        neither, and the caller could not detect it.
        """
        if first_replica is None:
            return frozenset()
        weights = (first_replica.model, first_replica.version)
        return frozenset(
            name
            for name, replica in self._replicas.items()
            if (replica.model, replica.version) != weights
        )

    def serving(self, deployment: str) -> tuple[str, ...]:
        """Return the names of the replicas that may get new work."""
        self._refresh()
        now_s = self._clock.monotonic_s()
        return tuple(
            name
            for name, replica in self._replicas.items()
            if replica.deployment == deployment
            and self.may_serve(replica, now_s)
        )

    def _leaving_excluded(self) -> bool:
        return self._switches.enabled(invariants.Safeguard.LEAVING_EXCLUDED)

    def _refresh(self) -> None:
        current = self._source.current()
        if current.version == self._version:
            return
        self._version = current.version
        self._replicas = {replica.name: replica for replica in current.replicas}
        self._regions = {
            replica.data_centre: replica.region for replica in current.replicas
        }
        for deployment in self._policies:
            self._replace_candidates(deployment)

    def _make_policy(self, deployment: str) -> policy.RoutingPolicy:
        routing_policy = scored.make_routing_policy(self._distance_s)
        self._policies[deployment] = routing_policy
        self._replace_candidates(deployment)
        return routing_policy

    def _replace_candidates(self, deployment: str) -> None:
        tokens_per_s = {
            declared.name: declared.tokens_per_s_per_replica
            for declared in self._source.current().deployments
        }
        self._policies[deployment].replace_candidates(
            tuple(
                routing_messages.Candidate(
                    name=replica.name,
                    data_centre=replica.data_centre,
                    epoch=replica.epoch,
                    tokens_per_s=tokens_per_s.get(deployment, 1.0),
                )
                for replica in self._replicas.values()
                if replica.deployment == deployment
                and (replica.serving or not self._leaving_excluded())
            ),
            self._clock.monotonic_s(),
        )

    def _distance_s(self, data_centre: str) -> float:
        if data_centre == self._local_member.data_centre:
            return 0.0
        if self._regions.get(data_centre) == self._local_member.region:
            return SAME_REGION_DELAY_S
        return OTHER_REGION_DELAY_S


def _prefixes(text: str) -> tuple[routing_messages.Prefix, ...]:
    """Return the prefixes to look up, the longest first."""
    hashes = prefix_hashes.prefix_hashes(text, PREFIX_BLOCKS)
    lookups = zip(hashes, PREFIX_BLOCKS, strict=False)
    return tuple(
        routing_messages.Prefix(
            cache_summary.short_hash(prefix_hash),
            blocks * prefix_hashes.BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN,
        )
        for prefix_hash, blocks in reversed(tuple(lookups))
    )
