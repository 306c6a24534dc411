"""Settings of an entry or a controller; every field carries its unit."""

import attrs


@attrs.frozen
class NodeSettings:
    """Who this process is; it learns its address and data centre here.

    Processes with the same vm let one of them gossip for all; set it where
    several run on a VM. Empty means that each speaks for itself.
    """

    name: str
    data_centre: str
    region: str
    host: str = '127.0.0.1'
    seed: int = 0
    vm: str = ''


@attrs.frozen
class ListenSettings:
    """Ports of this process; all on node.host.

    peer_host is listened on for peers instead, where peers reach node.host
    through something that passes connections on, such as address translation.
    """

    http_port: int
    peer_port: int
    peer_host: str = ''


@attrs.frozen
class PlatformSettings:
    """Where the platform's services are."""

    object_api_url: str
    vm_list_url: str = ''
    weight_store_url: str = ''
    timeout_s: float = 2.0
    vm_list_interval_s: float = 1.0


@attrs.frozen
class PeerSettings:
    """First contacts; the store's node objects name the others.

    Calls to peers come from local_host; empty lets the system choose it.
    """

    contacts: tuple[str, ...] = ()
    call_timeout_s: float = 1.0
    local_host: str = ''


@attrs.frozen
class RequestSettings:
    """Bounds of the request path.

    key_resend_s is how long after its first send a caller may send a
    non-idempotent request again; the same in all processes of a fleet.
    """

    max_body_bytes: int = 4_000_000
    default_deadline_s: float = 60.0
    max_deadline_s: float = 600.0
    discovery_keep_s: float = 10.0
    drain_timeout_s: float = 600.0
    key_resend_s: float = 3600.0


@attrs.frozen
class LogSettings:
    """JSON logs; level is a standard level name."""

    level: str = 'INFO'


@attrs.frozen
class MetricSettings:
    """Where statsd listens; an empty host sends nothing."""

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
    """PEM files, read again when they change; empty names mean no TLS."""

    certificate_file: str = ''
    key_file: str = ''
    authority_file: str = ''


@attrs.frozen
class TestingSettings:
    """Only for proofs: safeguards that are switched off."""

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
    logs: LogSettings = attrs.field(factory=LogSettings)
    metrics: MetricSettings = attrs.field(factory=MetricSettings)
    tracing: TracingSettings = attrs.field(factory=TracingSettings)
    peer_tls: TlsSettings = attrs.field(factory=TlsSettings)
    administration_tls: TlsSettings = attrs.field(factory=TlsSettings)
    testing: TestingSettings = attrs.field(factory=TestingSettings)
