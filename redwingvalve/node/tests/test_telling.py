"""What a node tells the others, and how often."""

import anyio

from redwingvalve.platform.tests import fleet as fleets

FOUND = 40


def test_forty_findings_at_once_go_in_a_few_words():
    """Callers' requests are not held up by the words of a busy node.

    The holder of the lease finds forty heads sound within one turn of its
    loop. Each word goes to all nodes: one for each finding would fill its
    link, and its questions to endpoints would stay without answers.
    """

    async def test(fleet):
        node = fleet.nodes[0]
        said = []
        node.peers.say = said.append
        await anyio.sleep(0.1)
        before = len(said)
        for number in range(FOUND):
            node.table.on_clear(f'e{number}', 1)
        await anyio.sleep(0.05)
        assert len(said) - before <= 3
        assert len(said[-1].cleared) == FOUND

    fleets.run(test, nodes=2, engines=0, plain=0)
