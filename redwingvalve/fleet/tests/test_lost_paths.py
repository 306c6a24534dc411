import math

import pytest

from redwingvalve.fleet import lost_paths

OLD_MS = 1000
NEW_MS = 2000


def fail(paths, now_s, *, is_suspect=False, born_ms=OLD_MS):
    """Return whether the failure is reported to the fleet."""
    return paths.record_failure('e', born_ms, now_s, is_suspect=is_suspect)


def probe(paths, now_s, *, is_connected=False, is_suspect=False):
    paths.record_probe(
        'e', OLD_MS, now_s, is_connected=is_connected, is_suspect=is_suspect
    )


def test_the_first_failure_is_reported():
    """An endpoint that has died leaves use everywhere at once."""
    paths = lost_paths.LostPaths()
    assert fail(paths, 10.0)
    assert paths.is_avoided('e', OLD_MS)
    assert not paths.is_lost('e', OLD_MS)


def test_a_failure_of_a_cleared_endpoint_is_not_reported():
    """A node without a path took a sound endpoint from all, twice a second."""
    paths = lost_paths.LostPaths()
    fail(paths, 10.0)
    assert not fail(paths, 10.5)
    assert paths.is_lost('e', OLD_MS)


def test_failures_while_the_fleet_doubts_the_endpoint_lose_no_path():
    paths = lost_paths.LostPaths()
    fail(paths, 10.0)
    assert fail(paths, 10.1, is_suspect=True)
    probe(paths, 10.5, is_suspect=True)
    assert not paths.is_lost('e', OLD_MS)
    assert paths.is_avoided('e', OLD_MS)


def test_a_cleared_endpoint_is_probed_at_once_and_stays_avoided():
    """Another node's word doesn't mend the path of this one."""
    paths = lost_paths.LostPaths()
    fail(paths, 10.0)
    assert paths.start_probes(10.1) == {}
    paths.probe_soon('e', 10.1)
    assert paths.is_avoided('e', OLD_MS)
    assert paths.start_probes(10.1) == {'e': OLD_MS}
    probe(paths, 10.4)
    assert paths.is_lost('e', OLD_MS)
    assert len(paths) == 1


def test_probes_back_off_while_the_path_is_lost():
    paths = lost_paths.LostPaths()
    fail(paths, 0.0)
    fail(paths, 0.0)
    probed_s = []
    while len(probed_s) < 5:
        now_s = paths.next_probe_s()
        # Later clearances, as other nodes also have lost their paths.
        paths.probe_soon('e', now_s - 0.1)
        assert paths.start_probes(now_s) == {'e': OLD_MS}
        probed_s.append(now_s)
        probe(paths, now_s + 0.3)
    assert probed_s == [0.5, 1.0, 2.0, 4.0, 6.0]


def test_a_connect_puts_the_endpoint_back():
    paths = lost_paths.LostPaths()
    fail(paths, 10.0)
    fail(paths, 10.2)
    probe(paths, 11.0, is_connected=True)
    assert not paths.is_avoided('e', OLD_MS)
    assert not paths.is_lost('e', OLD_MS)
    assert paths.next_probe_s() == math.inf


@pytest.mark.parametrize(
    ('after_s', 'is_reported'),
    [(0.5, False), (lost_paths.RELAPSE_S + 0.1, True)],
)
def test_a_path_that_loses_some_connects_is_reported_once(after_s, is_reported):
    paths = lost_paths.LostPaths()
    fail(paths, 10.0)
    probe(paths, 10.1, is_connected=True)
    assert fail(paths, 10.1 + after_s) is is_reported
    assert paths.is_avoided('e', OLD_MS)


def test_a_silent_endpoint_that_accepts_connects_stays_in_use():
    """Its path works; a crash soon afterwards must be reported."""
    paths = lost_paths.LostPaths()
    paths.doubt('e', OLD_MS, 10.0)
    assert paths.start_probes(10.0) == {'e': OLD_MS}
    assert not paths.is_avoided('e', OLD_MS)
    probe(paths, 10.1, is_connected=True)
    assert not paths.is_avoided('e', OLD_MS)
    assert fail(paths, 10.3)


def test_a_silent_endpoint_is_avoided_once_a_probe_fails():
    paths = lost_paths.LostPaths()
    paths.doubt('e', OLD_MS, 10.0)
    paths.start_probes(10.0)
    probe(paths, 10.3)
    assert paths.is_lost('e', OLD_MS)
    assert paths.is_avoided('e', OLD_MS)
    assert not fail(paths, 10.4)


def test_a_late_probe_says_nothing_after_a_successful_one():
    paths = lost_paths.LostPaths()
    fail(paths, 10.0)
    probe(paths, 10.2, is_connected=True)
    probe(paths, 10.3)
    assert not paths.is_avoided('e', OLD_MS)


def test_the_next_process_starts_with_a_sound_path():
    paths = lost_paths.LostPaths()
    fail(paths, 10.0)
    fail(paths, 10.1)
    assert not paths.is_avoided('e', NEW_MS)
    paths.forget('e', OLD_MS)
    assert paths.is_lost('e', OLD_MS)
    paths.forget('e', NEW_MS)
    assert not paths.is_avoided('e', OLD_MS)
    assert fail(paths, 10.2, born_ms=NEW_MS)


def test_nothing_is_kept_while_the_node_is_cut_off():
    paths = lost_paths.LostPaths()
    fail(paths, 10.0)
    assert paths.forget_all()
    assert not paths.forget_all()
    assert not paths.is_avoided('e', OLD_MS)


def test_the_number_of_paths_is_bounded():
    paths = lost_paths.LostPaths()
    for number in range(lost_paths.MAX_PATHS + 1):
        paths.record_failure(f'e{number}', OLD_MS, 10.0, is_suspect=False)
    assert not paths.is_avoided('e0', OLD_MS)
    assert paths.is_avoided('e1', OLD_MS)
