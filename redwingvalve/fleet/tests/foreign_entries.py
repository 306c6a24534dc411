"""Stored entries for tests of the registry."""

ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 9,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
}


def stored(name, revision=5, **changes):
    """Return a stored entry with some fields changed."""
    spec = {**ENTRY, **changes}
    return {'metadata': {'name': name, 'revision': revision}, 'spec': spec}
