"""The parts of an entry that stands before one engine, for measurements."""

import hashlib

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock, invariants
from redwingvalve.declaration import schema
from redwingvalve.entry import dependencies, directory, upstream
from redwingvalve.evidence import permits
from redwingvalve.membership import members
from redwingvalve.news import bus
from redwingvalve.observability import metrics, tracing
from redwingvalve.settings import schema as settings_schema

CREDENTIAL = 'bench'
DIGEST = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
# Admission lets every stream of a measurement in at once.
UNBOUNDED = 1e9
MYSELF = members.Member('bench', 1, 'entry', '127.0.0.1', 1, 2, 'a', 'r')


class _Source(snapshot.ConfigurationSource):
    def __init__(self, port: int) -> None:
        engine = snapshot.ReplicaMember('vm', f'127.0.0.1:{port}')
        self._snapshot = snapshot.Snapshot(
            version=1,
            deployments=(
                schema.ModelDeployment(
                    'm', 'm', '1', 1, 1, tokens_per_s_per_replica=UNBOUNDED
                ),
            ),
            client_accounts=(schema.ClientAccount('bench', DIGEST, 5),),
            replicas=(
                snapshot.Replica(
                    'r', 'm', 1, 'd', 'a', 'r', (engine,), serving=True
                ),
            ),
        )

    def current(self) -> snapshot.Snapshot:
        return self._snapshot


class _Permits(permits.ServingPermits):
    def permitted(self, replica: snapshot.Replica, now_s: float) -> bool:
        return True

    def reported_load(
        self, replica: snapshot.Replica, now_s: float
    ) -> permits.ReportedLoad:
        return permits.ReportedLoad(0, now_s)

    def report_failure(
        self, replica: snapshot.Replica, vm: str, now_s: float
    ) -> None:
        """Ignore it; the run fails by itself."""


class _Alone(members.Members):
    def local_member(self) -> members.Member:
        return MYSELF

    def known(self) -> tuple[members.Member, ...]:
        return (MYSELF,)

    def isolated(self) -> bool:
        return False


class _NoNews(bus.NewsBus):
    def publish(self, channel: bus.Channel, key: str, body: bytes) -> None:
        """Tell nobody."""

    def read(self, channel: bus.Channel) -> tuple[bus.NewsItem, ...]:
        return ()


def make_parts(
    sender: upstream.Upstream, engine_port: int
) -> dependencies.EntryDependencies:
    """Return an entry's parts with everything permitted."""
    alone = _Alone()
    settings = settings_schema.RequestSettings()
    return dependencies.EntryDependencies(
        source=_Source(engine_port),
        permits=_Permits(),
        members=alone,
        news=_NoNews(),
        upstream=sender,
        clock=clock.make_system_clock(),
        settings=settings,
        metrics=metrics.NoMetrics(),
        tracing=tracing.make_tracing(
            settings_schema.TracingSettings(), 'bench'
        ),
        switches=invariants.SafeguardSwitches(),
        directory=directory.make_members_directory(
            alone, settings.discovery_keep_s
        ),
    )
