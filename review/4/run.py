"""Two machines are stopped and started in turn, one second apart.

Rule LOST: a request that a stopping machine has passed on to a replica ends
without a complete answer, though nothing but planned work disturbs it.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig
import streams

ZONES = ['nave-a', 'nave-b']
TRAFFIC_S = 34
ROLL_AT_S = 10
ROLL_GAP_S = 1.0


async def roll(fleet):
    """Send SIGTERM to one machine after the other."""
    if not rig.has_trouble():
        return
    await asyncio.sleep(ROLL_AT_S)
    async with asyncio.TaskGroup() as group:
        for number in range(len(ZONES)):
            group.create_task(fleet.machines.terminate(number))
            await asyncio.sleep(ROLL_GAP_S)


if __name__ == '__main__':
    fleet = streams.Fleet(rig.Record(FOLDER), ZONES)
    rig.play(lambda: streams.play(fleet, TRAFFIC_S, roll))
