"""Client accounts at the owner of a pool: new owners, mixed nodes, cost."""

import random
import statistics
import time

import anyio
import anyio.lowlevel

from redwingvalve.allocation import allocator, messages
from redwingvalve.ingress import load_balancing, wait_queue

POOL = messages.Pool('engine', 'small', 'zone-1')
NODES = [messages.Sender(f'vm-{number}', 1) for number in range(2)]
# From the specification: cost of a grant with 300 waiting requests.
MAX_GRANT_S = 0.0002
WAITING = 300


def make_owner(heads, slots):
    targets = tuple(
        load_balancing.Target(f'e{number}', 'h', 1, slots, 'zone-1')
        for number in range(heads)
    )
    return allocator.Allocator(
        lambda pool: targets, time.monotonic, random.Random(1)
    )


class Client:
    """Asks an owner for slots and records whom it grants them."""

    def __init__(self, owner, node=NODES[0], first_number=1):
        """Start without requests."""
        self.owner = owner
        self.node = node
        self.granted = []
        self.accounts = {}
        self._number = first_number

    async def ask(self, account, *, kind='chat', urgency=1, size_rank=0):
        need = wait_queue.SlotRequest(
            urgency, 30.0, 30.0, account=account, kind=kind, size_rank=size_rank
        )
        number = self._number
        self._number += 1
        self.accounts[number] = account

        def receive(reply):
            if reply.outcome is messages.Outcome.GRANTED:
                self.granted.append(number)

        self.owner.ask(
            self.node, messages.Ask(number, POOL, True, need), receive
        )
        await anyio.lowlevel.checkpoint()

    async def release(self, number):
        self.granted.remove(number)
        self.owner.release(self.node, messages.Release(number))
        for _ in range(4):
            await anyio.lowlevel.checkpoint()

    def granted_accounts(self):
        return [self.accounts[number] for number in self.granted]


def test_a_new_owner_knows_what_accounts_hold_from_the_holdings():
    """Without it, a large account would get as much again from a new owner."""

    async def main():
        owner = make_owner(1, 9)
        held = dict.fromkeys(range(1, 9), 'e0')
        accounts = dict.fromkeys(held, 'large')
        owner.holdings(NODES[1], messages.Holdings(POOL, held, accounts))
        client = Client(owner)
        await client.ask('large')
        for account in ('large', 'large', 'small'):
            await client.ask(account)
        await client.release(client.granted[0])
        assert client.granted_accounts() == ['small']

    anyio.run(main)


def test_holdings_without_accounts_count_as_one_account():
    """Holdings of a node of an older version name no accounts."""

    async def main():
        owner = make_owner(1, 4)
        held = dict.fromkeys(range(1, 4), 'e0')
        owner.holdings(NODES[1], messages.Holdings(POOL, held))
        client = Client(owner)
        await client.ask('a')
        await client.ask('')
        await client.ask('b')
        await client.release(client.granted[0])
        assert client.granted_accounts() == ['b']

    anyio.run(main)


def test_requests_with_and_without_competition_share_a_pool():
    """While a configuration spreads, nodes ask in both ways; none may hang."""

    async def main():
        client = Client(make_owner(1, 1))
        await client.ask('a')
        await client.ask('a')
        await client.ask('', kind='')
        for _ in range(2):
            await client.release(client.granted[0])
            assert len(client.granted) == 1

    anyio.run(main)


def test_a_grant_is_cheap_with_hundreds_of_waiting_requests():
    """A search of all requests for each slot takes the node's time."""

    async def main():
        rng = random.Random(1)
        client = Client(make_owner(18, 10))

        async def ask():
            urgency = rng.randrange(3)
            await client.ask(
                f'account {rng.randrange(24)}',
                kind=f'kind {urgency}',
                urgency=urgency,
                size_rank=rng.randrange(3),
            )

        for _ in range(180 + WAITING):
            await ask()
        costs_s = []
        for _ in range(200):
            number = rng.choice(client.granted)
            client.granted.remove(number)
            began_s = time.thread_time()
            client.owner.release(client.node, messages.Release(number))
            costs_s.append(time.thread_time() - began_s)
            await ask()
        assert client.owner.queue_length('engine', 'small') == WAITING
        assert statistics.median(costs_s) <= MAX_GRANT_S

    anyio.run(main)
