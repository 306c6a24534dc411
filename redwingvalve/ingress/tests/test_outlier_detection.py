"""Outlier detection: who is ejected, and how an endpoint returns."""

import random

import pytest

from redwingvalve.ingress import outlier_detection


class Pool:
    """A detector with a clock that the test sets."""

    def __init__(self, endpoints=6):
        self.now_s = 100.0
        self.names = [f'e{number}' for number in range(endpoints)]
        self.detector = outlier_detection.OutlierDetector(lambda: self.now_s)
        self.detector.tick(self.names)

    def record(self, name, *results, reporter='vm-1'):
        """Record results, 'x' for a failure and '.' for a success."""
        for result in ''.join(results):
            self.detector.record(name, reporter, is_failure=result == 'x')

    def pass_time(self, duration_s):
        self.now_s += duration_s
        self.detector.tick(self.names)

    def ejected(self):
        return {name for name in self.names if self.detector.is_ejected(name)}

    def probe(self, name, result):
        assert self.detector.needs_probe(name)
        self.detector.start_probe(name)
        self.detector.record_probe(name, is_failure=result == 'x')


@pytest.mark.parametrize(
    ('results', 'is_ejected'),
    [
        ('x', False),
        ('xx', True),
        ('x.x', True),
        ('x.......x', False),
        ('.x...x.x', True),
        ('....................', False),
    ],
)
def test_failures_close_to_each_other_eject(results, is_ejected):
    pool = Pool()
    pool.record('e1', results)
    assert ('e1' in pool.ejected()) is is_ejected


def test_an_endpoint_that_fails_as_often_as_all_stays_in_use():
    """A route that fails often by itself ejects nobody for long."""
    pool = Pool(endpoints=3)
    rng = random.Random(1)
    ejected_steps = 0
    for _ in range(3000):
        name = rng.choice(sorted(set(pool.names) - pool.ejected()))
        pool.record(name, 'x' if rng.random() < 0.14 else '.')
        pool.pass_time(0.05)
        for ejected in pool.ejected():
            if pool.detector.needs_probe(ejected):
                pool.probe(ejected, 'x' if rng.random() < 0.14 else '.')
        ejected_steps += bool(pool.ejected())
    assert ejected_steps < 0.1 * 3000


def test_a_fault_of_all_endpoints_ejects_nobody():
    """Without any endpoint left, a short fault would outlast itself."""
    pool = Pool()
    for _ in range(5):
        for name in pool.names:
            pool.record(name, 'x')
    assert not pool.ejected()


def test_a_node_that_is_cut_off_ejects_nobody():
    """All its requests fail, wherever it sends them."""
    pool = Pool(endpoints=12)
    for name in pool.names:
        pool.record(name, '....', reporter='vm-2')
    for name in pool.names:
        pool.record(name, 'xx', reporter='vm-1')
        pool.record(name, '.', reporter='vm-2')
    assert len(pool.ejected()) <= 1


def test_a_node_that_is_cut_off_ends_no_ejection():
    """Its failures say nothing of the endpoints, in either direction."""
    pool = Pool(endpoints=12)
    for name in pool.names:
        pool.record(name, '....', reporter='vm-2')
    pool.record('e1', 'xx', reporter='vm-2')
    for name in pool.names[2:]:
        pool.record(name, 'xx', reporter='vm-1')
        pool.record(name, '.', reporter='vm-2')
    assert 'e1' in pool.ejected()


def test_at_most_half_of_a_pool_is_ejected():
    pool = Pool()
    for name in pool.names[:4]:
        pool.record(name, 'xx', reporter=f'vm-{name}')
    assert len(pool.ejected()) == 3
    # The fourth one can't be ejected, but counts as full.
    assert pool.detector.penalty('e3') == 1


def test_an_ejected_endpoint_gets_one_probe_at_a_time():
    pool = Pool()
    pool.record('e1', 'xx')
    assert not pool.detector.needs_probe('e1')
    pool.pass_time(outlier_detection.EJECTION_MIN_S)
    assert pool.detector.needs_probe('e1')
    pool.detector.start_probe('e1')
    assert not pool.detector.needs_probe('e1')
    pool.pass_time(outlier_detection.PROBE_TIMEOUT_S)
    assert pool.detector.needs_probe('e1')


def test_probes_become_rarer_while_they_fail():
    pool = Pool()
    pool.record('e1', 'xx')
    pool.pass_time(outlier_detection.EJECTION_MIN_S)
    pool.probe('e1', 'x')
    pool.pass_time(outlier_detection.EJECTION_MIN_S)
    assert not pool.detector.needs_probe('e1')
    pool.pass_time(outlier_detection.EJECTION_MIN_S)
    assert pool.detector.needs_probe('e1')


def test_an_endpoint_returns_on_probation():
    """An endpoint that fails a part of its requests passes some probes."""
    pool = Pool()
    pool.record('e1', 'xx')
    pool.pass_time(outlier_detection.EJECTION_MIN_S)
    pool.probe('e1', '.')
    assert not pool.ejected()
    pool.record('e1', 'x')
    assert pool.ejected() == {'e1'}


def test_requests_sent_before_the_ejection_do_not_end_it():
    """Streams that started earlier complete while new ones fail."""
    pool = Pool()
    pool.record('e1', 'xx')
    assert not pool.detector.is_usable('e1')
    pool.record('e1', '....')
    assert pool.ejected() == {'e1'}
    # It is the last resort until its next failure.
    assert pool.detector.is_usable('e1')
    assert pool.detector.penalty('e1') == 1
    pool.record('e1', 'x')
    assert not pool.detector.is_usable('e1')


def test_without_probes_an_endpoint_returns_after_a_while():
    """Requests that must not run twice are no probes."""
    pool = Pool()
    pool.record('e1', 'xx')
    pool.pass_time(outlier_detection.EJECTION_MIN_S)
    pool.pass_time(outlier_detection.UNPROBED_RETURN_S + 0.1)
    assert not pool.ejected()


def test_an_endpoint_that_is_gone_is_forgotten():
    pool = Pool(endpoints=2)
    pool.record('e1', 'xx')
    pool.names.remove('e1')
    pool.pass_time(0.1)
    pool.names.append('e1')
    assert not pool.ejected()


def test_an_ejection_ends_with_its_process():
    """The next process would be out of use although it is healthy."""
    pool = Pool()
    pool.record('e0', 'xx')
    pool.record('e1', 'x')
    assert pool.ejected() == {'e0'}
    for name in ('e0', 'e1'):
        pool.detector.forget(name)
    pool.pass_time(0.1)
    assert not pool.ejected()
    assert not any(map(pool.detector.penalty, pool.names))
    pool.record('e0', 'x')
    assert not pool.ejected()
