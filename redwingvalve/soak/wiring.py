"""Settings of the daemons of a run, on free ports."""

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
) -> list[daemons.Daemon]:
    """Return the daemons of a run; disabled names safeguards."""
    names = [f'entry-{number}' for number in range(1, ENTRIES + 1)]
    names.extend(f'control-{number}' for number in range(1, CONTROLS + 1))
    # Drawn together, so that no port is drawn twice.
    ports = standin_ports.free_ports(2 * len(names))
    contacts = tuple(f'{platform.HOST}:{port}' for port in ports[-CONTACTS:])
    made = []
    for index, name in enumerate(names):
        settings = schema.Settings(
            node=schema.NodeSettings(
                name,
                DATA_CENTRES[index % len(DATA_CENTRES)],
                platform.REGION,
                platform.HOST,
                seed + index,
            ),
            listen=schema.ListenSettings(ports[index], ports[-1 - index]),
            platform=schema.PlatformSettings(
                small.urls['objects'], small.urls['vms'], small.urls['weights']
            ),
            peers=schema.PeerSettings(contacts),
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
