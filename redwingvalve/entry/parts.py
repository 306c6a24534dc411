"""What the request path is built from; each part is an abstract base class."""

import attrs

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock, invariants
from redwingvalve.entry import directory, replica_choice, upstream
from redwingvalve.evidence import permits
from redwingvalve.membership import members
from redwingvalve.news import board
from redwingvalve.observability import metrics, tracing
from redwingvalve.settings import schema as settings_schema


@attrs.frozen
class EntryParts:
    """Everything that the request path asks or tells."""

    source: snapshot.ConfigurationSource
    permits: permits.ServingPermits
    members: members.Members
    news: board.NewsBoard
    upstream: upstream.Upstream
    clock: clock.Clock
    settings: settings_schema.RequestSettings
    metrics: metrics.Metrics
    tracing: tracing.Tracing
    switches: invariants.SafeguardSwitches
    directory: directory.EntryDirectory
    choice: replica_choice.ReplicaChoice = attrs.field(
        factory=replica_choice.make_least_in_flight
    )
