"""Faults of stand-ins, switched on over their own HTTP interface."""

import typing

import attrs


@attrs.define
class EngineFaults:
    """Switches of an engine or service; all off by default.

    Times are monotonic; unreachable drops new requests and lets streams go
    on. crossed and truncate count the answers still to be spoiled.
    serve_incomplete lets a head answer although a VM of its replica is
    missing, as a wrong engine would.
    """

    paused_until_s: float = 0.0
    unreachable_until_s: float = 0.0
    straggle_factor: float = 1.0
    poison_marker: str = ''
    restart_after_s: float = 0.0
    crossed: int = 0
    truncate: int = 0
    serve_incomplete: bool = False

    def take_crossed(self) -> bool:
        """Tell whether this answer is to be crossed, and count it."""
        if not self.crossed:
            return False
        self.crossed -= 1
        return True

    def take_truncate(self) -> bool:
        """Tell whether this answer is to be truncated, and count it."""
        if not self.truncate:
            return False
        self.truncate -= 1
        return True


def set_fault(
    faults: EngineFaults, wanted: dict[str, typing.Any], now_s: float
) -> None:
    """Switch on one fault other than die; ValueError when unknown."""
    match wanted['name']:
        case 'pause':
            duration_s = float(wanted.get('duration_s', 1.0))
            faults.paused_until_s = now_s + duration_s
        case 'unreachable':
            duration_s = float(wanted.get('duration_s', 1.0))
            faults.unreachable_until_s = now_s + duration_s
        case 'straggle':
            faults.straggle_factor = float(wanted.get('factor', 10.0))
        case 'poison':
            faults.poison_marker = str(wanted['marker'])
            faults.restart_after_s = float(wanted.get('restart_after_s', 0.0))
        case 'crossed' | 'truncate' as spoiled:
            setattr(faults, spoiled, int(wanted.get('count', 1)))
        case 'serve-incomplete':
            faults.serve_incomplete = True
        case unknown:
            raise ValueError(f'unknown fault {unknown!r}')
