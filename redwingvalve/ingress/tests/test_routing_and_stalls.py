"""Routes, placing, retries and silence, without a network."""

import random

import hypothesis
from hypothesis import strategies

from redwingvalve.ingress import (
    events,
    load_balancing,
    refusals,
    retry_budget,
    routes,
    stall_detection,
)


def route(prefix, host='h.example', splits=(('s', 1.0),)):
    return routes.Route(
        name=prefix,
        host=host,
        path_prefix=prefix,
        kind=routes.RouteKind.IDEMPOTENT,
        splits=tuple(routes.Split(*split) for split in splits),
        timeout_ms=1000,
        goal_ms=100,
        max_attempts=2,
        priority=1,
        anonymous=False,
        resumable=False,
        gap_goal_ms=0,
    )


def configuration(*found):
    return routes.Configuration(
        version=1,
        revision=1,
        routes=found,
        services={},
        accounts_by_key={},
        needs_keys=False,
        limits=routes.DEFAULT_LIMITS,
    )


def test_the_longest_prefix_of_the_host_is_taken():
    known = configuration(
        route('/a/'), route('/a/b/'), route('/', 'other.example')
    )
    assert known.find_route('h.example', '/a/b/c').name == '/a/b/'
    assert known.find_route('H.Example:80', '/a/x').name == '/a/'
    assert known.find_route('h.example', '/b/') is None
    assert known.find_route('other.example', '/b').name == '/'


def test_a_split_follows_the_weights():
    split = route('/', splits=(('s', 90.0), ('t', 10.0)))
    rng = random.Random(1)
    picked = [routes.pick_service(split, rng) for _ in range(2000)]
    assert 130 < picked.count('t') < 270


def target(name, slots=4):
    return load_balancing.Target(name, 'h', 1, slots, 'dc')


def test_the_least_filled_target_is_chosen():
    loads = load_balancing.EndpointLoads()
    loads.add_request('a')
    rng = random.Random(1)
    targets = [target('a'), target('b')]
    assert (
        load_balancing.choose_least_loaded(targets, loads, rng).endpoint_id
        == 'b'
    )
    assert (
        load_balancing.choose_least_loaded(
            targets, loads, rng, {'b'}
        ).endpoint_id
        == 'a'
    )
    loads.add_request('b')
    loads.add_request('b')
    assert (
        load_balancing.choose_least_loaded(targets, loads, rng).endpoint_id
        == 'a'
    )


def test_no_target_is_chosen_when_all_are_full():
    loads = load_balancing.EndpointLoads()
    for _ in range(4):
        loads.add_request('a')
    rng = random.Random(1)
    assert load_balancing.choose_least_loaded([target('a')], loads, rng) is None
    loads.remove_request('a')
    assert (
        load_balancing.choose_least_loaded([target('a')], loads, rng)
        is not None
    )


def test_equal_targets_are_shared_by_chance():
    loads = load_balancing.EndpointLoads()
    rng = random.Random(1)
    targets = [target('a'), target('b')]
    picked = {
        load_balancing.choose_least_loaded(targets, loads, rng).endpoint_id
        for _ in range(50)
    }
    assert picked == {'a', 'b'}


def test_retries_are_a_share_of_requests_and_of_the_allowance():
    allowance = retry_budget.RetryBudgetConfig(0.2, 60, 10.0)
    window = retry_budget.RetryBudget(allowance)
    for _ in range(100):
        window.record_request(0.0)
    spent = sum(window.try_spend(1.0, nodes=6) for _ in range(200))
    assert spent == int((0.2 * 100 + 60 / 6) * retry_budget.USABLE_SHARE)
    assert window.try_spend(11.5, nodes=6)


@hypothesis.given(
    strategies.lists(strategies.integers(1, 999), min_size=1, max_size=8),
    strategies.integers(1, 17),
    strategies.sampled_from([b'\n\n', b'\r\n\r\n']),
)
def test_events_are_the_same_however_they_are_cut(numbers, size, separator):
    line = separator[: len(separator) // 2]
    text = b''.join(
        b'id: %d%bdata: x%b' % (number, line, separator) for number in numbers
    )
    splitter = events.EventSplitter()
    found = []
    for start in range(0, len(text), size):
        found.extend(splitter.feed(text[start : start + size]))
    assert [event.number for event in found] == numbers
    assert b''.join(event.raw for event in found) == text
    assert splitter.is_between_events


def pulse(
    head='h', sent_s=0.0, prompt_s=0.02, pause_s=0.04, other_prompts_s=0.0
):
    return stall_detection.MonitoredStream(
        head, sent_s, prompt_s, pause_s, other_prompts_s
    )


def look_until(watch, from_s, to_s):
    """Look as the node does; return when a head was first found silent."""
    now_s = from_s
    while now_s < to_s:
        if watch.find_stalled(now_s):
            return now_s
        now_s += stall_detection.MIN_CHECK_INTERVAL_S
    return None


def test_a_head_that_stops_writing_is_found_within_three_pauses():
    watch = stall_detection.StallDetector()
    one = pulse()
    watch.add(one)
    watch.record_event(one, 1.0)
    found_s = look_until(watch, 1.0, 3.0)
    assert found_s is not None and found_s - 1.0 < 0.12 + 0.03


def test_a_head_that_writes_to_one_stream_is_not_silent():
    watch = stall_detection.StallDetector()
    one, two = pulse(), pulse()
    for each in (one, two):
        watch.add(each)
        watch.record_event(each, 0.0)
    now_s = 0.0
    while now_s < 1.0:
        watch.record_event(one, now_s)
        assert not watch.find_stalled(now_s)
        now_s += stall_detection.MIN_CHECK_INTERVAL_S


def test_prompts_of_others_are_allowed_for():
    watch = stall_detection.StallDetector()
    one = pulse(other_prompts_s=0.2)
    watch.add(one)
    watch.record_event(one, 0.0)
    assert look_until(watch, 0.0, 0.3) is None


def test_a_head_that_is_found_sound_again_and_again_is_slow():
    """Streams at a slow endpoint go on there, late, and are not sent again.

    It works at a fifth of its pace: each time it seems silent, its members are
    found well, and its streams are sent anew elsewhere, where they take places
    in which others could be in time.
    """
    watch = stall_detection.StallDetector()
    found = 0
    now_s = 0.0
    for _ in range(7):
        one = pulse('a', now_s)
        watch.add(one)
        watch.record_event(one, now_s)
        is_silent = False
        for _ in range(40):
            now_s += stall_detection.MIN_CHECK_INTERVAL_S
            is_silent = is_silent or bool(watch.find_stalled(now_s))
        found += is_silent
        if is_silent:
            watch.mark_slow('a', now_s)
        watch.remove(one)
    assert watch.slow_heads(now_s) == {'a'}
    assert found <= 2


def test_a_slow_head_is_chosen_last():
    loads = load_balancing.EndpointLoads()
    for _ in range(3):
        loads.add_request('b')
    targets = [target('a'), target('b')]
    rng = random.Random(1)
    found = load_balancing.choose_least_loaded(targets, loads, rng, slow={'a'})
    assert found.endpoint_id == 'b'
    loads.add_request('b')
    found = load_balancing.choose_least_loaded(targets, loads, rng, slow={'a'})
    assert found.endpoint_id == 'a'


def test_a_pause_of_this_process_is_no_silence():
    """No stream moves because its own node stood still for a second."""
    watch = stall_detection.StallDetector()
    one = pulse()
    watch.add(one)
    watch.record_event(one, 0.0)
    assert not watch.find_stalled(0.01)
    assert not watch.find_stalled(1.0)
    assert not watch.find_stalled(1.05)


def test_a_caller_that_reads_slowly_says_nothing_about_the_head():
    watch = stall_detection.StallDetector()
    one = pulse()
    watch.add(one)
    watch.record_event(one, 0.0)
    one.is_paused = True
    assert look_until(watch, 0.0, 2.0) is None


def test_a_stream_that_never_begins_is_found():
    watch = stall_detection.StallDetector()
    watch.add(pulse(sent_s=0.0))
    found_s = look_until(watch, 0.0, 2.0)
    assert found_s is not None and found_s < 0.5


def test_what_may_have_run_is_never_called_not_run():
    assert (
        refusals.for_failed_request(may_have_run=False, is_timeout=True).status
        == 503
    )
    assert (
        refusals.for_failed_request(may_have_run=True, is_timeout=True).status
        == 504
    )
    assert (
        refusals.for_failed_request(may_have_run=True, is_timeout=False).status
        == 502
    )


def test_nodes_that_choose_alone_do_not_herd_to_one_head():
    """Few of 240 requests find no slot where nobody grants places.

    54 heads of 8 slots, 60 nodes that know their own four requests only.
    """
    rng = random.Random(7)
    targets = [target(f'e{number}', 8) for number in range(54)]
    over = 0
    for _ in range(20):
        begun = dict.fromkeys((one.endpoint_id for one in targets), 0)
        for _ in range(60):
            loads = load_balancing.EndpointLoads()
            for _ in range(4):
                among = load_balancing.sample_candidates(targets, rng)
                found = load_balancing.choose_least_loaded(among, loads, rng)
                loads.add_request(found.endpoint_id)
                begun[found.endpoint_id] += 1
        over += sum(max(0, count - 8) for count in begun.values())
    assert over < 510


def test_a_head_that_was_found_sound_is_given_more_time():
    """A slow head under a burst isn't taken out of use again and again."""
    watch = stall_detection.StallDetector()
    one = pulse()
    watch.add(one)
    watch.record_event(one, 0.0)
    first_s = look_until(watch, 0.0, 3.0)
    watch.mark_slow('h', first_s)
    watch.record_event(one, first_s)
    second_s = look_until(watch, first_s, first_s + 3.0)
    assert second_s - first_s > 2.5 * first_s
