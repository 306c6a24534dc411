"""Entry selection, verified by the distribution of callers."""

import collections
import random

from redwingvalve.core import clock
from redwingvalve.discovery import entry_selection, load_reports
from redwingvalve.membership import members

State = members.MemberState


def make_member(name, data_centre='a', region='r', state=State.ALIVE):
    return members.Member(
        name, 1, 'entry', 'h', 1, 2, data_centre, region, state
    )


def first_choices(present, load, here, count=3000):
    rng = random.Random(1)
    return collections.Counter(
        entry_selection.select_entries(present, load, here, 10.0, rng)
        .entries[0]
        .name
        for _ in range(count)
    )


def test_leaving_dead_full_and_cut_off_entries_are_not_named():
    present = [
        make_member('good'),
        make_member('leaving', state=State.LEAVING),
        make_member('dead', state=State.DEAD),
        make_member('suspect', state=State.SUSPECT),
        make_member('full'),
    ]
    here = make_member('good')
    assert set(first_choices(present, {'full': 0.97}, here)) == {'good'}
    isolated_selection = entry_selection.select_entries(
        present, {}, here, 10.0, random.Random(1), isolated=True
    )
    assert 'good' not in {entry.name for entry in isolated_selection.entries}


def test_when_all_are_full_callers_are_still_spread():
    present = [make_member(f'e{index}') for index in range(4)]
    load = {member.name: 1.0 for member in present}
    chosen = first_choices(present, load, present[0])
    assert min(chosen.values()) > 600


def test_a_lost_data_centre_does_not_become_a_herd_on_one_entry():
    """A data centre fails; its callers all ask again within one cache time.

    They must be spread over all remaining entries, although one of these
    reports the least load: its report is older than the burst of callers.
    """
    remaining = [make_member(f'b{index}', 'b') for index in range(3)]
    remaining += [make_member(f'c{index}', 'c') for index in range(3)]
    load = {member.name: 0.5 for member in remaining} | {'c0': 0.1}
    chosen = first_choices(remaining, load, make_member('b0', 'b'))
    assert len(chosen) == 6
    assert max(chosen.values()) / 3000 < 0.35


def test_answers_include_another_data_centre_and_vary_in_cache_time():
    present = [make_member(f'a{index}', 'a') for index in range(9)]
    present += [make_member('b0', 'b'), make_member('z', 'z', 'far')]
    rng = random.Random(3)
    selected = [
        entry_selection.select_entries(present, {}, present[0], 10.0, rng)
        for _ in range(50)
    ]
    for each in selected:
        assert {entry.data_centre for entry in each.entries} - {'a'}
    keeps = {round(each.keep_s, 2) for each in selected}
    assert len(keeps) > 20
    assert min(keeps) >= 7.5
    assert max(keeps) <= 10.0


class _NewsBus:
    def __init__(self):
        self.published = []

    def publish(self, channel, key, body):
        self.published.append(body[0])


def test_load_is_published_in_steps_without_flapping():
    timers = clock.ManualClock()
    news_bus = _NewsBus()
    reporter = load_reports.make_load_reporter(news_bus, timers)
    for share in (0.5, 0.51, 0.499, 0.505, 0.497):
        reporter.report(share)
    assert news_bus.published == [8]
    reporter.report(0.9)
    timers.advance(load_reports.REPEAT_INTERVAL_S)
    reporter.report(0.9)
    assert news_bus.published == [8, 14, 14]
