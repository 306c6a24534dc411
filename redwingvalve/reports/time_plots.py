"""PNG plots of counts over time."""

import io
from collections import abc as collections_abc

from matplotlib import figure

FIGURE_SIZE_INCHES = (9.0, 4.2)
DOTS_PER_INCH = 110


def draw_stacked(
    starts_s: collections_abc.Sequence[float],
    series: collections_abc.Mapping[str, collections_abc.Sequence[int]],
) -> bytes:
    """Return a PNG with a stacked bar chart of the counts of each series.

    starts_s are the start times of intervals of equal length, in seconds.
    """
    fig = figure.Figure(
        figsize=FIGURE_SIZE_INCHES, dpi=DOTS_PER_INCH, layout='constrained'
    )
    axes = fig.subplots()
    width_s = starts_s[1] - starts_s[0] if len(starts_s) > 1 else 1.0
    bottoms = [0 for _ in starts_s]
    for name, counts in series.items():
        axes.bar(
            starts_s, counts, width_s, bottom=bottoms, align='edge', label=name
        )
        bottoms = [
            bottom + count
            for bottom, count in zip(bottoms, counts, strict=True)
        ]
    axes.set_xlabel('time (s)')
    axes.set_ylabel('requests')
    axes.legend(fontsize=7)
    buffer = io.BytesIO()
    fig.savefig(buffer, format='png')
    return buffer.getvalue()
