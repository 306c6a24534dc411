"""Processor time of one decision: routing and admission."""

import itertools
import random
import time
from collections import abc as collections_abc

import attrs

from redwingvalve.admission import fair_queue
from redwingvalve.admission import messages as admission_messages
from redwingvalve.routing import messages, scored

CANDIDATE_COUNTS = (60, 480, 2400)
CHOICES = 10_000
WAITING = 1000
ADMISSIONS = 10_000
EXPIRIES = 1000
DATA_CENTRES = ('a', 'b', 'c')
DISTANCE_S = 0.001
PREFIXES = 50
ACCOUNTS = 10
MICROSECONDS = 1e6


@attrs.frozen
class Cost:
    """Microseconds of processor time for one decision."""

    decision: str
    size: int
    microseconds: float


def measure_costs(seed: int) -> tuple[Cost, ...]:
    """Return what decisions cost on this machine."""
    routing = [_routing_cost(count, seed) for count in CANDIDATE_COUNTS]
    return (*routing, *_admission_costs(seed))


def _routing_cost(count: int, seed: int) -> Cost:
    draw = random.Random(seed)
    policy = scored.make_routing_policy(_distance_s)
    policy.replace_candidates(
        [
            messages.Candidate(f'r{number}', DATA_CENTRES[number % 3])
            for number in range(count)
        ],
        0,
    )
    requests = [_route_request(number, draw) for number in range(2 * CHOICES)]
    # Each replica has work in flight, as it has under load.
    for request in itertools.islice(requests, CHOICES):
        chosen = policy.choose(request, 0)
        if chosen is not None:
            policy.sent(request, chosen.name, 0)
    begun_s = time.process_time()
    for timed in itertools.islice(requests, CHOICES, None):
        policy.choose(timed, 0)
    return _cost('choose an endpoint', count, begun_s, CHOICES)


def _admission_costs(seed: int) -> tuple[Cost, ...]:
    queue = fair_queue.make_admission_queue(
        admission_messages.Capacity(in_flight=100, tokens_per_s=2000)
    )
    requests = _admission_requests(4 * ADMISSIONS, seed)
    sent: list[str] = []
    while queue.waiting() < WAITING:
        _offer(queue, next(requests), sent)
    return (
        _offer_cost(queue, itertools.islice(requests, ADMISSIONS)),
        _cycle_cost(queue, itertools.islice(requests, ADMISSIONS), sent),
        _expiry_cost(queue),
    )


def _offer_cost(
    queue: fair_queue.FairQueue,
    requests: collections_abc.Iterable[admission_messages.AdmissionRequest],
) -> Cost:
    begun_s = time.process_time()
    for request in requests:
        queue.offer(request, 0)
        queue.withdraw(request.request_id)
    return _cost('offer and withdraw', WAITING, begun_s, ADMISSIONS)


def _cycle_cost(
    queue: fair_queue.FairQueue,
    requests: collections_abc.Iterable[admission_messages.AdmissionRequest],
    sent: list[str],
) -> Cost:
    begun_s = time.process_time()
    for request in requests:
        queue.finished(sent.pop(), 100, 0)
        ready = queue.next_ready(0)
        if ready is not None:
            sent.append(ready.request_id)
        _offer(queue, request, sent)
    return _cost('finish, send next, offer', WAITING, begun_s, ADMISSIONS)


def _expiry_cost(queue: fair_queue.FairQueue) -> Cost:
    begun_s = time.process_time()
    for _ in range(EXPIRIES):
        queue.expired(0)
    return _cost('look for expired', WAITING, begun_s, EXPIRIES)


def _admission_requests(
    count: int, seed: int
) -> collections_abc.Iterator[admission_messages.AdmissionRequest]:
    draw = random.Random(seed)
    return iter([_admission_request(number, draw) for number in range(count)])


def _offer(
    queue: fair_queue.FairQueue,
    request: admission_messages.AdmissionRequest,
    sent: list[str],
) -> None:
    decision = queue.offer(request, 0)
    if isinstance(decision, admission_messages.Admitted):
        sent.append(request.request_id)


def _route_request(number: int, draw: random.Random) -> messages.RouteRequest:
    return messages.RouteRequest(
        request_id=f'q{number}',
        draw=draw.getrandbits(64),
        prompt_tokens=500,
        output_tokens=200,
        prefixes=(
            messages.Prefix(f'long{number}', 400),
            messages.Prefix(f'short{number % PREFIXES}', 300),
        ),
    )


def _admission_request(
    number: int, draw: random.Random
) -> admission_messages.AdmissionRequest:
    return admission_messages.AdmissionRequest(
        request_id=f'q{number}',
        account=f'a{draw.randrange(ACCOUNTS)}',
        estimated_tokens=100,
        arrived_s=0,
        deadline_s=10_000,
        penalty=draw.random(),
        kind=admission_messages.JobKind(draw.randrange(3)),
    )


def _distance_s(data_centre: str) -> float:
    return 0 if data_centre == DATA_CENTRES[0] else DISTANCE_S


def _cost(decision: str, size: int, begun_s: float, count: int) -> Cost:
    spent_s = time.process_time() - begun_s
    return Cost(decision, size, spent_s / count * MICROSECONDS)


def format_costs(costs: collections_abc.Iterable[Cost]) -> list[str]:
    """Return a readable table."""
    lines = [f'{"decision":26} {"size":>6} {"us":>8}']
    lines.extend(
        f'{cost.decision:26} {cost.size:6} {cost.microseconds:8.1f}'
        for cost in costs
    )
    return lines
