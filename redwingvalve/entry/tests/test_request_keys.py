"""Resent non-idempotent requests, over several entries with real claims."""

import anyio
import attrs

from redwingvalve.at_most_once.tests import fleet as fleets
from redwingvalve.entry import app
from redwingvalve.entry.tests import fakes

KEY = {'idempotency-key': 'quote-7'}
BODY = {'model': 'quotes', 'messages': [{'role': 'user'}]}


def make_entries(fleet, engines):
    """Return an application for each entry of the fleet."""
    return {
        name: app.make_entry_app(
            fakes.make_dependencies(
                engines,
                members=fakes.Members(me=attrs.evolve(fakes.ENTRY, name=name)),
                key_claims=claims,
            )
        )
        for name, claims in fleet.entries.items()
    }


def send(entries, *calls):
    """Send calls, given as (entry, arguments), one after the other."""

    async def main():
        return [
            await fakes.call(entries[name], **arguments)
            for name, arguments in calls
        ]

    return anyio.run(main)


def whole(request):
    return fakes.answering(
        200, b'{"id": "chatcmpl-%b"}' % request.request_id.encode()
    )(request)


def test_resend_to_another_entry_is_a_duplicate():
    """A resend to another entry is refused as a duplicate with outcome ran.

    The caller resends with the same key, or with the same request id and no
    key, as after a broken connection.
    """
    engines = fakes.Engines({'r1:1': whole, 'r2:1': whole})
    entries = make_entries(fleets.Fleet(), engines)
    by_id = {'x-request-id': 'q8', 'x-redwingvalve-idempotent': 'false'}
    got = send(
        entries,
        ('e1', {'headers': KEY, 'body': BODY}),
        ('e2', {'headers': KEY, 'body': BODY}),
        ('e3', {'headers': by_id, 'body': BODY}),
        ('e4', {'headers': by_id, 'body': BODY}),
    )
    assert [answer.status for answer in got] == [200, 409, 200, 409]
    assert got[1].error['outcome'] == got[3].error['outcome'] == 'ran'
    assert len(engines.sent) == 2


def test_refused_request_frees_its_key():
    """A request refused as not-run can be resent with the same key.

    The first attempt finds no replica. Nothing ran, so its key must be free.
    """
    engines = fakes.Engines({'r1:1': whole, 'r2:1': whole})
    fleet = fleets.Fleet()
    entries = make_entries(fleet, engines)
    without_replicas = app.make_entry_app(
        fakes.make_dependencies(
            engines,
            key_claims=fleet.entries['e1'],
            permits=fakes.Permits({'r1', 'r2'}),
        )
    )
    got = send(
        {**entries, 'e0': without_replicas},
        ('e0', {'headers': KEY, 'body': BODY}),
        ('e2', {'headers': KEY, 'body': BODY}),
    )
    assert got[0].error['outcome'] == 'not-run'
    assert got[1].status == 200


def test_broken_connection_stays_unknown():
    """A request whose connection broke is not run again by any entry.

    It may have run, so both responses have the outcome unknown, and the request
    is sent to an endpoint only once.
    """
    engines = fakes.Engines(
        {
            'r1:1': fakes.failing(fakes.broken()),
            'r2:1': fakes.failing(fakes.broken()),
        }
    )
    entries = make_entries(fleets.Fleet(), engines)
    got = send(
        entries,
        ('e1', {'headers': KEY, 'body': BODY}),
        ('e5', {'headers': KEY, 'body': BODY}),
    )
    assert [answer.error['outcome'] for answer in got] == ['unknown'] * 2
    assert len(engines.sent) == 1


def test_lost_voter_majority_is_refused_with_retry_after():
    """Without a majority of voters a new key is refused with a retry-after.

    Three of five voters have lost their claims. Nothing is sent, and the
    response comes at once.
    """
    engines = fakes.Engines({'r1:1': whole, 'r2:1': whole})
    fleet = fleets.Fleet()
    fleet.crash_together(('e2', 'e3', 'e4'))
    fleet.settle(fleets.READY_S)
    (got,) = send(
        make_entries(fleet, engines), ('e1', {'headers': KEY, 'body': BODY})
    )
    assert (got.status, got.error['outcome']) == (503, 'unknown')
    assert got.error['retry_after_s'] == 30
    assert not engines.sent


def test_issued_key_works_once():
    engines = fakes.Engines({'r1:1': whole, 'r2:1': whole})
    entries = make_entries(fleets.Fleet(), engines)
    (issued,) = send(entries, ('e1', {'path': '/v1/request-keys'}))
    key = {'idempotency-key': fakes.json.loads(issued.body)['key']}
    got = send(
        entries,
        ('e2', {'headers': key, 'body': BODY}),
        ('e1', {'headers': key, 'body': BODY}),
    )
    assert [answer.status for answer in got] == [200, 409]
