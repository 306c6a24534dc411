"""Settings of an entry or a controller; field names have their unit."""

import attrs


@attrs.frozen
class NodeSettings:
    """Name, location and address of this process.

    Of the processes with the same vm, one gossips for all of them. Set vm if
    several processes run on a VM; if it is empty, the process gossips itself.
    """

    name: str
    data_centre: str
    region: str
    host: str = '127.0.0.1'
    seed: int = 0
    vm: str = ''


@attrs.frozen
class ListenSettings:
    """Ports of this process, on node.host.

    If set, peer_host is the address for peers to listen on instead. It is
    needed if peers reach node.host through a proxy or address translation.
    """

    http_port: int
    peer_port: int
    peer_host: str = ''


@attrs.frozen
class PlatformSettings:
    """URLs of the platform's services."""

    object_api_url: str
    vm_list_url: str = ''
    weight_store_url: str = ''
    timeout_s: float = 2.0
    vm_list_interval_s: float = 1.0


@attrs.frozen
class PeerSettings:
    """Initial contacts; other peers are found in the store's node objects.

    local_host is the source address of calls to peers; if it is empty, the
    system chooses one.
    """

    contacts: tuple[str, ...] = ()
    call_timeout_s: float = 1.0
    local_host: str = ''


@attrs.frozen
class RequestSettings:
    """Limits on requests.

    key_resend_s is the time after its first send within which a caller may
    resend a non-idempotent request; it must be the same in a whole fleet.
    """

    max_body_bytes: int = 4_000_000
    default_deadline_s: float = 60.0
    max_deadline_s: float = 600.0
    discovery_keep_s: float = 10.0
    drain_timeout_s: float = 600.0
    key_resend_s: float = 3600.0


@attrs.frozen
class LimitSettings:
    """What the process may use.

    Bodies of requests get a quarter of memory_mb at most, and connections of
    callers half of max_fds.
    """

    memory_mb: float = 300.0
    max_fds: int = 16_384


@attrs.frozen
class LogSettings:
    """JSON logs; level is a standard level name."""

    level: str = 'INFO'


@attrs.frozen
class MetricSettings:
    """The address of statsd; with an empty host no metrics are sent."""

    statsd_host: str = ''
    statsd_port: int = 8125
    prefix: str = 'redwingvalve'


@attrs.frozen
class TracingSettings:
    """exporter is none, console or file; ratio is the share sampled."""

    exporter: str = 'none'
    file_name: str = ''
    ratio: float = 1.0


@attrs.frozen
class TlsSettings:
    """PEM files, reloaded when they change; no TLS if the names are empty."""

    certificate_file: str = ''
    key_file: str = ''
    authority_file: str = ''


@attrs.frozen
class TestingSettings:
    """Safeguards to disable in tests that prove that each is needed."""

    in_test: bool = False
    disabled_safeguards: tuple[str, ...] = ()


@attrs.frozen
class Settings:
    """All settings of one process."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    requests: RequestSettings = attrs.field(factory=RequestSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    logs: LogSettings = attrs.field(factory=LogSettings)
    metrics: MetricSettings = attrs.field(factory=MetricSettings)
    tracing: TracingSettings = attrs.field(factory=TracingSettings)
    peer_tls: TlsSettings = attrs.field(factory=TlsSettings)
    administration_tls: TlsSettings = attrs.field(factory=TlsSettings)
    testing: TestingSettings = attrs.field(factory=TestingSettings)
