"""Bearer tokens of operators, stored as salted hashes.

A token is rwv_<id>_<secret>: the id finds the record without trying every
hash. The secret has 256 random bits, so the hash need not be slow to resist
guessing; argon2 at small cost salts it and keeps the time on the loop short.
"""

import contextlib
import hashlib
import hmac
import secrets
import typing

import argon2
import attrs
import cattrs
from argon2 import exceptions as argon2_exceptions

from redwingvalve.administration import rights
from redwingvalve.platform_api import object_api

KIND = 'tokens'
PREFIX = 'rwv'
ID_BYTES = 6
SECRET_BYTES = 32
PARTS = 3
REFRESH_INTERVAL_S = 5.0
# Known-good tokens are remembered so that a script's hundred calls cost one
# hash; the bound keeps the memory of a busy controller flat.
REMEMBERED_TOKENS = 1000
HASHER = argon2.PasswordHasher(time_cost=1, memory_cost=8192, parallelism=1)


@attrs.frozen
class TokenRecord:
    """A token as the store keeps it; the secret itself is never kept."""

    token_id: str
    secret_hash: str
    name: str
    team: str
    role: rights.Role
    scopes: tuple[str, ...] = ('*',)
    expires_at_s: float = 0.0
    revoked: bool = False


@attrs.frozen
class IssuedToken:
    """A new token; bearer is shown once and never again."""

    bearer: str
    record: TokenRecord


def issue(
    name: str,
    team: str,
    role: rights.Role,
    scopes: tuple[str, ...] = ('*',),
    expires_at_s: float = 0.0,
) -> IssuedToken:
    """Make a token; expires_at_s is wall time, 0 means it does not expire."""
    token_id = secrets.token_hex(ID_BYTES)
    secret = secrets.token_hex(SECRET_BYTES)
    record = TokenRecord(
        token_id,
        HASHER.hash(secret),
        name,
        team,
        role,
        scopes,
        expires_at_s,
    )
    return IssuedToken(f'{PREFIX}_{token_id}_{secret}', record)


def encode(record: TokenRecord) -> object_api.Body:
    """Return the record as the body of a store object."""
    return typing.cast(object_api.Body, cattrs.unstructure(record))


def decode(body: object_api.Body) -> TokenRecord:
    """Read a record; cattrs.BaseValidationError on a foreign shape."""
    return cattrs.structure(body, TokenRecord)


class TokenCache:
    """The tokens that this process knows, refreshed from the store.

    While the store is away the last known tokens stay valid, so that
    operators can look at the system in the very hour that they need to.
    """

    def __init__(self) -> None:
        """Know no token."""
        self._records: dict[str, TokenRecord] = {}
        self._verified: dict[str, str] = {}

    def replace(self, records: typing.Iterable[TokenRecord]) -> None:
        """Take the store's list as the whole truth."""
        self._records = {record.token_id: record for record in records}

    async def refresh(self, store: object_api.ObjectApi) -> bool:
        """Read the tokens; False leaves the known ones in force."""
        listed = await store.list(KIND)
        if listed.is_error():
            return False
        self.replace(_readable(listed.ok))
        return True

    def principal(
        self, bearer: str, now_wall_s: float
    ) -> rights.Principal | None:
        """Return who holds a token, or None when it is not valid."""
        parts = bearer.split('_')
        if len(parts) != PARTS or parts[0] != PREFIX:
            return None
        record = self._records.get(parts[1])
        if record is None or record.revoked:
            return None
        if record.expires_at_s and now_wall_s >= record.expires_at_s:
            return None
        if not self._verify(record, parts[2]):
            return None
        return rights.Principal(
            record.name, record.team, record.role, record.scopes
        )

    def _verify(self, record: TokenRecord, secret: str) -> bool:
        digest = hashlib.sha256(
            f'{record.secret_hash}:{secret}'.encode()
        ).hexdigest()
        remembered = self._verified.get(record.token_id, '')
        if hmac.compare_digest(remembered, digest):
            return True
        try:
            HASHER.verify(record.secret_hash, secret)
        except argon2_exceptions.VerificationError:
            return False
        except argon2_exceptions.InvalidHashError:
            return False
        if len(self._verified) >= REMEMBERED_TOKENS:
            self._verified.clear()
        self._verified[record.token_id] = digest
        return True


def _readable(
    listed: object_api.ObjectList,
) -> typing.Iterator[TokenRecord]:
    for stored in listed.objects:
        # One spoilt object must not lock every operator out.
        with contextlib.suppress(cattrs.BaseValidationError):
            yield decode(stored.body)
