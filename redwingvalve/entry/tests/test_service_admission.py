"""Responses to callers of a plain service that is overloaded."""

import anyio

from redwingvalve.core import clock
from redwingvalve.entry import app
from redwingvalve.entry.tests import fakes

HIGH_PENALTY, NO_PENALTY = 'dear', 'cheap'
# On the manual clock; far longer than the test takes on the system clock.
TIMEOUT_S = 600.0
LONG_DEADLINE = {'x-redwingvalve-deadline-ms': '600000'}


class SingleSlotService:
    """A service with one slot and an entry with a manual clock."""

    def __init__(self):
        self.clock = clock.ManualClock(10.0)
        self.slot = anyio.Semaphore(0)
        self.engines = fakes.Engines({'s1:1': self._serve})
        accounts = tuple(
            fakes.schema.ClientAccount(
                name,
                fakes.hashlib.sha256(name.encode()).hexdigest(),
                5,
                penalty_per_missed_request=penalty,
            )
            for name, penalty in ((HIGH_PENALTY, 9.0), (NO_PENALTY, 0.0))
        )
        declared = fakes.schema.PlainService(
            'parts',
            '/parts',
            ('s1:1',),
            timeout_s=TIMEOUT_S,
            max_in_flight_per_address=1,
        )
        self.application = app.make_entry_app(
            fakes.make_dependencies(
                self.engines,
                clock=self.clock,
                source=fakes.Source(
                    fakes.make_snapshot(
                        services=(declared,), client_accounts=accounts
                    )
                ),
            )
        )
        self.answers = []

    async def _serve(self, request):
        await self.slot.acquire()
        self.clock.advance(TIMEOUT_S / 10)
        return await fakes.answering(200)(request)

    async def call(self, name):
        got = await fakes.call(
            self.application,
            path='/parts/17',
            body=b'',
            method='GET',
            headers={'authorization': f'Bearer {name}', **LONG_DEADLINE},
        )
        self.answers.append((name, got))

    async def finish(self, count):
        for _ in range(count):
            self.slot.release()
            await anyio.wait_all_tasks_blocked()


def run(scenario):
    async def main():
        service = SingleSlotService()
        async with anyio.create_task_group() as group:

            async def begin(name):
                group.start_soon(service.call, name)
                await anyio.wait_all_tasks_blocked()

            await scenario(service, begin)
            group.cancel_scope.cancel()

    anyio.run(main)


def test_waiting_calls_are_served_by_penalty():
    """Waiting calls are served by penalty, and all of them are served.

    One call runs and three without a penalty wait when one with a penalty
    arrives. It is at most the second of the waiting calls to run, because fair
    and preferred turns alternate. Without a queue all but the first call would
    be refused.
    """

    async def scenario(service, begin):
        await begin(NO_PENALTY)
        for name in (NO_PENALTY, NO_PENALTY, NO_PENALTY, HIGH_PENALTY):
            await begin(name)
        assert len(service.engines.sent) == 1
        await service.finish(5)
        assert [got.status for _, got in service.answers] == [200] * 5
        assert [name for name, _ in service.answers].index(HIGH_PENALTY) <= 2

    run(scenario)


def test_calls_that_would_be_late_are_refused_on_arrival():
    """Calls that can't be served in time are refused on arrival.

    A call takes a tenth of the timeout, and thirty arrive at once. The excess
    ones are refused with a Retry-After and not-run, none waits until its
    deadline, and the service runs only the calls that get a response.
    """

    async def scenario(service, begin):
        await begin(NO_PENALTY)
        await service.finish(1)
        for _ in range(30):
            await begin(NO_PENALTY)
        refused = [got for _, got in service.answers[1:]]
        assert 15 < len(refused) < 30
        assert {got.status for got in refused} == {429}
        assert {got.error['outcome'] for got in refused} == {'not-run'}
        assert all(got.headers['retry-after'] for got in refused)
        ran = len(service.engines.sent)
        assert ran == 2

    run(scenario)


def test_disconnected_caller_frees_its_slot():
    async def scenario(service, begin):
        disconnected = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(
                lambda: fakes.call(
                    service.application,
                    path='/parts/17',
                    body=b'',
                    method='GET',
                    headers={
                        'authorization': f'Bearer {NO_PENALTY}',
                        **LONG_DEADLINE,
                    },
                    hang_up=disconnected,
                )
            )
            await anyio.wait_all_tasks_blocked()
            await begin(HIGH_PENALTY)
            disconnected.set()
            await anyio.wait_all_tasks_blocked()
            await service.finish(1)
        assert [name for name, _ in service.answers] == [HIGH_PENALTY]

    run(scenario)
