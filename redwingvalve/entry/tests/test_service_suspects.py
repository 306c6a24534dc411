"""Requests that crash plain services, with three entries that share news."""

import itertools

import anyio
import anyio.lowlevel
import attrs
import pytest

from redwingvalve.core import clock, invariants
from redwingvalve.entry import app
from redwingvalve.entry.tests import fakes

NAMES = ('e1', 'e2', 'e3')
MEMBERS = tuple(attrs.evolve(fakes.ENTRY, name=name) for name in NAMES)
POISON = {'path': '/parts/crash', 'method': 'GET', 'body': b''}
INNOCENT = {'path': '/parts/42', 'method': 'GET', 'body': b''}
OTHER = {**INNOCENT, 'path': '/parts/43'}
# Long enough to tell two crashes at the same address apart, and for news to
# arrive.
RESEND_INTERVAL_S = 11.0
ONE_ADDRESS = ('s1:1',)
SEVERAL_ADDRESSES = ('s1:1', 's2:1', 's3:1', 's4:1')


class CrashingServices(fakes.Engines):
    """Instances that crash on /parts/crash, with all requests they run."""

    def __init__(self):
        super().__init__()
        self.deaths = []
        self.hold = False
        self.running = {}

    async def send(self, request):
        self.sent.append(request)
        crashed = anyio.Event()
        peers = self.running.setdefault(request.address, [])
        peers.append(crashed)
        await anyio.lowlevel.checkpoint()
        if 'crash' in request.path:
            self.deaths.append(request.address)
            for each in self.running.pop(request.address):
                each.set()
        elif self.hold:
            await crashed.wait()
        if crashed.is_set():
            raise fakes.broken()
        peers.remove(crashed)
        return await fakes.answering(200, request.path.encode())(request)


def make_fleet(services, addresses=SEVERAL_ADDRESSES, disabled=()):
    manual_clock, items = clock.ManualClock(1000.0), {}
    listed = fakes.make_snapshot()
    service = attrs.evolve(listed.services[0], addresses=addresses)
    source = fakes.Source(attrs.evolve(listed, services=(service,)))
    entries = [
        app.make_entry_app(
            fakes.make_dependencies(
                services,
                source=source,
                clock=manual_clock,
                members=fakes.Members(
                    me=member,
                    others=tuple(each for each in MEMBERS if each != member),
                ),
                news=fakes.FakeNewsBus(items=items, owner=member.name),
                switches=invariants.SafeguardSwitches(disabled),
            )
        )
        for member in MEMBERS
    ]
    return entries, manual_clock


async def resend(entries, manual_clock, call_options, times=12):
    """Send a request to one entry after the other, as a caller would."""
    answers = []
    for entry in itertools.islice(itertools.cycle(entries), times):
        answers.append(await fakes.call(entry, **call_options))
        manual_clock.advance(RESEND_INTERVAL_S)
    return answers


@pytest.mark.parametrize('addresses', (ONE_ADDRESS, SEVERAL_ADDRESSES))
def test_poison_request_crashes_at_most_two_service_instances(addresses):
    """A poison request is refused by all entries after two crashes.

    It crashes each instance that runs it and is resent again and again, to one
    entry after the other.
    """
    services = CrashingServices()

    async def main():
        return await resend(*make_fleet(services, addresses), POISON)

    answers = anyio.run(main)
    assert len(services.deaths) == 2
    assert [got.status for got in answers[-3:]] == [422] * 3
    assert answers[-1].error['outcome'] == 'not-run'


def test_immediate_resend_crashes_no_third_instance():
    """The caller resends without a pause; entries know of the first crash."""
    services = CrashingServices()

    async def main():
        entries, _ = make_fleet(services)
        for entry in entries * 3:
            await fakes.call(entry, **POISON)

    anyio.run(main)
    assert 1 <= len(services.deaths) <= 2


def test_innocent_requests_on_a_crashed_instance_are_cleared():
    """An innocent request becomes suspect only until it was run in isolation.

    A poison request crashes an instance that runs innocent requests too. Each
    is then run in isolation. The innocent ones succeed and are no longer
    suspect at any entry, even if the poison request is resent.
    """
    services = CrashingServices()

    async def main():
        entries, manual_clock = make_fleet(services, ('s1:1', 's2:1'))
        services.hold = True
        async with anyio.create_task_group() as group:
            for call_options in (INNOCENT, OTHER):
                group.start_soon(
                    lambda one: fakes.call(entries[0], **one), call_options
                )
            while len(services.running) < 2:
                await anyio.lowlevel.checkpoint()
            services.hold = False
            await fakes.call(entries[0], **POISON)
            for running in services.running.values():
                for each in running:
                    each.set()
        for call_options in (INNOCENT, POISON, OTHER, POISON):
            manual_clock.advance(RESEND_INTERVAL_S)
            await resend(entries, manual_clock, call_options, 3)
        return [
            await resend(entries, manual_clock, call_options, 3)
            for call_options in (INNOCENT, OTHER, POISON)
        ]

    innocent_answers, other_answers, poison_answers = anyio.run(main)
    assert [got.status for got in innocent_answers + other_answers] == [200] * 6
    assert [got.status for got in poison_answers] == [422] * 3
    assert len(services.deaths) == 2


def test_lost_response_to_non_idempotent_call_is_unknown():
    """The outcome is unknown, and no second instance gets the call."""
    services = CrashingServices()
    bill = {**POISON, 'method': 'POST', 'body': {'bill': 7}}

    async def main():
        entries, _ = make_fleet(services)
        return await fakes.call(entries[0], **bill)

    assert anyio.run(main).error['outcome'] == 'unknown'
    assert len(services.deaths) == 1


def test_disabled_safeguard_allows_more_crashes():
    services = CrashingServices()
    disabled = (invariants.Safeguard.POISON_REFUSED,)

    async def main():
        await resend(*make_fleet(services, disabled=disabled), POISON)

    anyio.run(main)
    assert len(services.deaths) > 2
