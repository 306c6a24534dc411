"""Fits of measured slopes."""

import pytest

from redwingvalve.bench import fits


def test_a_line_is_found_with_its_error():
    exact = fits.fit_line([(x, 2 + 3 * x) for x in (1, 2, 5)])
    assert exact.at(10) == pytest.approx(32)
    assert exact.slope_error == pytest.approx(0, abs=1e-9)
    noisy = fits.fit_line([(0, 0.1), (1, 0.9), (2, 2.1), (3, 2.9)])
    assert noisy.slope == pytest.approx(0.96)
    assert 0.02 < noisy.slope_error < 0.1
