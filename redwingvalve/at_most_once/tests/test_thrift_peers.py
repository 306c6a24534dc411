"""Claims between two voters over loopback sockets."""

import anyio
import attrs

from redwingvalve.at_most_once import messages, thrift_peers, voter
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.membership import members
from redwingvalve.wire import handlers, rpc, server

ME = members.Member('e1', 7, 'entry', '127.0.0.1', 1, 2, 'a', 'r')
CLAIM = messages.Claim('shop', 'quote', 'e2', 1, 'e2-1', 'd', ('e1',))


def test_votes_reports_and_copies_survive_the_wire():
    """A second claim gets the outcome of the first; so does a copy."""

    async def scenario():
        timers = clock.make_system_clock()
        local_voter = voter.make_voter(
            ME,
            timers,
            invariants.SafeguardSwitches(),
            first_start=True,
            alone=True,
        )
        handler = handlers.make_peer_handler()
        voter_handler = thrift_peers.VoterHandler(local_voter)
        handler.key_claim_handler = voter_handler
        handler.key_record_handler = voter_handler
        peer_server = server.make_peer_server(handler)
        await peer_server.start('127.0.0.1', 0)
        caller = rpc.make_peer_caller(timers)
        key_peers = thrift_peers.make_thrift_key_peers(caller)
        member = attrs.evolve(ME, peer_port=peer_server.port)
        first = await key_peers.claim(member, CLAIM)
        await key_peers.report(member, CLAIM, outcomes.Outcome.RAN)
        again = await key_peers.claim(member, attrs.evolve(CLAIM, claim_id='x'))
        copied = await key_peers.copy(member, ('e1',), 0)
        await peer_server.aclose()
        unreachable = await key_peers.claim(member, CLAIM)
        caller.close_idle()
        return first.ok, again.ok, copied.ok, unreachable

    first, again, copied, unreachable = anyio.run(scenario)
    assert first.verdict == messages.Verdict.RUN
    assert again.verdict == messages.Verdict.DUPLICATE
    assert again.outcome == outcomes.Outcome.RAN
    assert copied.claims == ((CLAIM, outcomes.Outcome.RAN),) and copied.whole
    assert (copied.incarnation, copied.reached, copied.more) == (7, 1, False)
    assert unreachable.is_error()
