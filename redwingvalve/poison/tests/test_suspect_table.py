import hypothesis
from hypothesis import strategies as st

from redwingvalve.poison import suspect_table

Verdict = suspect_table.Verdict
ENTRIES = ('e1', 'e2', 'e3')
POISON, HARMLESS, OTHER = b'poison!!', b'harmless', b'stranger'


def make_table(entry='e1'):
    return suspect_table.make_suspect_table(entry)


def fail(where, endpoint, *digests, now_s=0.0):
    where.record_failure(
        suspect_table.EndpointFailure(endpoint, 1, frozenset(digests)), now_s
    )


def test_a_poison_request_is_refused_everywhere_after_two_failures():
    """A poison request is refused at every entry after two failures.

    It crashes a replica through e1, which runs it once more alone; that crashes
    a second one. e2 and e3 have only the published facts and refuse it too.
    """
    first, second = make_table('e1'), make_table('e2')
    fail(first, 'r1', POISON)
    assert first.classify_retry(POISON, 0.0) == Verdict.ISOLATE
    first.started(POISON, 'r2', 0.0)
    fail(first, 'r2', POISON, now_s=1.0)
    assert first.classify_retry(POISON, 1.0) == Verdict.REFUSE
    second.merge(first.encode(), 1.5)
    assert second.classify(POISON, 'e2', 1.5) == Verdict.REFUSE
    third = make_table('e3')
    third.merge(second.encode(), 2.0)
    assert third.classify(POISON, 'e1', 2.0) == Verdict.REFUSE


def test_a_request_that_shared_the_endpoint_is_cleared_everywhere():
    """A request that only shared the replica is cleared once it finishes.

    The clearing overrides the suspicion even if it arrives first.
    """
    first, second = make_table('e1'), make_table('e2')
    fail(first, 'r1', POISON, HARMLESS)
    before = first.encode()
    first.started(HARMLESS, 'r2', 0.0)
    first.ended(HARMLESS, 'r2', 1.0, whole=True)
    assert first.classify(HARMLESS, 'e1', 1.0) == Verdict.FREE
    second.merge(first.encode(), 1.0)
    second.merge(before, 2.0)
    assert second.classify(HARMLESS, 'e2', 9.0) == Verdict.FREE
    assert second.classify(POISON, 'e2', 9.0) == Verdict.ISOLATE


def test_a_resent_suspect_waits_and_runs_only_at_its_home():
    """A caller that retries a suspect at another entry must wait.

    If every entry ran it, each would lose an endpoint before the fact of the
    second failure arrives.
    """
    home = suspect_table.home_entry(POISON, ENTRIES)
    for entry in ENTRIES:
        where = make_table(entry)
        fail(where, 'r1', POISON)
        assert where.classify(POISON, home, 0.5) == Verdict.WAIT
        later = where.classify(POISON, home, 3.0)
        assert later == (Verdict.ISOLATE if entry == home else Verdict.WAIT)


def test_a_suspect_on_trial_elsewhere_is_not_tried_at_its_home():
    """The home entry waits while the entry that saw the failure runs a trial.

    Two trials at a time could crash two endpoints, three in all.
    """
    home = suspect_table.home_entry(POISON, ENTRIES)
    first, second = make_table('other'), make_table(home)
    fail(first, 'r1', POISON)
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


def test_suspects_share_an_endpoint_only_after_a_mass_failure():
    """One suspect per endpoint after one failure; a few after a lost rack."""
    where = make_table()
    fail(where, 'r1', POISON, HARMLESS)
    where.started(POISON, 'r2', 0.0)
    assert where.free_endpoints(['r2', 'r3'], 0.0) == {'r3'}
    for number in range(2):
        fail(where, f'x{number}', HARMLESS)
    assert where.free_endpoints(['r2', 'r3'], 0.0) == {'r2', 'r3'}


def test_a_lost_rack_does_not_refuse_its_requests():
    """A request fails twice within seconds as its rack is lost.

    It was retried on a replica of the same rack. With so many failures that
    did not involve it, it is only isolated, and refused after one more failure.
    """
    where = make_table()
    for number in range(3):
        fail(where, f'r{number}', OTHER, now_s=float(number))
    for number in range(3, 5):
        fail(where, f'r{number}', HARMLESS, now_s=2.0)
    assert where.classify_retry(HARMLESS, 3.0) == Verdict.ISOLATE
    fail(where, 'r9', HARMLESS, now_s=60.0)
    assert where.classify_retry(HARMLESS, 60.0) == Verdict.REFUSE


def test_unrelated_failures_do_not_allow_a_poison_request_a_third():
    """Two replicas fail by themselves; seconds later a poison request arrives.

    It crashes two more. If all four counted as a lost rack, it would crash a
    third endpoint (found by soak seed 205, processes).
    """
    where = make_table()
    fail(where, 'r1', HARMLESS, now_s=0.0)
    fail(where, 'r2', HARMLESS, now_s=1.7)
    fail(where, 'r3', POISON, now_s=2.9)
    assert where.classify_retry(POISON, 2.9) == Verdict.ISOLATE
    fail(where, 'r4', POISON, now_s=2.91)
    assert where.classify_retry(POISON, 2.91) == Verdict.REFUSE


def test_entries_put_suspects_on_disjoint_endpoints():
    """The sets of the entries are disjoint and cover every endpoint."""
    endpoints = [f'r{number}' for number in range(60)]
    shares = [
        suspect_table.trial_endpoints(e, ENTRIES, endpoints) for e in ENTRIES
    ]
    assert sum(len(share) for share in shares) == 60
    assert len(frozenset().union(*shares)) == 60


def test_a_failure_that_two_entries_report_counts_once():
    """Two entries report the same failure; the request is not refused for it.

    If a service at the same address fails a minute later, that counts again.
    """
    first, second = make_table('e1'), make_table('e2')
    fail(first, 'r1', HARMLESS)
    fail(second, 'r1', HARMLESS, now_s=1.0)
    first.merge(second.encode(), 2.0)
    assert first.classify_retry(HARMLESS, 2.0) == Verdict.ISOLATE
    fail(first, 'r1', HARMLESS, now_s=60.0)
    assert first.classify_retry(HARMLESS, 60.0) == Verdict.REFUSE


STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(['r1', 'r2', 'r3']),
        st.sampled_from([POISON, HARMLESS]),
        st.booleans(),
    ),
    max_size=12,
)


@hypothesis.given(STEPS, st.permutations(range(3)))
def test_merging_is_commutative_and_idempotent(steps, order):
    """Entries with the same facts reach the same verdicts in any order."""
    sources = [make_table(entry) for entry in ENTRIES]
    for number, endpoint, digest, clears in steps:
        if clears:
            sources[number].ended(digest, endpoint, 0.0, whole=True)
        else:
            fail(sources[number], endpoint, digest)
    bodies = [source.encode() for source in sources]
    one, other = make_table('a'), make_table('b')
    for body in bodies:
        one.merge(body, 0.0)
    for index in (*order, *order):
        other.merge(bodies[index], 0.0)
    for digest in (POISON, HARMLESS):
        assert one.classify_retry(digest, 0.0) == other.classify_retry(
            digest, 0.0
        )
    assert sorted(one.encode()) == sorted(other.encode())
