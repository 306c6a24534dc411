"""Authenticates callers against the client accounts of the configuration."""

import hashlib

from expression import Error, Ok, Result

from redwingvalve.configuration import snapshot
from redwingvalve.core import outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import caller_request


class AccountAuthenticator:
    """Finds accounts by the SHA-256 of their credential.

    The index is rebuilt when the configuration version changes.
    """

    def __init__(self, source: snapshot.ConfigurationSource) -> None:
        """Read the accounts of the configuration of source."""
        self._source = source
        self._version = -1
        self._by_credential: dict[str, schema.ClientAccount] = {}

    def authenticate(
        self, head: caller_request.RequestHead
    ) -> Result[schema.ClientAccount, outcomes.ErrorResponse]:
        """Return the account of the credential, or the refusal."""
        current = self._source.current()
        if current.version != self._version:
            self._version = current.version
            self._by_credential = {
                account.credential_sha256: account
                for account in current.client_accounts
            }
        digest = hashlib.sha256(head.credential.encode()).hexdigest()
        account = self._by_credential.get(digest)
        if not head.credential or account is None:
            return Error(
                _refusal(401, 'unknown-credential', 'unknown credential', head)
            )
        if head.priority is not None and head.priority > account.priority:
            return Error(
                _refusal(
                    403,
                    'priority-not-allowed',
                    f'highest priority of the account: {account.priority}',
                    head,
                )
            )
        return Ok(account)


def check_deployment(
    account: schema.ClientAccount,
    deployment: schema.ModelDeployment,
    head: caller_request.RequestHead,
) -> outcomes.ErrorResponse | None:
    """Return the refusal if the account may not use the deployment."""
    if not account.deployments or deployment.name in account.deployments:
        return None
    return _refusal(
        403,
        'deployment-not-allowed',
        f'the account may not use {deployment.name!r}',
        head,
    )


def _refusal(
    status: int, code: str, message: str, head: caller_request.RequestHead
) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=status,
        code=code,
        message=message,
        outcome=outcomes.Outcome.NOT_RUN,
        request_id=head.request_id,
    )
