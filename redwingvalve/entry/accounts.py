"""Finds the client account of a credential in the configuration in force."""

import hashlib

from expression import Error, Ok, Result

from redwingvalve.configuration import snapshot
from redwingvalve.core import outcomes
from redwingvalve.declaration import schema
from redwingvalve.entry import caller


class AccountBook:
    """Accounts by the SHA-256 of their credential, rebuilt when changed."""

    def __init__(self, source: snapshot.ConfigurationSource) -> None:
        """Read accounts from source."""
        self._source = source
        self._version = -1
        self._by_credential: dict[str, schema.ClientAccount] = {}

    def authenticate(
        self, head: caller.CallerHead
    ) -> Result[schema.ClientAccount, outcomes.ErrorResponse]:
        """Return the account that the credential belongs to."""
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
                _refused(401, 'unknown-credential', 'no account has it', head)
            )
        if head.priority is not None and head.priority > account.priority:
            return Error(
                _refused(
                    403,
                    'priority-not-allowed',
                    f'the account may ask for at most {account.priority}',
                    head,
                )
            )
        return Ok(account)


def check_deployment(
    account: schema.ClientAccount,
    deployment: schema.ModelDeployment,
    head: caller.CallerHead,
) -> outcomes.ErrorResponse | None:
    """Return a refusal unless the account may use the deployment."""
    if not account.deployments or deployment.name in account.deployments:
        return None
    return _refused(
        403,
        'deployment-not-allowed',
        f'the account may not use {deployment.name!r}',
        head,
    )


def _refused(
    status: int, code: str, message: str, head: caller.CallerHead
) -> outcomes.ErrorResponse:
    return outcomes.ErrorResponse(
        status=status,
        code=code,
        message=message,
        outcome=outcomes.Outcome.NOT_RUN,
        request_id=head.request_id,
    )
