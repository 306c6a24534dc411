"""TLS contexts whose certificates are read again without a stop.

Certificates are renewed every few weeks; a process that holds the old one
would be refused by its peers on the day that it expires. New handshakes use
whatever the context last loaded, so reloading into the same context suffices
and open connections go on.
"""

import pathlib
import ssl

import attrs
from expression import Error, Ok, Result

from redwingvalve.core import clock, findings
from redwingvalve.observability import logs
from redwingvalve.settings import schema

RELOAD_INTERVAL_S = 5.0
LOGGER = logs.make_logger('tls')


@attrs.frozen
class _Stamp:
    """When a file last changed and how long it was."""

    modified_ns: int
    size_bytes: int


class ReloadingContext:
    """One SSLContext that follows its files."""

    def __init__(
        self, settings: schema.TlsSettings, context: ssl.SSLContext
    ) -> None:
        """Load the files once; ssl.SSLError and OSError reach the caller."""
        self.context = context
        self._settings = settings
        self._stamps = self._read_stamps()
        self._load()

    def reload_if_changed(self) -> bool:
        """Load the files again if one changed; keep the old pair on error.

        Certificate and key are replaced one after the other; in between they
        do not belong together. Loading fails then, the old pair stays in
        force, and the next round loads both.
        """
        try:
            stamps = self._read_stamps()
        except OSError as error:
            LOGGER.warning('Certificate files cannot be read: %s.', error)
            return False
        if stamps == self._stamps:
            return False
        try:
            self._load()
        except (ssl.SSLError, OSError) as error:
            LOGGER.warning('New certificates are not usable yet: %s.', error)
            return False
        self._stamps = stamps
        LOGGER.info('Certificates were reloaded.')
        return True

    async def follow(self, ticker: clock.Clock) -> None:
        """Reload for ever, every RELOAD_INTERVAL_S."""
        while True:
            await ticker.sleep(RELOAD_INTERVAL_S)
            self.reload_if_changed()

    def _load(self) -> None:
        # A throwaway context proves that the pair fits before the live one
        # is touched: a half-loaded live context would refuse every peer.
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        for context in (trial, self.context):
            context.load_cert_chain(
                self._settings.certificate_file, self._settings.key_file
            )
        if self._settings.authority_file:
            self.context.load_verify_locations(self._settings.authority_file)

    def _read_stamps(self) -> tuple[_Stamp, ...]:
        return tuple(
            _stamp(name)
            for name in (
                self._settings.certificate_file,
                self._settings.key_file,
                self._settings.authority_file,
            )
            if name
        )


def make_server_context(
    settings: schema.TlsSettings, *, mutual: bool
) -> Result[ReloadingContext | None, findings.Findings]:
    """Return a server's context, or None when no certificate is set.

    With mutual, peers must show a certificate of the same authority.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    if mutual:
        context.verify_mode = ssl.CERT_REQUIRED
    return _make(settings, context)


def make_client_context(
    settings: schema.TlsSettings,
) -> Result[ReloadingContext | None, findings.Findings]:
    """Return the context with which one process calls another.

    Peers are known by IP number, which changes with every replaced VM, so
    names are not checked: the certificate must come from our authority.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _make(settings, context)


def _make(
    settings: schema.TlsSettings, context: ssl.SSLContext
) -> Result[ReloadingContext | None, findings.Findings]:
    if not settings.certificate_file:
        return Ok(None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        return Ok(ReloadingContext(settings, context))
    except (ssl.SSLError, OSError) as error:
        place = findings.Location(settings.certificate_file)
        finding = findings.Finding(place, f'cannot be used for TLS: {error}')
        return Error(findings.Findings((finding,)))


def _stamp(name: str) -> _Stamp:
    status = pathlib.Path(name).stat()
    return _Stamp(status.st_mtime_ns, status.st_size)
