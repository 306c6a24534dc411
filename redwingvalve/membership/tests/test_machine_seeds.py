"""The random runs of test_machine with several fixed seeds."""

import hypothesis
import pytest
from hypothesis import stateful

from redwingvalve.membership.tests import test_machine

SETTINGS = hypothesis.settings(
    test_machine.TestMembership.settings,
    derandomize=False,
    phases=(hypothesis.Phase.generate,),
)


@pytest.mark.parametrize('seed', [0, 1, 3, 5, 12, 14])
def test_members_converge_and_a_leaving_one_gets_no_new_work(seed):
    """These seeds found superseded, missing and revived members."""
    machine = type('Machine', (test_machine.MembershipMachine,), {})
    stateful.run_state_machine_as_test(
        hypothesis.seed(seed)(machine), settings=SETTINGS
    )
