"""PNG plots of counts over time."""

import io
from collections import abc as collections_abc

from matplotlib import figure

FIGURE_SIZE_INCHES = (9.0, 4.2)
DOTS_PER_INCH = 110


def draw_stacked(
    moments_s: collections_abc.Sequence[float],
    series: collections_abc.Mapping[str, collections_abc.Sequence[int]],
) -> bytes:
    """Return a PNG with the counts of each series, one above the other.

    moments_s are the beginnings of equal spans, in seconds.
    """
    fig = figure.Figure(
        figsize=FIGURE_SIZE_INCHES, dpi=DOTS_PER_INCH, layout='constrained'
    )
    axes = fig.subplots()
    width_s = moments_s[1] - moments_s[0] if len(moments_s) > 1 else 1.0
    below = [0 for _ in moments_s]
    for name, counts in series.items():
        axes.bar(
            moments_s, counts, width_s, bottom=below, align='edge', label=name
        )
        below = [low + count for low, count in zip(below, counts, strict=True)]
    axes.set_xlabel('seconds')
    axes.set_ylabel('requests')
    axes.legend(fontsize=7)
    buffer = io.BytesIO()
    fig.savefig(buffer, format='png')
    return buffer.getvalue()
