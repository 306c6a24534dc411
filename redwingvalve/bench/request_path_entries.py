"""Entries of the request-path bench: the decision modules put together.

Each entry has its own queue, routing, retries and ledger, as the daemon has,
and hears of the others only through late news.
"""

import math
import random
from collections import abc as collections_abc

import attrs
import xxhash

from redwingvalve.admission import baselines as admission_baselines
from redwingvalve.admission import capacity, fair_queue, messages, queue
from redwingvalve.bench import request_path_cases as cases
from redwingvalve.bench import request_path_replicas as replicas
from redwingvalve.core import invariants
from redwingvalve.declaration import schema
from redwingvalve.poison import suspect_table
from redwingvalve.retries import budget, decisions
from redwingvalve.routing import baselines as routing_baselines
from redwingvalve.routing import cache_summary, policy, scored
from redwingvalve.routing import messages as routing_messages

LONG_TOKENS = 1000.0
DEADLINE_S = 30.0
DATA_CENTRES = ('a', 'b', 'c')
DISTANCE_S = 0.001


@attrs.frozen
class Arrangement:
    """One way to decide; baselines differ from ours in one part."""

    name: str
    routing: str = 'scored'
    admission: str = 'fair'
    budgeted: bool = True
    ledger: bool = True


ARRANGEMENTS = (
    Arrangement('redwingvalve'),
    Arrangement('round robin', routing='round-robin'),
    Arrangement('least reported', routing='least-reported'),
    Arrangement('one global queue', admission='fifo'),
    Arrangement('no admission', admission='none'),
    Arrangement('unbudgeted retries', budgeted=False),
    Arrangement(
        'all plain',
        routing='round-robin',
        admission='none',
        budgeted=False,
        ledger=False,
    ),
)


def make_capacity(live_replicas: int) -> messages.Capacity:
    """Return one entry's part of the fleet."""
    deployment = schema.ModelDeployment(
        name='bench',
        model='bench',
        version='1',
        replicas=cases.REPLICAS,
        vms_per_replica=4,
        tokens_per_s_per_replica=replicas.TOKENS_PER_S,
        token_gap_target_s=replicas.GAP_TARGET_S,
    )
    return capacity.make_model_capacity(
        deployment, live_replicas, 1 / cases.ENTRIES
    )


def _make_routing(kind: str, home: str) -> policy.RoutingPolicy:
    if kind == 'round-robin':
        return routing_baselines.RoundRobin()
    if kind == 'least-reported':
        return routing_baselines.LeastReported()

    def distance_s(data_centre: str) -> float:
        return 0.0 if data_centre == home else DISTANCE_S

    return scored.make_routing_policy(distance_s)


def _make_queue(kind: str) -> queue.AdmissionQueue:
    usable = make_capacity(cases.REPLICAS)
    if kind == 'fifo':
        return admission_baselines.GlobalFifo(usable)
    if kind == 'none':
        return admission_baselines.NoAdmission(usable)
    return fair_queue.make_admission_queue(usable)


class EntryModel:
    """One entry in virtual time."""

    def __init__(
        self,
        number: int,
        arrangement: Arrangement,
        fleet: collections_abc.Mapping[str, replicas.ReplicaModel],
    ) -> None:
        """Start without load."""
        self.name = f'e{number}'
        self.number = number
        self.retries = 0
        self.arrangement = arrangement
        self._fleet = fleet
        self._home = DATA_CENTRES[number % len(DATA_CENTRES)]
        self._random = random.Random(number)
        self._jobs: dict[str, replicas.Job] = {}
        self._at: dict[str, str] = {}
        self._suspects: set[str] = set()
        self._parked: list[replicas.Job] = []
        self._names = tuple(f'e{one}' for one in range(cases.ENTRIES))
        self._dead: set[str] = set()
        self.queue = _make_queue(arrangement.admission)
        self.routing = _make_routing(arrangement.routing, self._home)
        self.asked = cache_summary.PrefixPopularity()
        self.ledger = suspect_table.make_suspect_table(self.name)
        self._budget: budget.RetryBudget = budget.make_retry_budget()
        if not arrangement.budgeted:
            self._budget = budget.UnboundedBudget()
        self._retries = decisions.make_retry_policy(self._budget)
        self.candidates_changed(0.0)

    def candidates_changed(self, now_s: float) -> None:
        """Take over which replicas are there, as evidence would say."""
        live = [one for one in self._fleet.values() if one.alive]
        self._dead = {one.name for one in self._fleet.values()} - {
            one.name for one in live
        }
        self.routing.replace_candidates(
            [
                routing_messages.Candidate(one.name, one.data_centre)
                for one in live
            ],
            now_s,
        )
        self.queue.resize(make_capacity(len(live)), now_s)
        self._own_share = suspect_table.trial_endpoints(
            self.name, self._names, [one.name for one in live]
        )

    def arrived(self, job: replicas.Job, now_s: float) -> None:
        """Decide on a new request."""
        if self.arrangement.ledger:
            home = suspect_table.home_entry(_digest(job), self._names)
            verdict = self.ledger.classify(_digest(job), home, now_s)
            if verdict in {
                suspect_table.Verdict.REFUSE,
                suspect_table.Verdict.WAIT,
            }:
                job.refused_s = now_s
                return
        self._jobs[job.request_id] = job
        decision = self.queue.offer(_request(job), now_s)
        if isinstance(decision, messages.Admitted):
            self._send(job, now_s, frozenset())
        elif isinstance(decision, messages.RefusedNow):
            self._refused(decision, now_s)

    def tick(self, now_s: float) -> None:
        """Refuse what is out of time and send what fits."""
        for refusal in self.queue.expired(now_s):
            self._refused(refusal, now_s)
        parked = tuple(self._parked)
        self._parked.clear()
        for job in parked:
            self._send(job, now_s, frozenset())
        ready = self.queue.next_ready(now_s)
        while ready is not None:
            self._send(self._jobs[ready.request_id], now_s, frozenset())
            ready = self.queue.next_ready(now_s)

    def first_token(self, job: replicas.Job, now_s: float) -> None:
        """Pass a first token on."""
        self.routing.first_token(job.request_id, now_s)
        self.queue.first_token(job.request_id, now_s)

    def finished(self, job: replicas.Job, now_s: float) -> None:
        """End a request that was answered in full."""
        invariants.require(
            math.isclose(job.delivered, job.output_tokens, abs_tol=1e-6),
            'delivered-once-and-whole',
            f'{job.request_id}: {job.delivered} of {job.output_tokens}',
        )
        self._budget.succeeded()
        self.routing.finished(job.request_id, now_s)
        self.queue.finished(job.request_id, _work(job), now_s)
        if job.request_id in self._suspects:
            self._suspects.discard(job.request_id)
            name = self._at[job.request_id]
            self.ledger.ended(_digest(job), name, now_s, whole=True)
        self._forget(job)

    def replica_died(
        self, name: str, lost: list[replicas.Job], now_s: float
    ) -> None:
        """Take a death in through the broken streams of this entry."""
        own = [job for job in lost if job.entry == self.number]
        self._dead.add(name)
        digests = frozenset(_digest(job) for job in own)
        if self.arrangement.ledger:
            self.ledger.record_failure(
                suspect_table.EndpointFailure(name, 1, digests), now_s
            )
        for job in own:
            self._suspects.discard(job.request_id)
            self.routing.finished(job.request_id, now_s)
            self._after_failure(job, name, now_s, surely_not_run=False)

    def _send(
        self, job: replicas.Job, now_s: float, excluded: frozenset[str]
    ) -> None:
        suspect = False
        if self.arrangement.ledger:
            verdict = self.ledger.classify_retry(_digest(job), now_s)
            if verdict == suspect_table.Verdict.REFUSE:
                self._fail(job, now_s)
                return
            if verdict == suspect_table.Verdict.WAIT:
                self._park_or_fail(job, now_s)
                return
            suspect = verdict == suspect_table.Verdict.ISOLATE
        if suspect:
            free = self.ledger.free_endpoints(self._own_share, now_s)
            excluded |= self._fleet.keys() - free
        request = self._route_request(job, excluded)
        chosen = self.routing.choose(request, now_s, self._permitted)
        if chosen is None or chosen.name in excluded:
            self._park_or_fail(job, now_s)
            return
        job.sends += 1
        if not self._fleet[chosen.name].alive:
            self._dead.add(chosen.name)
            self._after_failure(job, chosen.name, now_s, surely_not_run=True)
            return
        if suspect:
            self._suspects.add(job.request_id)
            self.ledger.started(_digest(job), chosen.name, now_s)
        self._at[job.request_id] = chosen.name
        self.routing.sent(request, chosen.name, now_s)
        self._fleet[chosen.name].accept(job)

    def _route_request(
        self, job: replicas.Job, excluded: frozenset[str]
    ) -> routing_messages.RouteRequest:
        prefixes: tuple[routing_messages.Prefix, ...] = ()
        if job.prefix:
            name = prefix_name(job.prefix)
            prefixes = (routing_messages.Prefix(name, job.prefix_tokens),)
            self.asked.record((name,))
        return routing_messages.RouteRequest(
            request_id=job.request_id,
            draw=self._random.getrandbits(64),
            prompt_tokens=job.prompt_tokens,
            output_tokens=self.queue.expected_tokens(_request(job)),
            prefixes=prefixes,
            excluded=excluded,
        )

    def _permitted(self, candidate: routing_messages.Candidate) -> bool:
        return candidate.name not in self._dead

    def _after_failure(
        self,
        job: replicas.Job,
        name: str,
        now_s: float,
        *,
        surely_not_run: bool,
    ) -> None:
        decision = self._retries.after_failure(
            decisions.FailedAttempt(
                idempotent=True,
                surely_not_run=surely_not_run,
                attempts=job.sends,
                delivered_tokens=int(job.delivered),
                deadline_s=job.arrived_s + DEADLINE_S,
            ),
            now_s,
        )
        if decision.step == decisions.NextStep.GIVE_UP:
            self._fail(job, now_s)
            return
        self.retries += 1
        if self.arrangement.ledger and not surely_not_run:
            self.ledger.reserve_trial(_digest(job), now_s)
        self._send(job, now_s, frozenset((name,)))

    def _park_or_fail(self, job: replicas.Job, now_s: float) -> None:
        # A suspect waits for an endpoint without another suspect.
        if now_s - job.arrived_s > DEADLINE_S:
            self._fail(job, now_s)
            return
        self._parked.append(job)

    def _fail(self, job: replicas.Job, now_s: float) -> None:
        job.failed_s = now_s
        self.ledger.abandon_trial(_digest(job), now_s)
        self.queue.finished(job.request_id, _work(job), now_s)
        self._forget(job)

    def _refused(self, refusal: messages.RefusedNow, now_s: float) -> None:
        job = self._jobs[refusal.request_id]
        job.refused_s = now_s
        self._forget(job)

    def _forget(self, job: replicas.Job) -> None:
        self._jobs.pop(job.request_id, None)
        self._at.pop(job.request_id, None)


def prefix_name(prefix: str) -> str:
    """Return the name that entries give a prefix."""
    return cache_summary.short_hash(xxhash.xxh64_hexdigest(prefix.encode()))


def _digest(job: replicas.Job) -> bytes:
    return b'poison!!' if job.poison else job.request_id.rjust(8).encode()


def _work(job: replicas.Job) -> float:
    fresh_prompt = max(job.prompt_tokens - job.prefix_tokens, 0.0)
    return job.delivered + fresh_prompt * _prefill_cost()


def _request(job: replicas.Job) -> messages.AdmissionRequest:
    kind = messages.JobKind.SHORT
    if job.max_tokens > LONG_TOKENS:
        kind = messages.JobKind.LONG
    fresh_prompt = max(job.prompt_tokens - job.prefix_tokens, 0.0)
    return messages.AdmissionRequest(
        request_id=job.request_id,
        account=job.account,
        estimated_tokens=job.max_tokens + fresh_prompt * _prefill_cost(),
        arrived_s=job.arrived_s,
        deadline_s=job.arrived_s + job.target_s,
        penalty=job.penalty,
        kind=kind,
    )


def _prefill_cost() -> float:
    return replicas.TOKENS_PER_S / replicas.PREFILL_TOKENS_PER_S
