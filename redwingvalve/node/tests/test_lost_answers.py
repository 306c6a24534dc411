"""State known from a watch while answers get lost, in virtual time.

Callers of a node with an old state use revoked keys and endpoints that leave.
"""

import asyncio
import types

import anyio
import hypothesis
import looptime
import pytest
from hypothesis import strategies as st

from redwingvalve.core import clock
from redwingvalve.fleet import watch_handler
from redwingvalve.node import kind_watch, watch_sources
from redwingvalve.platform import store

# Time limit for learning of a change.
BOUND_S = 2.0
DURATION_S = 20.0
STEP_S = 0.02
FIRST_REVISION = 100


def now_s():
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def virtual_clocks(monkeypatch):
    monkeypatch.setattr(clock, 'boot_s', now_s)
    virtual_time = types.SimpleNamespace(monotonic=now_s)
    monkeypatch.setattr(kind_watch, 'time', virtual_time)


class Platform:
    """The store, with a change every gap_s; it loses every n-th watch."""

    def __init__(self, gap_s=0.5, lost_every=0, phase=0, latency_s=0.004):
        self.calls = 0
        self._gap_s = gap_s
        self._lost_every = lost_every
        self._watches = phase
        self._latency_s = latency_s

    def revision(self):
        return FIRST_REVISION + int(now_s() / self._gap_s)

    def unknown_s(self, revision):
        """Return for how long the first change after revision is in force."""
        changed_s = (revision + 1 - FIRST_REVISION) * self._gap_s
        return max(now_s() - changed_s, 0)

    async def list_kind(self, kind):
        self.calls += 1
        await anyio.sleep(self._latency_s)
        return store.Listing([], self.revision())

    async def watch(self, kind, revision, wait_s):
        self.calls += 1
        self._watches += 1
        if self._lost_every and not self._watches % self._lost_every:
            await anyio.sleep(wait_s + store.WATCH_TIMEOUT_MARGIN_S)
            raise store.StoreError('timed out waiting for a response')
        until_s = now_s() + wait_s
        while self.revision() <= revision and now_s() < until_s:
            await anyio.sleep(STEP_S)
        await anyio.sleep(self._latency_s)
        return store.Changes([], self.revision())


class HangingRelay:
    """A relay that accepts calls but answers none."""

    async def list_kind(self, kind):
        await anyio.sleep(store.CALL_TIMEOUT_S)
        raise store.StoreError('timed out waiting for a response')

    async def watch(self, kind, revision, wait_s):
        await anyio.sleep(wait_s + store.WATCH_TIMEOUT_MARGIN_S)
        raise store.StoreError('timed out waiting for a response')


class IgnoringHandler(watch_handler.WatchHandler):
    """Ignores all changes."""

    failures = 0

    def on_list(self, listed):
        """Ignore the listing."""

    def on_changes(self, changes):
        """Ignore the changes."""

    def on_unavailable(self):
        self.failures += 1


def run_watch(platform, relays, **timing):
    """Return the longest time for which a change was not known."""

    async def main():
        sources = [
            *(
                watch_sources.make_relay_source(HangingRelay(), BOUND_S, 'vm')
                for _ in range(relays)
            ),
            watch_sources.make_store_source(platform, BOUND_S, **timing),
        ]
        watch = kind_watch.KindWatch(
            'config', IgnoringHandler(), lambda: sources
        )
        unknown_s = 0.0
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            while not watch.revision:
                await anyio.sleep(STEP_S)
            while now_s() < DURATION_S:
                await anyio.sleep(STEP_S)
                unknown_s = max(unknown_s, platform.unknown_s(watch.revision))
            group.cancel_scope.cancel()
        return unknown_s

    return anyio.run(
        main, backend_options={'loop_factory': looptime.new_event_loop}
    )


PLAYS = hypothesis.settings(
    max_examples=30,
    # Shrinking a play takes minutes and explains nothing.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
GAPS_S = st.floats(0.05, 6)
EVERY = st.integers(2, 5)
PHASES = st.integers(0, 4)
# The store is up to sixty times slower on slow days.
LATENCIES_S = st.sampled_from((0.004, 0.05, 0.24))


@PLAYS
@hypothesis.given(
    relays=st.integers(1, 2),
    gap_s=GAPS_S,
    every=EVERY,
    phase=PHASES,
    latency_s=LATENCIES_S,
)
def test_a_lost_answer_of_the_store_behind_hanging_relays_delays_no_change(
    relays, gap_s, every, phase, latency_s
):
    """A caller with a revoked key is refused within the limit."""
    platform = Platform(gap_s, every, phase, latency_s)
    unknown_s = run_watch(platform, relays, is_relayed=True, is_paused=True)
    assert unknown_s <= BOUND_S


@PLAYS
@hypothesis.given(
    is_relayed=st.booleans(),
    is_paused=st.booleans(),
    gap_s=GAPS_S,
    every=EVERY,
    phase=PHASES,
    latency_s=LATENCIES_S,
)
def test_a_lost_answer_of_the_store_delays_no_change_without_relays(
    is_relayed, is_paused, gap_s, every, phase, latency_s
):
    """Small fleets, first hubs and lease holders refuse a revoked key too."""
    platform = Platform(gap_s, every, phase, latency_s)
    unknown_s = run_watch(
        platform, 0, is_relayed=is_relayed, is_paused=is_paused
    )
    assert unknown_s <= BOUND_S


@pytest.mark.parametrize('latency_s', [0.3, 0.45, 0.55])
def test_a_late_answer_of_the_store_counts_though_it_was_asked_again(latency_s):
    """A store that is slower than the repetition is still heard in time."""
    platform = Platform(latency_s=latency_s)
    unknown_s = run_watch(platform, 2, is_relayed=True, is_paused=True)
    assert unknown_s <= BOUND_S


@pytest.mark.parametrize('is_paused', [True, False])
def test_a_healthy_store_is_asked_only_by_the_watch(is_paused):
    """Extra calls are charged, so they are made for overdue answers only."""
    platform = Platform(gap_s=100)
    run_watch(platform, 0, is_relayed=False, is_paused=is_paused)
    next_s = watch_sources.UNRELAYED_AGE_SHARE * BOUND_S
    assert platform.calls <= DURATION_S / next_s + 2


class LatePlatform(Platform):
    """Answers the first watch late; extra calls fail after that."""

    def __init__(self, error):
        super().__init__()
        self._error = error

    async def watch(self, kind, revision, wait_s):
        if wait_s == kind_watch.REFRESH_WAIT_S:
            await anyio.sleep(0.5)
            raise self._error
        if not self._watches:
            await anyio.sleep(1.5)
        return await super().watch(kind, revision, wait_s)


@pytest.mark.parametrize('error', [store.StoreError, store.HistoryGoneError])
def test_an_extra_call_that_fails_after_the_watch_was_answered_is_ignored(
    error,
):
    """The store isn't taken for lost, and nothing is listed again."""
    platform = LatePlatform(error('late'))
    handler = IgnoringHandler()
    source = watch_sources.make_store_source(
        platform, BOUND_S, is_relayed=False, is_paused=True
    )

    async def main():
        watch = kind_watch.KindWatch('config', handler, lambda: [source])
        with anyio.move_on_after(5):
            await watch.run()

    anyio.run(main, backend_options={'loop_factory': looptime.new_event_loop})
    assert not handler.failures
