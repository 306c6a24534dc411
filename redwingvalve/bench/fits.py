"""Straight lines through measured points, with the error of the slope."""

import math
from collections import abc as collections_abc

import attrs


@attrs.frozen
class Line:
    """y = intercept + slope * x; errors are standard errors."""

    intercept: float
    slope: float
    slope_error: float
    residual: float

    def at(self, place: float) -> float:
        """Return the line's value."""
        return self.intercept + self.slope * place


def fit_line(
    points: collections_abc.Sequence[tuple[float, float]],
) -> Line:
    """Return the least-squares line; at least two different x are needed."""
    count = len(points)
    mean_place = sum(place for place, _ in points) / count
    mean_reading = sum(reading for _, reading in points) / count
    spread = sum((place - mean_place) ** 2 for place, _ in points)
    slope = (
        sum(
            (place - mean_place) * (reading - mean_reading)
            for place, reading in points
        )
        / spread
    )
    intercept = mean_reading - slope * mean_place
    squares = sum(
        (reading - intercept - slope * place) ** 2 for place, reading in points
    )
    residual = math.sqrt(squares / max(count - 2, 1))
    return Line(intercept, slope, residual / math.sqrt(spread), residual)
