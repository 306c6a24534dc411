"""Which entries a caller may connect to, as GET /v1/entries answers it."""

import abc

import attrs

from redwingvalve.membership import members


@attrs.frozen
class EntryAddress:
    """An entry that takes new callers; address is host:port."""

    address: str
    data_centre: str


@attrs.frozen
class EntryList:
    """Addresses in the order of preference; they may be kept keep_s."""

    entries: tuple[EntryAddress, ...]
    keep_s: float


class EntryDirectory(abc.ABC):
    """Names the entries; the discovery slice decides which."""

    @abc.abstractmethod
    def entries(self) -> EntryList:
        """Return the entries to name now."""


class MembersDirectory(EntryDirectory):
    """Every entry that membership believes alive."""

    def __init__(self, membership: members.Members, keep_s: float) -> None:
        """Name the entries of known for keep_s."""
        self._members = membership
        self._keep_s = keep_s

    def entries(self) -> EntryList:
        """Return the live entries."""
        return EntryList(
            tuple(
                EntryAddress(
                    f'{member.host}:{member.http_port}', member.data_centre
                )
                for member in self._members.alive()
            ),
            self._keep_s,
        )


def make_members_directory(
    membership: members.Members, keep_s: float
) -> EntryDirectory:
    """Return a directory that follows membership alone."""
    return MembersDirectory(membership, keep_s)
