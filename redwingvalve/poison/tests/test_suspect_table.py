import hypothesis
from hypothesis import strategies as st

from redwingvalve.poison import suspect_table

Verdict = suspect_table.Verdict
ENTRIES = ('e1', 'e2', 'e3')
POISON, INNOCENT, OTHER = b'poison!!', b'innocent', b'stranger'


def make_ledger(entry='e1'):
    return suspect_table.make_suspect_table(entry)


def die(where, endpoint, *digests, now_s=0.0):
    where.record_failure(
        suspect_table.EndpointFailure(endpoint, 1, frozenset(digests)), now_s
    )


def test_a_poison_request_is_refused_after_its_second_death_everywhere():
    """The caller of a poison request is refused wherever it sends it next.

    It kills a replica through e1, which tries it once more alone; that kills
    a second. e2 and e3 have only read the news and refuse it too.
    """
    first, second = make_ledger('e1'), make_ledger('e2')
    die(first, 'r1', POISON)
    assert first.classify_retry(POISON, 0.0) == Verdict.ISOLATE
    first.started(POISON, 'r2', 0.0)
    die(first, 'r2', POISON, now_s=1.0)
    assert first.classify_retry(POISON, 1.0) == Verdict.REFUSE
    second.merge(first.encode(), 1.5)
    assert second.classify(POISON, 'e2', 1.5) == Verdict.REFUSE
    third = make_ledger('e3')
    third.merge(second.encode(), 2.0)
    assert third.classify(POISON, 'e1', 2.0) == Verdict.REFUSE


def test_an_innocent_that_shared_the_endpoint_is_cleared_everywhere():
    """Who merely shared the replica is served as before once it has finished.

    The clearing wins over the suspicion even where it arrives first.
    """
    first, second = make_ledger('e1'), make_ledger('e2')
    die(first, 'r1', POISON, INNOCENT)
    before = first.encode()
    first.started(INNOCENT, 'r2', 0.0)
    first.ended(INNOCENT, 'r2', 1.0, whole=True)
    assert first.classify(INNOCENT, 'e1', 1.0) == Verdict.FREE
    second.merge(first.encode(), 1.0)
    second.merge(before, 2.0)
    assert second.classify(INNOCENT, 'e2', 9.0) == Verdict.FREE
    assert second.classify(POISON, 'e2', 9.0) == Verdict.ISOLATE


def test_a_resent_suspect_waits_for_news_and_runs_only_at_its_home():
    """A caller that sends a suspect to another entry is told to come back.

    Were every entry to try it, each would lose an endpoint before the news of
    the second death arrives.
    """
    home = suspect_table.home_entry(POISON, ENTRIES)
    for entry in ENTRIES:
        where = make_ledger(entry)
        die(where, 'r1', POISON)
        assert where.classify(POISON, home, 0.5) == Verdict.WAIT
        later = where.classify(POISON, home, 3.0)
        assert later == (Verdict.ISOLATE if entry == home else Verdict.WAIT)


def test_a_suspect_on_trial_elsewhere_is_not_tried_at_its_home():
    """The home waits while the entry that saw the death still tries it.

    Two trials at a time could cost two endpoints, a third death in all.
    """
    home = suspect_table.home_entry(POISON, ENTRIES)
    first, second = make_ledger('other'), make_ledger(home)
    die(first, 'r1', POISON)
    first.reserve_trial(POISON, 0.1)
    second.merge(first.encode(), 0.5)
    assert second.classify(POISON, home, 5.0) == Verdict.WAIT
    assert first.classify_retry(POISON, 5.0) == Verdict.ISOLATE
    first.started(POISON, 'r2', 5.0)
    second.merge(first.encode(), 5.5)
    assert second.classify(POISON, home, 5.5) == Verdict.WAIT
    first.ended(POISON, 'r2', 6.0, whole=False)
    second.merge(first.encode(), 6.5)
    assert second.classify(POISON, home, 7.0) == Verdict.ISOLATE


def test_suspects_do_not_share_an_endpoint_unless_very_many_died():
    """One suspect an endpoint after one death; a few after a rack's loss."""
    where = make_ledger()
    die(where, 'r1', POISON, INNOCENT)
    where.started(POISON, 'r2', 0.0)
    assert where.free_endpoints(['r2', 'r3'], 0.0) == {'r3'}
    for number in range(2):
        die(where, f'x{number}', INNOCENT)
    assert where.free_endpoints(['r2', 'r3'], 0.0) == {'r2', 'r3'}


def test_a_lost_rack_does_not_make_its_requests_poison():
    """A caller's request is lost twice within seconds as a rack goes.

    It was sent again to a replica of the same rack. Deaths so close that it
    had no part in are no request's doing: it is isolated, and refused only
    after one more death.
    """
    where = make_ledger()
    for number in range(3):
        die(where, f'r{number}', OTHER, now_s=float(number))
    for number in range(3, 5):
        die(where, f'r{number}', INNOCENT, now_s=2.0)
    assert where.classify_retry(INNOCENT, 3.0) == Verdict.ISOLATE
    die(where, 'r9', INNOCENT, now_s=60.0)
    assert where.classify_retry(INNOCENT, 60.0) == Verdict.REFUSE


def test_deaths_of_others_do_not_buy_a_poison_request_a_third():
    """Two replicas die by themselves; seconds later a poison request comes.

    It kills two more. Counted with them, its deaths passed for those of a
    lost rack and it killed a third endpoint (soak seed 205, processes).
    """
    where = make_ledger()
    die(where, 'r1', INNOCENT, now_s=0.0)
    die(where, 'r2', INNOCENT, now_s=1.7)
    die(where, 'r3', POISON, now_s=2.9)
    assert where.classify_retry(POISON, 2.9) == Verdict.ISOLATE
    die(where, 'r4', POISON, now_s=2.91)
    assert where.classify_retry(POISON, 2.91) == Verdict.REFUSE


def test_entries_put_suspects_on_disjoint_endpoints():
    """No two entries put suspects together, and every endpoint is used."""
    endpoints = [f'r{number}' for number in range(60)]
    shares = [
        suspect_table.trial_endpoints(e, ENTRIES, endpoints) for e in ENTRIES
    ]
    assert sum(len(share) for share in shares) == 60
    assert len(frozenset().union(*shares)) == 60


def test_a_death_that_two_entries_saw_counts_once():
    """Two entries report the same death; the request is not refused for it.

    A service at the same address that dies again a minute later counts anew.
    """
    first, second = make_ledger('e1'), make_ledger('e2')
    die(first, 'r1', INNOCENT)
    die(second, 'r1', INNOCENT, now_s=1.0)
    first.merge(second.encode(), 2.0)
    assert first.classify_retry(INNOCENT, 2.0) == Verdict.ISOLATE
    die(first, 'r1', INNOCENT, now_s=60.0)
    assert first.classify_retry(INNOCENT, 60.0) == Verdict.REFUSE


STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(['r1', 'r2', 'r3']),
        st.sampled_from([POISON, INNOCENT]),
        st.booleans(),
    ),
    max_size=12,
)


@hypothesis.given(STEPS, st.permutations(range(3)))
def test_merging_is_commutative_and_idempotent(steps, order):
    """Entries that have heard the same news judge alike, in any order."""
    sources = [make_ledger(entry) for entry in ENTRIES]
    for number, endpoint, digest, clears in steps:
        if clears:
            sources[number].ended(digest, endpoint, 0.0, whole=True)
        else:
            die(sources[number], endpoint, digest)
    bodies = [source.encode() for source in sources]
    one, other = make_ledger('a'), make_ledger('b')
    for body in bodies:
        one.merge(body, 0.0)
    for place in (*order, *order):
        other.merge(bodies[place], 0.0)
    for digest in (POISON, INNOCENT):
        assert one.classify_retry(digest, 0.0) == other.classify_retry(
            digest, 0.0
        )
    assert sorted(one.encode()) == sorted(other.encode())
