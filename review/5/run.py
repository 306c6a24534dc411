"""Another writer stores an entry of replicas whose bytes can't be read.

Rule CONFIG: of the requests that are unanswered at their route's `timeout_ms`,
more than half have no answer half a second later, as all processes hang.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lookups
import rig
import streams

ZONES = ['nave-a', 'nave-b']
TRAFFIC_S = 34
WRITTEN_AT_S = 8
# The store holds objects of `value_bytes` at most, 1,048,576.
ENTRY_BYTES = 1_000_000
DEVICE = b'{"id": 7, "samples": [{"v": 1}]}, '


def foreign_entry():
    """Return a list of devices that breaks off in bytes that aren't UTF-8."""
    devices = DEVICE * (ENTRY_BYTES // len(DEVICE))
    return b'{"devices": [' + devices + b'"\xff\xfe'


async def write_foreign_entry(fleet):
    """Send the application's requests; write one entry."""
    asked = asyncio.create_task(fleet.send_lookups(TRAFFIC_S))
    await asyncio.sleep(WRITTEN_AT_S)
    if rig.has_trouble():
        fleet.record.add('an entry of another writer')
        fleet.store.put_raw('servers', 'a-foreign-entry', foreign_entry())
    await asked


if __name__ == '__main__':
    fleet = lookups.Fleet(rig.Record(FOLDER), ZONES)
    rig.play(lambda: streams.play(fleet, TRAFFIC_S, write_foreign_entry))
