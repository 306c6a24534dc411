"""What ran on a stand-in, kept for proofs."""

import attrs


@attrs.define
class LedgerEntry:
    """One run; times are wall seconds, finished is None until its end.

    cut says why a run ended before its end: cancelled, disconnected, order
    (nothing had failed), incomplete (a VM had failed), died. missing_s is how
    long a VM of the replica had been missing when the request arrived, 0.0
    when none was. first_token is where a resume went on.
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
    """All runs in the order of their start; it outlives a simulated death."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: list[LedgerEntry] = []

    def start(self, entry: LedgerEntry) -> LedgerEntry:
        """Keep a run that starts now."""
        self.entries.append(entry)
        return entry

    def as_json(self) -> list[dict[str, object]]:
        """Return all entries as plain JSON."""
        return [attrs.asdict(entry) for entry in self.entries]
