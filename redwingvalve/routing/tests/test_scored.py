import collections
import random

from redwingvalve.routing import messages, scored

DISTANCES = {'near': 0.0, 'far': 0.001}


def make_policy(count=12, data_centre='near', **more):
    policy = scored.make_routing_policy(DISTANCES.get)
    candidates = [
        messages.Candidate(f'{data_centre}{n}', data_centre, **more)
        for n in range(count)
    ]
    policy.replace_candidates(candidates, 0.0)
    return policy


class Caller:
    def __init__(self, policy):
        self.policy = policy
        self.rng = random.Random(7)
        self.number = 0

    def send(self, now_s=0.0, **more):
        self.number += 1
        draw = self.rng.getrandbits(64)
        request = messages.RouteRequest(f'r{self.number}', draw, **more)
        chosen = self.policy.choose(request, now_s)
        self.policy.sent(request, chosen.name, now_s)
        return request.request_id, chosen.name

    def answer(self, request_id, now_s):
        self.policy.first_token(request_id, now_s)
        self.policy.finished(request_id, now_s)


def test_local_requests_count_before_any_report():
    """A burst between two reports is spread over the replicas.

    120 requests are sent without a report in between; local requests count at
    once, so none of the 12 replicas gets much more than 10.
    """
    caller = Caller(make_policy())
    counts = collections.Counter(caller.send()[1] for _ in range(120))
    assert max(counts.values()) <= 13


def test_entries_with_the_same_old_report_choose_differently():
    """Seven entries have the same reports, with one of 60 replicas idle.

    The other 59 have ten requests each. Since each entry scores only a few
    random replicas, about a tenth of the next requests go to the idle one.
    """
    counts = collections.Counter()
    for entry in range(7):
        policy = make_policy(60)
        for number in range(1, 60):
            policy.load_reported(
                f'near{number}', messages.LoadReport(10, 0, 0.0), 0.0
            )
        caller = Caller(policy)
        caller.rng.seed(entry)
        counts.update(caller.send()[1] for _ in range(10))
    assert counts['near0'] <= 21


def test_a_hot_prefix_goes_to_holders_up_to_the_load_bound():
    """Requests with the same long prompt mostly go to a replica that holds it.

    At 1.5 times the mean load of the holders, other replicas are chosen and
    become holders too, so that no replica is overloaded by the hot prefix.
    """
    caller = Caller(make_policy())
    prefix = (messages.Prefix('hot', 4000),)
    few = [
        caller.send(prompt_tokens=4100, prefixes=prefix)[1] for _ in range(4)
    ]
    assert len(set(few)) <= 2
    more = [
        caller.send(prompt_tokens=4100, prefixes=prefix)[1] for _ in range(116)
    ]
    assert max(collections.Counter(few + more).values()) <= 40
    assert len(set(more)) >= 4


def test_a_straggler_gets_little_load_and_recovers():
    """A replica that responds ten times slower gets less than 4 % of requests.

    Once its delays are as short as those of the others, it gets its share.
    """
    caller = Caller(make_policy(6))
    due = []

    def run(rounds, start_s, slow_factor):
        counts = collections.Counter()
        now_s = start_s
        for _ in range(rounds):
            now_s += 0.05
            request_id, name = caller.send(now_s)
            counts[name] += 1
            delay_s = 0.3 * (slow_factor if name == 'near0' else 1)
            due.append((now_s + delay_s, request_id))
            for item in [item for item in due if item[0] <= now_s]:
                due.remove(item)
                caller.answer(item[1], now_s)
        return counts['near0'] / rounds

    run(200, 0.0, 10)
    assert run(600, 10.0, 10) < 0.04
    run(600, 40.0, 1)
    assert run(600, 70.0, 1) > 0.10


def test_a_new_replica_starts_with_little_load():
    """A new replica is not overloaded although it is idle."""
    caller = Caller(make_policy(5))
    for _ in range(50):
        caller.send()
    candidates = [
        messages.Candidate(f'near{n}', 'near', serving_since_s=0.1 * (n == 5))
        for n in range(6)
    ]
    caller.policy.replace_candidates(candidates, 0.1)
    early = [caller.send(0.1)[1] for _ in range(20)]
    assert early.count('near5') <= 5


def test_requests_spill_over_once_the_nearest_data_centre_is_loaded():
    """The nearest data centre is used until its load exceeds the margin."""
    policy = scored.make_routing_policy(DISTANCES.get)
    candidates = [
        messages.Candidate(f'{data_centre}{n}', data_centre)
        for data_centre in DISTANCES
        for n in range(6)
    ]
    policy.replace_candidates(candidates, 0.0)
    caller = Caller(policy)
    names = [caller.send()[1] for _ in range(200)]
    assert all(name.startswith('near') for name in names[:5])
    assert 60 <= sum(name.startswith('far') for name in names) <= 100


def test_only_permitted_candidates_are_chosen():
    """The only permitted one of 60 replicas is found, and no other chosen."""
    policy = make_policy(60)
    request = messages.RouteRequest('r', 99)
    chosen = policy.choose(request, 0.0, lambda some: some.name == 'near41')
    assert chosen.name == 'near41'
    assert policy.choose(request, 0.0, lambda some: False) is None


def test_an_epoch_change_forgets_load_and_prefixes():
    """Requests of the old epoch are not counted for the new one."""
    caller = Caller(make_policy(1))
    request_id, _ = caller.send(prefixes=(messages.Prefix('p', 50),))
    fresh = [messages.Candidate('near0', 'near', epoch=2)]
    caller.policy.replace_candidates(fresh, 1.0)
    caller.answer(request_id, 2.0)
    assert caller.send(2.0)[1] == 'near0'
