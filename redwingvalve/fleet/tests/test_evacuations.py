"""Which data centres are evacuated, from the watch and from other nodes."""

import itertools
import logging

import pytest

from redwingvalve.fleet import evacuations
from redwingvalve.platform import store

LIMIT_S = 5.0


class Watch:
    """Delivers listings and changes at given revisions."""

    def __init__(self, limit_s=LIMIT_S):
        self.now_s = 0.0
        self.revision = 0
        self.changes = 0
        self.refreshes = 0
        self.state = evacuations.Evacuations(limit_s, lambda: self.now_s)
        self.state.refresh_now = self.refresh
        self.state.watched_revision = lambda: self.revision
        self.state.data_centres = lambda: {'zone-1', 'zone-2'}
        self.state.on_change.append(self.count_change)

    def count_change(self):
        self.changes += 1

    def refresh(self):
        self.refreshes += 1

    def run_until(self, until_s):
        """Tick several times a second, as a node does."""
        while self.now_s < until_s:
            self.now_s = min(self.now_s + 0.25, until_s)
            self.state.tick()

    def list(self, revision, *names):
        self.revision = revision
        self.state.on_list([stored(name) for name in names])

    def change(self, revision, *changes):
        self.revision = revision
        self.state.on_changes(
            [store.Change(stored(name), removed) for name, removed in changes]
        )


def stored(name):
    return {'metadata': {'name': name, 'revision': 1}, 'spec': {}}


def test_an_entry_counts_until_it_is_removed():
    watch = Watch()
    watch.list(10)
    watch.change(11, ('zone-2', False))
    assert watch.state.is_evacuated('zone-2')
    assert not watch.state.is_evacuated('zone-1')
    watch.change(12, ('zone-2', True))
    assert not watch.state.is_evacuated('zone-2')
    assert (watch.state.revision, watch.changes) == (12, 3)


def test_removals_of_entries_that_do_not_exist_change_nothing():
    """An operator removes an entry twice, or one that nobody created."""
    watch = Watch()
    watch.list(10, 'zone-2')
    for revision in (11, 12, 13):
        watch.change(revision, ('zone-2', True), ('zone-9', True))
    assert (watch.state.names(), watch.changes) == (frozenset(), 2)


def test_a_listing_ends_what_it_lacks():
    """The removal was in a part of the history that the store has dropped."""
    watch = Watch()
    watch.list(10, 'zone-1', 'zone-2')
    watch.state.on_unavailable()
    assert watch.state.is_evacuated('zone-1')
    watch.list(20, 'zone-2')
    assert watch.state.names() == {'zone-2'}


@pytest.mark.parametrize(
    'unreadable',
    [
        None,
        'text',
        {},
        {'metadata': None},
        {'metadata': {'name': 7}},
        {'metadata': {'name': ''}},
    ],
)
def test_an_object_without_a_readable_name_hides_no_other(unreadable):
    watch = Watch()
    watch.revision = 10
    watch.state.on_list([unreadable, stored('zone-2')])
    assert watch.state.names() == {'zone-2'}
    change = store.Change(unreadable, is_removed=False)
    watch.state.on_changes([change])
    assert watch.state.names() == {'zone-2'}


@pytest.mark.parametrize('rest', [{}, {'spec': 3}, {'spec': None}])
def test_an_object_counts_by_its_name_alone(rest):
    """Another writer left out the spec, or the revision."""
    watch = Watch()
    watch.revision = 10
    watch.state.on_list([{'metadata': {'name': 'zone-2'}, **rest}])
    assert watch.state.is_evacuated('zone-2')


HISTORY = (
    (10, ()),
    (11, ('zone-1',)),
    (12, ('zone-1', 'zone-2')),
    (13, ('zone-2',)),
)


@pytest.mark.parametrize('order', list(itertools.permutations(HISTORY)))
def test_the_latest_state_wins_in_whatever_order_messages_arrive(order):
    """A late message must neither end an evacuation nor begin one again."""
    watch = Watch()
    for revision, names in (*order, *order):
        watch.state.observe(revision, names)
    assert (watch.state.revision, watch.state.names()) == (13, {'zone-2'})


def test_a_watch_that_lags_does_not_end_what_other_nodes_know():
    """A relay that is behind answers after a node that is not."""
    watch = Watch()
    watch.list(10)
    watch.state.observe(20, ['zone-2'])
    watch.change(15, ('zone-1', False))
    assert watch.state.names() == {'zone-2'}
    watch.change(21, ('zone-1', True))
    assert watch.state.names() == frozenset()


def test_messages_of_nodes_that_know_nothing_are_ignored():
    """Such nodes have just started, or are of an earlier version."""
    watch = Watch()
    watch.state.observe(0, [])
    assert watch.state.is_evacuated('zone-1')
    watch.state.observe(7, ['zone-2'])
    assert not watch.state.is_evacuated('zone-1')
    watch.state.observe(0, [])
    assert watch.state.names() == {'zone-2'}


def test_a_node_that_knows_nothing_sends_nothing_for_a_limited_time():
    """The store answers all watches but this one."""
    watch = Watch()
    watch.run_until(LIMIT_S - 0.1)
    assert watch.state.is_evacuated('zone-1')
    watch.run_until(LIMIT_S)
    assert (watch.state.is_evacuated('zone-1'), watch.changes) == (False, 1)


def test_the_first_listing_ends_the_hold():
    """Targets must be built again although no name has changed."""
    watch = Watch()
    watch.list(10)
    assert (watch.state.is_evacuated('zone-1'), watch.changes) == (False, 1)


def test_a_process_that_was_stopped_first_learns_what_it_missed():
    """Messages that waited in its buffers are as old as the pause."""
    watch = Watch()
    watch.list(10)
    watch.now_s = 4.0
    watch.state.check_pause()
    watch.state.observe(11, [])
    assert watch.state.is_evacuated('zone-1')
    assert (watch.changes, watch.refreshes) == (2, 1)
    watch.run_until(4.0 + evacuations.PAUSE_HOLD_S)
    assert not watch.state.is_evacuated('zone-1')
    assert (watch.changes, watch.refreshes) == (3, 1)


def test_short_stops_hold_nothing_back():
    """Nodes of a busy machine stop for a second now and then."""
    watch = Watch()
    watch.list(10)
    for _ in range(10):
        watch.now_s += 1.0
        watch.state.check_pause()
        watch.state.tick()
    assert watch.changes == 1


def test_nothing_is_evacuated_where_the_settings_do_not_ask_for_it():
    watch = Watch(None)
    watch.state.observe(7, ['zone-2'])
    assert not watch.state.is_any_evacuated
    assert watch.state.is_synced


def test_an_unknown_name_is_logged_once(caplog):
    """A misspelt name is repeated by each listing and by each message."""
    caplog.set_level(logging.INFO)
    watch = Watch()
    for revision in range(10, 15):
        watch.list(revision, 'zone-9', 'zone-2')
        watch.state.tick()
    logged = [(one.message, one.data_centre) for one in caplog.records]
    assert sorted(logged) == [
        ('evacuations: evacuation begins', 'zone-2'),
        ('evacuations: evacuation of no known data centre', 'zone-9'),
    ]
    watch.list(15)
    assert caplog.records[-1].message == 'evacuations: evacuation ended'
    assert len(caplog.records) == 3


def test_a_name_is_judged_once_the_fleet_is_known(caplog):
    """At the start of a node no data centre is known."""
    watch = Watch()
    watch.state.data_centres = lambda: None
    watch.list(10, 'zone-2')
    watch.state.tick()
    assert not caplog.records
    watch.state.data_centres = lambda: {'zone-2'}
    watch.state.tick()
    logged = [one.message for one in caplog.records]
    assert logged == ['evacuations: evacuation begins']


def test_a_message_has_room_for_the_known_data_centres():
    """Many misspelt names must not displace the ones that matter."""
    watch = Watch()
    watch.list(10, 'zone-2', *(f'a-{number}' for number in range(99)))
    shared = watch.state.shared_names()
    assert 'zone-2' in shared
    assert len(shared) == evacuations.MAX_SHARED_NAMES


@pytest.mark.parametrize('name', ['\ud800', 'a\0', 'z' * 70_000])
def test_a_name_that_cannot_be_sent_is_not_shared(name):
    """No status message could be encoded, or sent, with it."""
    watch = Watch()
    watch.list(10, 'zone-2', name)
    assert watch.state.shared_names() == ['zone-2']
    watch.change(11, (name, False))
    assert watch.state.shared_names() == ['zone-2']


def test_the_gauge_tells_which_data_centres_are_evacuated():
    watch = Watch()
    watch.list(10, 'zone-2', 'zone-9')
    values = {one.labels[0][1]: one.value for one in watch.state.gauge()}
    assert values == {'zone-1': 0, 'zone-2': 1}
