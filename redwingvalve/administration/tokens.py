"""Bearer tokens of operators, stored as salted hashes.

A token is rwv_<id>_<secret>. The id allows finding the record without trying
every hash. The secret has 256 random bits, so the hash need not be slow to
resist guessing; argon2 at a low cost salts it without blocking the event loop
for long.
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
TOKEN_PARTS = 3
REFRESH_INTERVAL_S = 5.0
# Verified tokens are cached so that a hundred calls of a script cost one hash.
# The limit bounds the memory use of a busy controller.
MAX_VERIFIED_TOKENS = 1000
HASHER = argon2.PasswordHasher(time_cost=1, memory_cost=8192, parallelism=1)


@attrs.frozen
class TokenRecord:
    """A token as stored; the secret itself is not stored."""

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
    """A new token; bearer is shown only once."""

    bearer: str
    record: TokenRecord


def issue(
    name: str,
    team: str,
    role: rights.Role,
    scopes: tuple[str, ...] = ('*',),
    expires_at_s: float = 0.0,
) -> IssuedToken:
    """Create a token; expires_at_s is wall time, 0 means no expiry."""
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
    """Return the record as the body of a stored object."""
    return typing.cast(object_api.Body, cattrs.unstructure(record))


def decode(body: object_api.Body) -> TokenRecord:
    """Decode a record; raises cattrs.BaseValidationError if invalid."""
    return cattrs.structure(body, TokenRecord)


class TokenCache:
    """A cache of the tokens in the store.

    While the store is unavailable, the cached tokens stay valid, so that
    operators can inspect the system during an outage.
    """

    def __init__(self) -> None:
        """Start without tokens."""
        self._records: dict[str, TokenRecord] = {}
        self._verified: dict[str, str] = {}

    def replace(self, records: typing.Iterable[TokenRecord]) -> None:
        """Replace all cached tokens."""
        self._records = {record.token_id: record for record in records}

    async def refresh(self, store: object_api.ObjectApi) -> bool:
        """Read the tokens; on failure keep the cached ones and return False."""
        listed = await store.list(KIND)
        if listed.is_error():
            return False
        self.replace(_decode_valid(listed.ok))
        return True

    def principal(
        self, bearer: str, now_wall_s: float
    ) -> rights.Principal | None:
        """Return the principal of a token, or None if it is invalid."""
        parts = bearer.split('_')
        if len(parts) != TOKEN_PARTS or parts[0] != PREFIX:
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
        verified_digest = self._verified.get(record.token_id, '')
        if hmac.compare_digest(verified_digest, digest):
            return True
        try:
            HASHER.verify(record.secret_hash, secret)
        except argon2_exceptions.VerificationError:
            return False
        except argon2_exceptions.InvalidHashError:
            return False
        if len(self._verified) >= MAX_VERIFIED_TOKENS:
            self._verified.clear()
        self._verified[record.token_id] = digest
        return True


def _decode_valid(
    listed: object_api.ObjectList,
) -> typing.Iterator[TokenRecord]:
    for stored in listed.objects:
        # A single invalid object must not lock out all operators.
        with contextlib.suppress(cattrs.BaseValidationError):
            yield decode(stored.body)
