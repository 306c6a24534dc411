"""Each promise withstands its attack, and the attack can break it.

The fleets are real processes behind fault proxies. With a safeguard disabled
the attack must be seen to break its promise; otherwise the proof would prove
nothing. The attacks that need longer are run by prove_safeguards.py.
"""

import anyio
import pytest

from tests.integration import promises

pytestmark = pytest.mark.slow
GUARD_S = 150
ALL_TOGETHER = (
    promises.cross_answers,
    promises.truncate_streams,
    promises.reset_while_running,
    promises.lose_answers_of_flags,
    promises.race_operators,
    promises.stop_an_entry,
)
BROKEN_TOGETHER = (
    promises.Safeguard.ANSWER_IDENTITY,
    promises.Safeguard.ANSWER_COMPLETENESS,
    promises.Safeguard.RUN_AT_MOST_ONCE,
)


def run_attacks(acts, disabled=()):
    async def scenario():
        with anyio.fail_after(GUARD_S):
            async with promises.open_stage(disabled) as stage:
                for act in acts:
                    await act(stage)
                    await stage.settle()
            return stage

    return anyio.run(scenario)


def test_no_promise_breaks_under_attack():
    """Callers get only whole answers of their own, or the truth.

    Answers are crossed and truncated, connections reset under running quotes,
    flags run without an answer and sent again, operators race while the store
    loses answers, and an entry is stopped under streams.
    """
    stage = run_attacks(ALL_TOGETHER)
    assert stage.found() == ()
    answered = sum(
        record.answered for caller in stage.asking for record in caller.records
    )
    assert answered > 20


def test_each_attack_breaks_its_promise_without_the_safeguard():
    """The same attacks, with the checks of answers and of keys disabled.

    Callers now receive a foreign answer and half a stream as whole, and a
    flag that is sent again runs twice.
    """
    attacks = [
        attack
        for attack in promises.ATTACKS
        if attack.safeguard in BROKEN_TOGETHER
    ]
    stage = run_attacks([attack.act for attack in attacks], BROKEN_TOGETHER)
    found = {breach.guarantee for breach in stage.found()}
    for attack in attacks:
        assert attack.breaks & found, attack.name
