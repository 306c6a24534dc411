"""Fuzz tests: any input gives a clear error, no crash, hang or change."""

import asyncio
import json
import random

import anyio
import hypothesis
from hypothesis import strategies

from redwingvalve.configuration import decoding, records, store_watch
from redwingvalve.core import clock, invariants
from redwingvalve.entry import app
from redwingvalve.entry.tests import fakes
from redwingvalve.plans import objects
from redwingvalve.replicas import domain
from redwingvalve.standins import memory_store
from redwingvalve.wire import handlers, messages, packing, rpc, server, traffic

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['model', 'messages', 'role', 'content', 'max_tokens', 'x']
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)
GOOD_BODY = {
    'model': 'quotes',
    'messages': [{'role': 'user', 'content': 'x'}],
    'max_tokens': 3,
}
BODIES = (
    strategies.binary(max_size=200)
    | JSON_VALUES.map(lambda value: json.dumps(value).encode())
    | strategies.dictionaries(
        strategies.sampled_from([*GOOD_BODY, 'stream', 'resume', 'prompt']),
        JSON_VALUES,
        min_size=1,
        max_size=2,
    ).map(lambda replaced: json.dumps({**GOOD_BODY, **replaced}).encode())
)
HEADERS = strategies.dictionaries(
    strategies.sampled_from(
        [
            'authorization',
            'x-request-id',
            'x-redwingvalve-deadline-ms',
            'x-redwingvalve-priority',
            'x-redwingvalve-idempotent',
            'content-length',
            'traceparent',
        ]
    ),
    strategies.text(
        strategies.characters(max_codepoint=255, exclude_characters='\r\n'),
        max_size=30,
    ).map(lambda text: text.encode('latin1').decode('utf-8', 'replace')),
    max_size=2,
)
PATHS = strategies.sampled_from(
    ['/v1/chat/completions', '/v1/completions', '/v1/models', '/parts/x']
) | strategies.text(max_size=20).map(lambda text: f'/{text}')


@hypothesis.settings(max_examples=150)
@hypothesis.given(
    PATHS, strategies.sampled_from(['GET', 'POST', 'PUT']), HEADERS, BODIES
)
def test_any_http_request_gets_an_answer_with_an_outcome(
    path, method, headers, body
):
    engines = fakes.Engines(
        {
            'r1:1': fakes.streaming(),
            'r2:1': fakes.streaming(),
            's1:1': fakes.answering(200),
            's2:1': fakes.answering(200),
        }
    )

    async def scenario():
        application = app.make_entry_app(fakes.make_dependencies(engines))
        with anyio.fail_after(20):
            return await fakes.call(
                application, path, body, headers=headers, method=method
            )

    received = anyio.run(scenario)
    assert received.status
    assert 'x-redwingvalve-outcome' in received.headers
    if 400 <= received.status < 500:
        assert received.error['code'], received.body
        assert received.error['outcome'] == 'not-run'
        assert engines.sent == []


@hypothesis.given(strategies.binary(max_size=300))
def test_rejects_invalid_packed_messages(packed):
    for empty in (
        messages.peer.KeyClaim(),
        messages.peer.RecordsReply(),
        messages.peer.NewsRecord(),
    ):
        unpacked = packing.unpack(empty, packed)
        assert unpacked.is_ok() or unpacked.error


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    strategies.lists(strategies.binary(max_size=80), min_size=1, max_size=4)
)
def test_peer_server_survives_arbitrary_bytes(junk):
    """A peer of another version or a port scanner sends invalid calls.

    The connection may be closed; the next valid call must get a response.
    """

    async def scenario():
        counted = traffic.Traffic()
        served = server.PeerServer(handlers.make_peer_handler(), counted)
        await served.start('127.0.0.1', 0)
        for part in junk:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', served.port
            )
            writer.write(part)
            writer.close()
            await reader.read()
        caller = rpc.make_peer_caller(clock.make_system_clock())
        with anyio.fail_after(20):
            answered = await caller.call(
                ('127.0.0.1', served.port),
                'claim_key',
                messages.peer.KeyClaim(),
                5.0,
            )
        assert answered.error.kind.value == 'remote'
        caller.close_idle()
        await served.aclose()

    anyio.run(scenario)


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    strategies.sampled_from(store_watch.WATCHED_KINDS),
    strategies.dictionaries(strategies.text(max_size=8), JSON_VALUES)
    | strategies.fixed_dictionaries(
        {'generation': JSON_VALUES, 'content': JSON_VALUES}
    ),
)
def test_unreadable_object_does_not_stop_the_store_watch(kind, body):
    """The store lists an object of a later version or a malformed one.

    The readable objects listed with it must still come into force.
    """

    async def scenario():
        store = memory_store.make_memory_object_api()
        table = records.RecordTable(invariants.SafeguardSwitches())
        decoder = decoding.Decoder(decode_domain)
        watch = store_watch.StoreWatch(
            store,
            table,
            decoder,
            clock.make_system_clock(),
            random.Random(1),
        )
        await store.create(kind, 'malformed', body)
        account = fakes.account()
        await store.create(
            objects.CLIENT_ACCOUNTS,
            account.name,
            objects.declared_body(1, account),
        )
        for each in store_watch.WATCHED_KINDS:
            await watch.list_once(each)
        return decoder.to_snapshot(table, 'tx', 1)

    found = anyio.run(scenario)
    assert fakes.account() in found.client_accounts


def decode_domain(stored):
    return domain.to_snapshot_replicas(domain.from_stored(stored))
