"""Runs each attack with its safeguard and without, and prints the table.

python -m tests.integration.prove_safeguards [ATTACK ...]
"""

import json
import sys
import time

import anyio
import uvloop

from tests.integration import promises


async def attack_once(attack, disabled):
    started_s = time.monotonic()
    async with promises.open_stage(disabled) as stage:
        await attack.act(stage)
        await anyio.sleep(1.0)
    found = stage.found()
    requests = sum(len(caller.records) for caller in stage.asking)
    return {
        'attack': attack.name,
        'disabled': list(disabled),
        'requests': requests,
        'breaches': {
            guarantee.value: sum(
                breach.guarantee is guarantee for breach in found
            )
            for guarantee in promises.Guarantee
            if any(breach.guarantee is guarantee for breach in found)
        },
        'first': str(found[0].details)[:160] if found else '',
        'caught': any(breach.guarantee in attack.breaks for breach in found),
        'took_s': round(time.monotonic() - started_s, 1),
    }


async def main(wanted):
    for attack in promises.ATTACKS:
        if wanted and attack.act.__name__ not in wanted:
            continue
        tries = [()]
        if attack.safeguard is not None:
            tries.append((attack.safeguard,))
        for disabled in tries:
            row = await attack_once(attack, disabled)
            print(json.dumps(row), flush=True)


if __name__ == '__main__':
    anyio.run(
        main,
        sys.argv[1:],
        backend_options={'loop_factory': uvloop.new_event_loop},
    )
