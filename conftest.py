"""Shared pytest and Hypothesis configuration."""

import logging
import os
import pathlib

import hypothesis
import pytest

# Known failures, one per line: test id, command and seed, observed failure and
# issue, separated by " | ". These tests run and are printed, but their failure
# does not fail the test run.
KNOWN_RED = pathlib.Path(__file__).with_name('KNOWN-RED.txt')

# Results in CI are deterministic: examples are derived from the test instead
# of a random seed, and no test fails because the machine is slow.
hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
# For runs by hand that look for failures: new examples in each run, or those
# of --hypothesis-seed.
hypothesis.settings.register_profile(
    'free',
    derandomize=False,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture(autouse=True)
def restored_logger():
    """Undo what a test does to the package's logger.

    Otherwise log lines are captured twice, or not at all, by later tests of a
    process whose earlier test configured the logs of a daemon.
    """
    logger = logging.getLogger('redwingvalve')
    handlers, level = list(logger.handlers), logger.level
    propagate = logger.propagate
    yield
    logger.handlers[:] = handlers
    logger.setLevel(level)
    logger.propagate = propagate


def known_red():
    """Return the entries of KNOWN-RED.txt by test id."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    entries = (line.partition(' | ') for line in lines if line.strip())
    return {test_id: rest for test_id, _, rest in entries}


def pytest_collection_modifyitems(items):
    """Mark known failures as expected failures (non-strict xfail)."""
    entries = known_red()
    for item in items:
        if item.nodeid in entries:
            mark = pytest.mark.xfail(reason=entries[item.nodeid], strict=False)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    """Print each known failure, even if it passed in this run."""
    for test_id, rest in known_red().items():
        terminalreporter.write_line(f'KNOWN RED {test_id}: {rest}')
