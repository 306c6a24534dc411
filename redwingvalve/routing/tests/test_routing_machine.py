import math

from hypothesis import stateful
from hypothesis import strategies as st

from redwingvalve.routing import messages, scored

NAMES = st.sampled_from([f'r{number}' for number in range(8)])
DATA_CENTRES = ('near', 'far')


class RoutingMachine(stateful.RuleBasedStateMachine):
    """Load counts stay correct and exclusions hold in any order of events."""

    def __init__(self):
        super().__init__()
        distances = dict(zip(DATA_CENTRES, (0.0, 0.001), strict=True))
        self.policy = scored.make_routing_policy(distances.get)
        self.present, self.sent = set(), {}
        self.number, self.now_s = 0, 0.0

    @stateful.rule(names=st.sets(NAMES), epoch=st.integers(0, 2))
    def replace(self, names, epoch):
        self.present = names
        self.policy.replace_candidates(
            [
                messages.Candidate(name, DATA_CENTRES[int(name[1:]) % 2], epoch)
                for name in sorted(names)
            ],
            self.now_s,
        )

    @stateful.rule(draw=st.integers(0, 2**64 - 1), excluded=st.sets(NAMES))
    def send(self, draw, excluded):
        self.number += 1
        request = messages.RouteRequest(
            f'q{self.number}',
            draw,
            prefixes=(messages.Prefix(f'p{draw % 3}', 50),),
            excluded=frozenset(excluded),
        )
        chosen = self.policy.choose(request, self.now_s)
        if chosen is None:
            assert self.present <= excluded
            return
        assert chosen.name in self.present - excluded
        self.policy.sent(request, chosen.name, self.now_s)
        self.sent[request.request_id] = chosen.name

    @stateful.rule(wait_s=st.floats(0.01, 5), answered=st.booleans())
    def finish(self, wait_s, answered):
        self.now_s += wait_s
        if not self.sent:
            return
        request_id, _ = self.sent.popitem()
        if answered:
            self.policy.first_token(request_id, self.now_s)
            self.policy.progressed(request_id, 10, self.now_s + 0.5)
        self.policy.finished(request_id, self.now_s)

    @stateful.rule(name=NAMES, count=st.integers(0, 90), old_s=st.floats(0, 9))
    def report(self, name, count, old_s):
        report = messages.LoadReport(count, 0, self.now_s - old_s)
        self.policy.load_reported(name, report, self.now_s)

    @stateful.rule(name=NAMES, number=st.integers(0, 2), stored=st.booleans())
    def cache_event(self, name, number, stored):
        if stored:
            self.policy.prefix_stored(name, f'p{number}')
        else:
            self.policy.prefix_removed(name, f'p{number}')

    @stateful.invariant()
    def tier_loads_equal_the_sum_of_their_replicas(self):
        for tier in self.policy._tiers:
            counted = tier.counted_tokens()
            assert math.isclose(tier.tokens, counted, abs_tol=1e-3)
            assert all(state.local_tokens >= 0 for state in tier.states)


TestRoutingMachine = RoutingMachine.TestCase
