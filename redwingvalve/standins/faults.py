"""Fault injection for fake engines and services, set over HTTP."""

import typing

import attrs


@attrs.define
class EngineFaults:
    """Faults of an engine or service; all are off by default.

    Times are monotonic. unreachable drops new requests while open streams
    continue. crossed and truncate are the numbers of responses still to be
    corrupted: crossed returns the response of another request.
    serve_incomplete lets a head generate although a VM of its replica is
    missing, as a faulty engine would.
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
        """Whether to cross this response; decrement the counter if so."""
        if not self.crossed:
            return False
        self.crossed -= 1
        return True

    def take_truncate(self) -> bool:
        """Whether to truncate this response; decrement the counter if so."""
        if not self.truncate:
            return False
        self.truncate -= 1
        return True


def set_fault(
    faults: EngineFaults, fault: dict[str, typing.Any], now_s: float
) -> None:
    """Set a fault other than die; ValueError if it is unknown."""
    match fault['name']:
        case 'pause':
            duration_s = float(fault.get('duration_s', 1.0))
            faults.paused_until_s = now_s + duration_s
        case 'unreachable':
            duration_s = float(fault.get('duration_s', 1.0))
            faults.unreachable_until_s = now_s + duration_s
        case 'straggle':
            faults.straggle_factor = float(fault.get('factor', 10.0))
        case 'poison':
            faults.poison_marker = str(fault['marker'])
            faults.restart_after_s = float(fault.get('restart_after_s', 0.0))
        case 'crossed' | 'truncate' as counter:
            setattr(faults, counter, int(fault.get('count', 1)))
        case 'serve-incomplete':
            faults.serve_incomplete = True
        case unknown:
            raise ValueError(f'unknown fault {unknown!r}')
