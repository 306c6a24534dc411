"""Creates the settings of the daemons of a run, on free ports."""

from redwingvalve.settings import schema
from redwingvalve.soak import daemons, platform
from redwingvalve.standins import ports as standin_ports

ENTRIES = 3
CONTROLS = 2
CONTACTS = 2
DATA_CENTRES = ('nave-a', 'nave-b', 'penarol-yard')
KEEP_S = 2.0
DRAIN_TIMEOUT_S = 30.0


def make_daemons(
    small: platform.Platform,
    seed: int,
    disabled: tuple[str, ...] = (),
    spans_folder: str = '',
    *,
    own_hosts: bool = False,
) -> list[daemons.Daemon]:
    """Return the daemons of a run; disabled lists disabled safeguards.

    With own_hosts each daemon sends from its own loopback address and listens
    for peers on another one, so that a proxy can be put in between.
    """
    names = [f'entry-{number}' for number in range(1, ENTRIES + 1)]
    names.extend(f'control-{number}' for number in range(1, CONTROLS + 1))
    # Chosen in one call, so that no port is chosen twice.
    ports = standin_ports.free_ports(2 * len(names))
    hosts = [
        f'127.0.1.{number}' if own_hosts else platform.HOST
        for number in range(1, len(names) + 1)
    ]
    contacts = tuple(
        f'{hosts[index]}:{ports[-1 - index]}' for index in range(CONTACTS)
    )
    made = []
    for index, name in enumerate(names):
        settings = schema.Settings(
            node=schema.NodeSettings(
                name,
                DATA_CENTRES[index % len(DATA_CENTRES)],
                platform.REGION,
                hosts[index],
                seed + index,
            ),
            listen=schema.ListenSettings(
                ports[index],
                ports[-1 - index],
                f'127.0.2.{index + 1}' if own_hosts else '',
            ),
            platform=schema.PlatformSettings(
                small.urls['objects'], small.urls['vms'], small.urls['weights']
            ),
            peers=schema.PeerSettings(
                contacts, local_host=hosts[index] if own_hosts else ''
            ),
            requests=schema.RequestSettings(
                discovery_keep_s=KEEP_S, drain_timeout_s=DRAIN_TIMEOUT_S
            ),
            logs=schema.LogSettings('WARNING'),
            tracing=_tracing(name, spans_folder),
            testing=schema.TestingSettings(bool(disabled), disabled),
        )
        made.append(daemons.Daemon(name, name.partition('-')[0], settings))
    return made


def _tracing(name: str, spans_folder: str) -> schema.TracingSettings:
    if not spans_folder:
        return schema.TracingSettings()
    return schema.TracingSettings('file', f'{spans_folder}/{name}.spans')
