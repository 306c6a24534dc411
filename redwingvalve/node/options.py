"""Reads the options of the node program.

Load pattern: all nodes are killed and restart at once. Importing argparse takes
longer than reading these options, and delays the start of each node.
"""

import math
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import hedge_limit

HEDGE_SHARE = '--hedge-share'


class OptionError(Exception):
    """An option is invalid."""


@attrs.frozen
class Options:
    """What the operator sets for the process."""

    hedge_shares: hedge_limit.HedgeShares = attrs.field(
        factory=hedge_limit.HedgeShares
    )
    # Arguments that are not known, and ignored as before there were options.
    unknown: tuple[str, ...] = ()


def parse(arguments: collections_abc.Sequence[str]) -> Options:
    """Return the options; raises OptionError."""
    default = 0.0
    by_service: dict[str, float] = {}
    unknown = []
    left = list(arguments)
    while left:
        name, has_text, text = left.pop(0).partition('=')
        if name != HEDGE_SHARE:
            unknown.append(name)
            continue
        if not has_text and not left:
            raise OptionError(f'{HEDGE_SHARE} needs a share')
        service, _, share = (text if has_text else left.pop(0)).rpartition('=')
        if service:
            by_service[service] = _parse_share(share)
        else:
            default = _parse_share(share)
    return Options(hedge_limit.HedgeShares(default, by_service), tuple(unknown))


def _parse_share(text: str) -> float:
    try:
        share = float(text)
    except ValueError:
        share = math.nan
    if not 0 <= share <= 1:
        raise OptionError(
            f'{HEDGE_SHARE}: {text!r} is not a share between 0 and 1'
        )
    return share
