"""Tests that promises hold under attack, and that each attack is effective.

The fleets are child processes behind fault proxies. An attack must break its
promise when the safeguard is disabled; otherwise, passing with the safeguard
enabled would prove nothing. prove_safeguards.py runs the longer attacks.
"""

import anyio
import pytest

from tests.integration import promises

pytestmark = pytest.mark.slow
GUARD_S = 150
COMBINED_ATTACKS = (
    promises.cross_answers,
    promises.truncate_streams,
    promises.reset_while_running,
    promises.lose_answers_of_flags,
    promises.race_operators,
    promises.stop_an_entry,
)
DISABLED_SAFEGUARDS = (
    promises.Safeguard.ANSWER_IDENTITY,
    promises.Safeguard.ANSWER_COMPLETENESS,
    promises.Safeguard.RUN_AT_MOST_ONCE,
)


def run_attacks(attacks_to_run, disabled=()):
    async def scenario():
        with anyio.fail_after(GUARD_S):
            async with promises.open_attack_fleet(disabled) as fleet:
                for attack in attacks_to_run:
                    await attack(fleet)
                    await fleet.settle()
            return fleet

    return anyio.run(scenario)


def test_no_promise_breaks_under_attack():
    """Callers get only their own complete responses, or an accurate error.

    Responses are swapped and truncated, connections are reset while quotes
    run, flags run without a response and are retried, operators race while the
    store drops responses, and an entry is stopped while it relays streams.
    """
    fleet = run_attacks(COMBINED_ATTACKS)
    assert fleet.find_breaches() == ()
    answered = sum(
        record.answered
        for caller in fleet.active_callers
        for record in caller.records
    )
    assert answered > 20


def test_each_attack_breaks_its_promise_without_the_safeguard():
    """The same attacks with response and idempotency checks disabled.

    Callers receive a response of another request and a truncated stream as
    complete, and a retried flag runs twice.
    """
    attacks = [
        attack
        for attack in promises.ATTACKS
        if attack.safeguard in DISABLED_SAFEGUARDS
    ]
    fleet = run_attacks(
        [attack.execute for attack in attacks], DISABLED_SAFEGUARDS
    )
    found = {breach.guarantee for breach in fleet.find_breaches()}
    for attack in attacks:
        assert attack.broken_guarantees & found, attack.name
