"""The dependencies of the request path, mostly abstract base classes."""

import math
from collections import abc as collections_abc

import attrs

from redwingvalve.at_most_once import claims
from redwingvalve.configuration import snapshot
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.entry import delivered_events, directory, upstream
from redwingvalve.evidence import permits
from redwingvalve.http1 import byte_account
from redwingvalve.membership import members
from redwingvalve.news import bus
from redwingvalve.observability import metrics, tracing
from redwingvalve.settings import schema as settings_schema

# Called immediately before each attempt of a non-idempotent request.
MaySend = collections_abc.Callable[[], bool]


@attrs.frozen
class EntryDependencies:
    """Everything that the request path reads from or writes to."""

    source: snapshot.ConfigurationSource
    permits: permits.ServingPermits
    members: members.Members
    news: bus.NewsBus
    upstream: upstream.Upstream
    clock: clock.Clock
    settings: settings_schema.RequestSettings
    metrics: metrics.Metrics
    tracing: tracing.Tracing
    switches: invariants.SafeguardSwitches
    directory: directory.EntryDirectory
    key_claims: claims.KeyClaims | None = None
    # Of the bodies of all requests.
    account: byte_account.ByteAccount = byte_account.UNLIMITED
    # Of what streams have delivered, to resume them.
    records: delivered_events.RecordRoom = attrs.field(
        factory=lambda: delivered_events.RecordRoom(math.inf)
    )


def grant_expired() -> outcomes.ErrorResponse:
    """Return the error for a request whose grant to send has expired.

    The voters may forget its claim before an attempt this late arrives, so
    nothing was sent under it.
    """
    return outcomes.ErrorResponse(
        status=503,
        code='request-key-expired',
        message='the grant for this key expired; retry with the same key',
        outcome=outcomes.Outcome.NOT_RUN,
        retry_after_s=1.0,
    )
