"""Stateful tests of configuration; the code itself asserts "never reverts"."""

import json

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from redwingvalve.configuration import records
from redwingvalve.core import invariants
from redwingvalve.wire import messages, packing

KIND = records.CLIENT_ACCOUNTS
NAMES = ('x', 'y', 'z')
PROCESSES = ('a', 'b', 'c')


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """A store and three processes; lists and replies arrive in any order."""

    def __init__(self):
        super().__init__()
        self.version = 1
        self.store = {}
        self.deleted = {}
        self.lists = [(1, {})]
        self.tables = {name: records.make_record_table() for name in PROCESSES}
        self.replies = []
        self.highest = dict.fromkeys(PROCESSES, 0)

    @stateful.rule(name=st.sampled_from(NAMES))
    def write(self, name):
        self.version += 1
        body = json.dumps({'n': self.version}).encode()
        self.store[name] = records.Record(KIND, name, self.version, body)
        self.lists.append((self.version, dict(self.store)))

    @stateful.rule(name=st.sampled_from(NAMES))
    def delete(self, name):
        if self.store.pop(name, None) is not None:
            self.version += 1
            self.deleted[name] = self.version
            self.lists.append((self.version, dict(self.store)))

    @stateful.rule(process=st.sampled_from(PROCESSES), back=st.integers(0, 9))
    def apply_list(self, process, back):
        """Apply a list, which may be old: late, or from a restored backup."""
        version, objects = self.lists[-1 - min(back, len(self.lists) - 1)]
        self.tables[process].apply_listing(
            KIND, objects.keys(), objects.values(), version
        )

    @stateful.rule(asker=st.sampled_from(PROCESSES))
    def ask(self, asker):
        for name in PROCESSES:
            reply = self.tables[name].delta_since(
                self.tables[asker].versions(), 'r'
            )
            self.replies.append((asker, packing.pack(reply)))

    @stateful.rule(position=st.integers(0, 50), again=st.booleans())
    def deliver_reply(self, position, again):
        """Deliver a reply; replies arrive late, twice or never."""
        if not self.replies:
            return
        asker, packed = self.replies[position % len(self.replies)]
        if not again:
            self.replies.remove((asker, packed))
        self._deliver(asker, packed)

    @stateful.rule(process=st.sampled_from(PROCESSES))
    def restart(self, process):
        """Restart without state; the process queries its peers first."""
        self.tables[process] = records.make_record_table()
        self.replies = [
            (asker, packed)
            for asker, packed in self.replies
            if asker != process
        ]
        best = max(
            table.versions().get(KIND, 0) for table in self.tables.values()
        )
        for peer in PROCESSES:
            reply = self.tables[peer].delta_since({}, 'r')
            self._deliver(process, packing.pack(reply))
        assert self.tables[process].versions().get(KIND, 0) == best
        self.highest[process] = min(self.highest[process], best)

    @stateful.invariant()
    def versions_only_rise(self):
        for process, table in self.tables.items():
            version = table.versions().get(KIND, 0)
            assert version >= self.highest[process]
            self.highest[process] = version

    @stateful.invariant()
    def a_version_implies_all_earlier_changes(self):
        """Reports of versions in force rely on this."""
        for table in self.tables.values():
            version = table.versions().get(KIND, 0)
            for record in self.store.values():
                if record.version > version:
                    continue
                existing = table.get(KIND, record.name)
                assert existing is not None
                assert existing.version >= record.version
            for record in table.live(KIND):
                if record.name in self.store:
                    continue
                assert self.deleted[record.name] > version, record

    def teardown(self):
        self.apply_list('a', 0)
        for asker in PROCESSES:
            reply = self.tables['a'].delta_since(
                self.tables[asker].versions(), 'r'
            )
            self._deliver(asker, packing.pack(reply))
            live = {
                record.name: record.version
                for record in self.tables[asker].live(KIND)
            }
            assert live == {
                name: record.version for name, record in self.store.items()
            }

    def _deliver(self, asker, packed):
        reply = packing.unpack(messages.peer.RecordsReply(), packed).ok
        self.tables[asker].apply_reply(reply)


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=30
)


@pytest.mark.parametrize('disabled', [False, True])
def test_a_revert_is_detected_without_its_safeguard(disabled):
    """A peer that was disconnected sends an old version of an account.

    Callers would see the old limit again, so the record is ignored. With the
    safeguard disabled, an assertion in the code reports the breach.
    """
    safeguard = invariants.Safeguard.CONFIGURATION_ONLY_RISES
    switches = invariants.SafeguardSwitches([safeguard] if disabled else [])
    table = records.make_record_table(switches)
    table.apply(records.Record(KIND, 'x', 7, b'new'))
    old_record = records.Record(KIND, 'x', 6, b'old')
    if disabled:
        with pytest.raises(invariants.InvariantBreachError):
            table.apply(old_record)
    else:
        assert not table.apply(old_record)
        assert table.get(KIND, 'x').body == b'new'


def test_a_large_configuration_is_fetched_in_several_replies():
    """A reply is cut at the size limit; the next one resumes there."""
    full, empty = records.make_record_table(), records.make_record_table()
    body = b'x' * 150_000
    for number in range(10):
        full.apply(records.Record(KIND, f'{number}', number + 1, body))
    full.complete({KIND: 10})
    seen = []
    complete = False
    while not complete:
        reply = full.delta_since(empty.versions(), 'r')
        empty.apply_reply(reply)
        seen.append(empty.versions()[KIND])
        complete = reply.complete
    assert seen == [2, 4, 6, 8, 10]


def test_only_changes_are_sent_and_domains_only_within_their_region():
    table = records.make_record_table()
    for number in range(100):
        table.apply(records.Record(KIND, f'{number}', number + 1, b'{}'))
    domain = records.FABRIC_DOMAINS
    table.apply(records.Record(domain, 'd1', 200, b'[]', region='r1'))
    table.apply(records.Record(domain, 'd2', 201, b'[]', region='r2'))
    table.complete({KIND: 100, f'{domain}/r1/d1': 200, f'{domain}/r2/d2': 201})
    table.apply(records.Record(KIND, '5', 300, b'{"n":1}'))
    table.complete({KIND: 300})
    have = {KIND: 100, f'{domain}/r1/d1': 200}
    assert [each.name for each in table.delta_since(have, 'r1').records] == [
        '5'
    ]
    new_peer = table.delta_since({KIND: 300}, 'r2')
    assert [each.name for each in new_peer.records] == ['d2']


def test_an_old_list_does_not_restore_a_deleted_object_never_seen():
    """A withdrawn account must not work again after a late list.

    x is created and deleted before the first list of this process. A list from
    before the deletion arrives later. Found by the stateful test above.
    """
    table = records.make_record_table()
    x = records.Record(KIND, 'x', 2, b'{}')
    y = records.Record(KIND, 'y', 4, b'{}')
    table.apply_listing(KIND, {'y'}, [y], 4)
    assert not table.apply_listing(KIND, {'x'}, [x], 2)
    assert table.live(KIND) == [y]


def test_a_restarted_process_drops_deleted_records_of_an_old_peer():
    """A restarted entry must not serve a withdrawn account.

    It queries all peers without any records. A peer that is behind still sends
    x; a newer peer, which never had x, then replies with a complete version.
    Found by the stateful test above.
    """
    x = records.Record(KIND, 'x', 2, b'{}')
    stale_peer, current_peer, restarted = (
        records.make_record_table() for _ in range(3)
    )
    stale_peer.apply_listing(KIND, {'x'}, [x], 2)
    current_peer.apply_listing(KIND, set(), [], 3)
    for peer in (stale_peer, current_peer):
        restarted.apply_reply(peer.delta_since({}, 'r'))
    assert restarted.versions()[KIND] == 3
    assert restarted.live(KIND) == []


def test_an_old_list_does_not_restore_an_object_deleted_twice():
    """An account that was withdrawn twice must not work after a late list.

    This process applies lists from after the first and the second deletion.
    The list from between the two arrives last. Found by the stateful test.
    """
    table = records.make_record_table()
    table.apply_listing(KIND, {'x'}, [records.Record(KIND, 'x', 2, b'{}')], 2)
    table.apply_listing(KIND, set(), [], 3)
    table.apply_listing(KIND, set(), [], 5)
    again = records.Record(KIND, 'x', 4, b'{}')
    assert not table.apply_listing(KIND, {'x'}, [again], 4)
    assert table.live(KIND) == []
