"""Directory from which an entry answers discovery requests."""

import random

from redwingvalve.discovery import entry_selection, load_reports
from redwingvalve.entry import directory
from redwingvalve.membership import members
from redwingvalve.news import bus


class BalancedDirectory(directory.EntryDirectory):
    """Returns a few entries, drawn at random for each caller."""

    def __init__(
        self,
        present: members.Members,
        news: bus.NewsBus,
        keep_s: float,
        rng: random.Random,
    ) -> None:
        """Select from the members of present, for about keep_s."""
        self._members = present
        self._news = news
        self._keep_s = keep_s
        self._rng = rng

    def entries(self) -> directory.EntryList:
        """Return the entries for one caller."""
        selected = entry_selection.select_entries(
            self._members.known(),
            load_reports.read_loads(self._news),
            self._members.local_member(),
            self._keep_s,
            self._rng,
            isolated=self._members.isolated(),
        )
        return directory.EntryList(
            tuple(
                directory.EntryAddress(
                    f'{member.host}:{member.http_port}', member.data_centre
                )
                for member in selected.entries
            ),
            round(selected.keep_s, 1),
        )


def make_balanced_directory(
    present: members.Members,
    news: bus.NewsBus,
    keep_s: float,
    rng: random.Random,
) -> directory.EntryDirectory:
    """Return a directory that balances callers over entries."""
    return BalancedDirectory(present, news, keep_s, rng)
