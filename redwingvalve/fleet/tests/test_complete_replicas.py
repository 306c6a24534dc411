"""Tests of replicas whose members are missing from the listing."""

import pytest

from redwingvalve.fleet import complete_replicas, endpoints, evacuations
from redwingvalve.node.tests import members

HEAD = members.make_member('e1', 1, 0, endpoints.MemberState.OPEN)
MEMBER = members.make_member('e2', 1, 1, endpoints.MemberState.READY)
WHOLE = endpoints.Replica('small.1.1', 1, (HEAD, MEMBER))
HEAD_ONLY = endpoints.Replica('small.1.1', 1, (HEAD,))


@pytest.fixture
def known():
    replicas = complete_replicas.CompleteReplicas(evacuations.Evacuations(None))
    assert replicas.usable(WHOLE, 2, {'e1', 'e2'}) is WHOLE
    return replicas


def test_a_replica_is_used_while_only_an_entry_has_expired(known):
    assert known.usable(HEAD_ONLY, 2, {'e1'}) is HEAD_ONLY


def test_a_member_that_has_left_stays_lost_after_its_entry_expires(known):
    """Callers would be sent to a head that stands still."""
    assert known.usable(HEAD_ONLY, 2, {'e1', 'e2'}) is None
    assert known.usable(HEAD_ONLY, 2, {'e1'}) is None
