"""Settings that every test shares."""

import os

import hypothesis

# CI gives the same verdict each time: examples are derived from the test,
# not from a random seed, and a slow machine fails nothing.
hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
