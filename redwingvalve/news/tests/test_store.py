"""News stores that exchange items which get lost, duplicated or delayed."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from redwingvalve.news import store

NAMES = ('a', 'b', 'c')
KEYS = ('k', 'l')
MAX_AGE_S = 30.0


def make_item(owner, key, number, body, published_s, max_age_s=MAX_AGE_S):
    return store.Item(
        'load', owner, 1, key, number, body, published_s, max_age_s
    )


class NewsMachine(stateful.RuleBasedStateMachine):
    """Three processes publish and exchange items over a lossy network."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.number = 0
        self.stores = {name: store.NewsStore(name) for name in NAMES}
        self.published = {}
        self.in_transit = []

    @stateful.rule(owner=st.sampled_from(NAMES), key=st.sampled_from(KEYS))
    def publish(self, owner, key):
        self.number += 1
        body = f'{self.number}'.encode()
        item = make_item(owner, key, self.number, body, self.now_s)
        self.stores[owner].put(item, self.now_s)
        self.published[owner, key] = item

    @stateful.rule(asker=st.sampled_from(NAMES), asked=st.sampled_from(NAMES))
    def ask(self, asker, asked):
        digest = self.stores[asker].digest()
        found = self.stores[asked].items_missing_from(
            digest, self.now_s, only_named=False
        )
        self.in_transit.append((asker, found))

    @stateful.rule(item_key=st.integers(0, 30), again=st.booleans())
    def deliver(self, item_key, again):
        if not self.in_transit:
            return
        item_key %= len(self.in_transit)
        receiver, items = self.in_transit[item_key]
        if not again:
            del self.in_transit[item_key]
        for item in items:
            if self.stores[receiver].accepts_owner(item.owner):
                self.stores[receiver].put(item, self.now_s)

    @stateful.rule(passed_s=st.floats(0.1, 20))
    def pass_time(self, passed_s):
        self.now_s += passed_s
        for each in self.stores.values():
            each.drop_expired(self.now_s)

    @stateful.invariant()
    def no_item_is_unpublished_or_expired(self):
        for each in self.stores.values():
            for item in each.read('load', self.now_s):
                assert (
                    item.number <= self.published[item.owner, item.key].number
                )
                assert self.now_s - item.published_s <= MAX_AGE_S

    def teardown(self):
        for _ in NAMES:
            for asker in NAMES:
                for asked in NAMES:
                    self.ask(asker, asked)
                    self.deliver(len(self.in_transit) - 1, False)
        expected = {
            (item.owner, item.key): item.body
            for item in self.published.values()
            if not item.is_expired(self.now_s)
        }
        for each in self.stores.values():
            assert {
                (item.owner, item.key): item.body
                for item in each.read('load', self.now_s)
            } == expected


TestNews = NewsMachine.TestCase
TestNews.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30
)


def test_a_returning_node_catches_up_in_bounded_pieces():
    """A returning node fetches all 2,000 news items of a region.

    Each reply is bounded; the node repeats its request until it has all.
    """
    full, empty = store.NewsStore('full'), store.NewsStore('empty')
    for owner in range(10):
        for number in range(1, 201):
            full.put(
                make_item(f'o{owner}', f'{number}', number, b'x' * 50, 0), 0
            )
    pieces = []
    while found := full.items_missing_from(
        empty.digest(), 1.0, only_named=False
    ):
        pieces.append(len(found))
        for item in found:
            empty.put(item, 1.0)
    assert sum(pieces) == 2000
    assert max(pieces) <= store.MAX_ITEMS_IN_MESSAGE


def test_a_node_receives_only_owners_that_it_is_behind_on():
    ahead, numbers_behind = store.NewsStore('x'), store.NewsStore('y')
    for each, number in ((ahead, 7), (numbers_behind, 5)):
        each.put(make_item('o', 'k', number, b'x', 0), 0)
        each.put(make_item('p', 'k', 3, b'x', 0), 0)
    asked = numbers_behind.numbers_behind(ahead.digest())
    assert asked == {store.owner_hash('o'): 5}
    given = ahead.items_missing_from(asked, 0.0, only_named=True)
    assert [(item.owner, item.number) for item in given] == [('o', 7)]
