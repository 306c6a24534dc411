"""Record of the requests that ran on a fake, for checks by tests."""

import attrs


@attrs.define
class LedgerEntry:
    """One run; times are wall-clock seconds, finished is None until the end.

    cut says why a run stopped early: cancelled, disconnected, order (an order
    without a fault), incomplete (a VM had failed) or died. missing_s is how
    long a VM of the replica had been missing when the request arrived, 0.0
    if none was. first_token is the position at which a resumed run continued.
    """

    request_id: str
    started: float
    digest: str
    epoch: int = 0
    replica: str = ''
    vm: str = ''
    path: str = ''
    first_token: int = 0
    tokens: int = 0
    finished: float | None = None
    cut: str = ''
    missing_s: float = 0.0
    members: tuple[str, ...] = ()


class Ledger:
    """All runs by start time; kept across simulated crashes."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: list[LedgerEntry] = []

    def start(self, entry: LedgerEntry) -> LedgerEntry:
        """Add a run that starts now."""
        self.entries.append(entry)
        return entry

    def as_json(self) -> list[dict[str, object]]:
        """Return all entries as JSON-compatible values."""
        return [attrs.asdict(entry) for entry in self.entries]
