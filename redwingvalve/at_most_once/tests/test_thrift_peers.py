"""Claims between two entries over real sockets of the loopback."""

import anyio
import attrs

from redwingvalve.at_most_once import messages, thrift_peers, voter
from redwingvalve.core import clock, invariants, outcomes
from redwingvalve.membership import members
from redwingvalve.wire import handlers, rpc, server

ME = members.Member('e1', 7, 'entry', '127.0.0.1', 1, 2, 'a', 'r')
CLAIM = messages.Claim('shop', 'quote', 'e2', 1, 'e2-1', 'd', ('e1',))


def test_votes_reports_and_copies_survive_the_wire():
    """A second claim hears that the first ran; a copy holds both facts."""

    async def scenario():
        timers = clock.make_system_clock()
        own = voter.make_voter(
            ME,
            timers,
            invariants.SafeguardSwitches(),
            first_start=True,
            alone=True,
        )
        handler = handlers.make_peer_handler()
        answers = thrift_peers.VoterHandler(own)
        handler.key_claim_handler = answers
        handler.key_record_handler = answers
        listening = server.make_peer_server(handler)
        await listening.start('127.0.0.1', 0)
        caller = rpc.make_peer_caller(timers)
        asked = thrift_peers.make_thrift_key_peers(caller)
        member = attrs.evolve(ME, peer_port=listening.port)
        first = await asked.claim(member, CLAIM)
        await asked.report(member, CLAIM, outcomes.Outcome.RAN)
        again = await asked.claim(member, attrs.evolve(CLAIM, claim_id='x'))
        copied = await asked.copy(member, ('e1',), 0)
        await listening.aclose()
        gone = await asked.claim(member, CLAIM)
        caller.close_idle()
        return first.ok, again.ok, copied.ok, gone

    first, again, copied, gone = anyio.run(scenario)
    assert first.verdict == messages.Verdict.RUN
    assert again.verdict == messages.Verdict.DUPLICATE
    assert again.outcome == outcomes.Outcome.RAN
    assert copied.claims == ((CLAIM, outcomes.Outcome.RAN),) and copied.whole
    assert (copied.incarnation, copied.reached, copied.more) == (7, 1, False)
    assert gone.is_error()
