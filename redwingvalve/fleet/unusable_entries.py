"""Entries of the store that name no endpoint to use, with one log line each.

Load pattern: other writers keep an unusable entry for hours, while listings
repeat it at every change of the source of a watch. A log line is written for
each change of an entry, not for each listing. Memory is bounded by the entries
in the store.
"""

import typing

from redwingvalve.fleet import endpoints
from redwingvalve.observability import logs
from redwingvalve.platform import store

LOG = logs.make_logger('registry')
# Names and reasons may contain any amount of foreign text.
MAX_LOGGED_CHARACTERS = 200


# Revisions of an entry, and why they are unusable.
_Versions: typing.TypeAlias = set[tuple[int, str]]
# By name; entries without a readable name can't be told apart.
Entries: typing.TypeAlias = dict[str, _Versions]


class UnusableEntries:
    """The unusable entries that are known, by name, revision and reason."""

    def __init__(self) -> None:
        """Start without entries."""
        self._known: Entries = {}

    def record(
        self, stored: store.Document, reason: str, found: Entries
    ) -> None:
        """Add an entry of a listing to those found, and log it if it's new."""
        name = store.name_of(stored)
        version = (store.revision_or_zero(stored), reason)
        is_logged = version in self._known.get(name, ())
        found.setdefault(name, set()).add(version)
        if not is_logged:
            _log(name, reason)

    def replace(self, found: Entries) -> None:
        """Replace all entries with the unusable ones of a listing."""
        self._known = found

    def log_new(self, stored: store.Document, reason: str) -> None:
        """Log a state of an entry ahead of add, unless it is known."""
        if reason:
            self.record(stored, reason, self._known)

    def add(self, stored: store.Document, reason: str) -> None:
        """Add the state of an entry after a change."""
        name = store.name_of(stored)
        found: Entries = {}
        self.record(stored, reason, found)
        if not name:
            found[name] |= self._known.get(name, set())
        self._known.update(found)

    def remove(self, name: str) -> None:
        """Forget an entry that was removed or is usable again."""
        self._known.pop(name, None)


class UnknownServices:
    """Logs live endpoints whose service has no use for them.

    No route leads to them, and no replica is formed of them. They stay known,
    because a later configuration may name their service. A heartbeat changes
    nothing about them, so each is logged once for each reason.
    """

    def __init__(self) -> None:
        """Start without a configuration, when nothing is known."""
        self._has_engine: typing.Mapping[str, bool] | None = None
        self._logged: dict[str, str] = {}

    def set_services(self, has_engine: typing.Mapping[str, bool]) -> None:
        """Apply the configured services, and which of them serve models."""
        self._has_engine = has_engine

    def check(self, live: typing.Mapping[str, endpoints.Endpoint]) -> None:
        """Log endpoints that have become unused since the previous call."""
        if self._has_engine is None:
            return
        found = {}
        for name, endpoint in live.items():
            reason = _unused_reason(endpoint, self._has_engine)
            if not reason:
                continue
            found[name] = reason
            if self._logged.get(name) != reason:
                _log(name, reason)
        self._logged = found


def _unused_reason(
    endpoint: endpoints.Endpoint, has_engine: typing.Mapping[str, bool]
) -> str:
    if endpoint.service not in has_engine:
        return f'unknown service {endpoint.service!r}'
    if has_engine[endpoint.service] and not endpoint.has_model_fields:
        return 'a field that its model needs is missing'
    return ''


def _log(name: str, reason: str) -> None:
    LOG.warning(
        'ignoring unusable endpoint entry',
        extra={'entry': printable(name), 'reason': printable(reason)},
    )


def printable(text: str) -> str:
    """Return foreign text for a log line, shortened and escaped."""
    shortened = text[:MAX_LOGGED_CHARACTERS]
    return shortened.encode('ascii', 'backslashreplace').decode('ascii')
