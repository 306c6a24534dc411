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
        self.random = random.Random(7)
        self.number = 0

    def send(self, now_s=0.0, **more):
        self.number += 1
        draw = self.random.getrandbits(64)
        request = messages.RouteRequest(f'r{self.number}', draw, **more)
        chosen = self.policy.choose(request, now_s)
        self.policy.sent(request, chosen.name, now_s)
        return request.request_id, chosen.name

    def answer(self, request_id, now_s):
        self.policy.first_token(request_id, now_s)
        self.policy.finished(request_id, now_s)


def test_own_requests_count_before_any_report():
    """A burst between two reports spreads over the replicas.

    No report comes in while 120 requests go out; own requests count at once,
    so none of the 12 replicas gets much more than its 10.
    """
    caller = Caller(make_policy())
    counts = collections.Counter(caller.send()[1] for _ in range(120))
    assert max(counts.values()) <= 13


def test_entries_with_the_same_old_report_do_not_herd():
    """Seven entries read the same report that one of 60 replicas is idle.

    Each sees 59 replicas with ten requests and one with none. Weighing random
    few, only about a tenth of their next requests go to the idle one.
    """
    counts = collections.Counter()
    for entry in range(7):
        policy = make_policy(60)
        for number in range(1, 60):
            policy.load_reported(
                f'near{number}', messages.LoadReport(10, 0, 0.0), 0.0
            )
        caller = Caller(policy)
        caller.random.seed(entry)
        counts.update(caller.send()[1] for _ in range(10))
    assert counts['near0'] <= 21


def test_a_hot_prefix_goes_to_holders_but_not_past_the_bound():
    """Callers of one long prompt mostly meet a replica that holds it.

    When the holders carry half again the mean load, others take over and
    become holders too, so no replica is buried under the hot prefix.
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


def test_a_straggler_is_eased_off_and_probed_back():
    """A replica that answers ten times slower gets little, then its share.

    Easing follows the observed delays; once its answers are as quick as the
    others', it gets work as before.
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


def test_a_new_replica_starts_slowly():
    """A replica that has just come is not buried by those that see it idle."""
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


def test_the_nearest_data_centre_is_filled_first_then_work_spills_over():
    """Callers are served next door until that is fuller than elsewhere."""
    policy = scored.make_routing_policy(DISTANCES.get)
    candidates = [
        messages.Candidate(f'{place}{n}', place)
        for place in DISTANCES
        for n in range(6)
    ]
    policy.replace_candidates(candidates, 0.0)
    caller = Caller(policy)
    names = [caller.send()[1] for _ in range(200)]
    assert all(name.startswith('near') for name in names[:5])
    assert 60 <= sum(name.startswith('far') for name in names) <= 100


def test_what_is_not_permitted_is_never_chosen_and_the_rest_is_found():
    """One replica of 60 has fresh evidence; it is found and no other used."""
    policy = make_policy(60)
    request = messages.RouteRequest('r', 99)
    chosen = policy.choose(request, 0.0, lambda some: some.name == 'near41')
    assert chosen.name == 'near41'
    assert policy.choose(request, 0.0, lambda some: False) is None


def test_an_epoch_change_forgets_load_and_prefixes():
    """Requests of the old epoch end without counting against the new one."""
    caller = Caller(make_policy(1))
    request_id, _ = caller.send(prefixes=(messages.Prefix('p', 50),))
    fresh = [messages.Candidate('near0', 'near', epoch=2)]
    caller.policy.replace_candidates(fresh, 1.0)
    caller.answer(request_id, 2.0)
    assert caller.send(2.0)[1] == 'near0'
