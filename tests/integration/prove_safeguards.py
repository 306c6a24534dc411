"""Runs each attack with and without its safeguard; prints a JSON line each.

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
    async with promises.open_attack_fleet(disabled) as fleet:
        await attack.execute(fleet)
        await anyio.sleep(1.0)
    found = fleet.find_breaches()
    requests = sum(len(caller.records) for caller in fleet.active_callers)
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
        'caught': any(
            breach.guarantee in attack.broken_guarantees for breach in found
        ),
        'took_s': round(time.monotonic() - started_s, 1),
    }


async def main(wanted):
    for attack in promises.ATTACKS:
        if wanted and attack.execute.__name__ not in wanted:
            continue
        safeguard_sets = [()]
        if attack.safeguard is not None:
            safeguard_sets.append((attack.safeguard,))
        for disabled in safeguard_sets:
            row = await attack_once(attack, disabled)
            print(json.dumps(row), flush=True)


if __name__ == '__main__':
    anyio.run(
        main,
        sys.argv[1:],
        backend_options={'loop_factory': uvloop.new_event_loop},
    )
