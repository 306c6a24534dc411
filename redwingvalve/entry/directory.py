"""The entries that callers may connect to, for GET /v1/entries."""

import abc

import attrs

from redwingvalve.membership import members


@attrs.frozen
class EntryAddress:
    """An entry that accepts new connections; address is host:port."""

    address: str
    data_centre: str


@attrs.frozen
class EntryList:
    """Addresses in order of preference, valid for keep_s seconds."""

    entries: tuple[EntryAddress, ...]
    keep_s: float


class EntryDirectory(abc.ABC):
    """Lists the entries; the discovery package decides which."""

    @abc.abstractmethod
    def entries(self) -> EntryList:
        """Return the entries to list now."""


class MembersDirectory(EntryDirectory):
    """Lists every entry that membership considers alive."""

    def __init__(self, membership: members.Members, keep_s: float) -> None:
        """List the entries of membership, valid for keep_s."""
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
    """Return a directory that uses only membership."""
    return MembersDirectory(membership, keep_s)
