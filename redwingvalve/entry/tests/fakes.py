"""Fakes of the dependencies of the request path."""

import hashlib
import json

import anyio
import attrs

from redwingvalve.configuration import snapshot
from redwingvalve.core import clock, invariants
from redwingvalve.declaration import schema
from redwingvalve.entry import app, dependencies, directory, upstream
from redwingvalve.evidence import permits
from redwingvalve.membership import members
from redwingvalve.news import bus
from redwingvalve.observability import metrics, tracing
from redwingvalve.settings import schema as settings_schema

CREDENTIAL = 'secret'
ENTRY = members.Member('e1', 7, 'entry', '127.0.0.1', 1, 2, 'hall-a', 'tx')


@attrs.define
class Source(snapshot.ConfigurationSource):
    snapshot: snapshot.Snapshot

    def current(self):
        return self.snapshot


@attrs.define
class Permits(permits.ServingPermits):
    refused: set = attrs.field(factory=set)
    failures: list = attrs.field(factory=list)

    def permitted(self, replica, now_s):
        return replica.name not in self.refused

    def reported_load(self, replica, now_s):
        return None

    def report_failure(self, replica, vm, now_s):
        self.failures.append(vm)


@attrs.define
class Members(members.Members):
    others: tuple = ()
    me: members.Member = ENTRY

    def local_member(self):
        return self.me

    def known(self):
        return (self.me, *self.others)

    def isolated(self):
        return False


@attrs.define
class FakeNewsBus(bus.NewsBus):
    """A news bus that delivers to all sharers of items immediately."""

    items: dict = attrs.field(factory=dict)
    owner: str = 'e1'
    number: int = 0

    def publish(self, channel, key, body):
        self.number += 1
        self.items[channel.name, self.owner, key] = bus.NewsItem(
            channel.name, self.owner, 1, key, self.number, body, 0.0
        )

    def read(self, channel):
        return tuple(
            item
            for item in self.items.values()
            if item.channel == channel.name and item.body
        )


@attrs.define
class Engines(upstream.Upstream):
    """Scripted engines: address -> coroutine function of the request."""

    scripts: dict = attrs.field(factory=dict)
    sent: list = attrs.field(factory=list)
    cancelled: list = attrs.field(factory=list)
    unreachable: set = attrs.field(factory=set)

    async def send(self, request):
        if request.path == '/v1/cancel' and request.address in self.unreachable:
            raise upstream.UpstreamError('refused', not_sent=True)
        if request.path == '/v1/cancel':
            self.cancelled.append(json.loads(request.body)['request_id'])
            return upstream.UpstreamResponse(200, (), chunks_of(()))
        self.sent.append(request)
        return await self.scripts[request.address](request)

    async def release(self, answer):
        await answer.chunks.aclose()

    async def aclose(self):
        pass


async def chunks_of(chunks, error=None):
    for chunk in chunks:
        await anyio.lowlevel.checkpoint()
        yield chunk
    if error is not None:
        raise error


def broken(message='reset'):
    return upstream.UpstreamError(message, not_sent=False)


def event(request_id, text, finish=None):
    chunk = {
        'id': f'chatcmpl-{request_id}',
        'choices': [
            {'index': 0, 'delta': {'content': text}, 'finish_reason': finish}
        ],
    }
    return b'data: %b\n\n' % json.dumps(chunk).encode()


def tokens_after(request, total):
    """Return tokens t1..t<total>, without those of a resumed request."""
    body = json.loads(request.body)
    first = len(body.get('resume', {}).get('tokens', ())) + 1
    return [f' t{number}' for number in range(first, total + 1)]


def streaming(total=3, cut_after=None, echo=None, done=True):
    """Return a streaming engine; it disconnects after cut_after tokens."""

    async def script(request):
        request_id = echo or request.request_id
        texts = tokens_after(request, total)
        chunks = [event(request_id, text) for text in texts[:cut_after]]
        error = None
        if cut_after is not None and cut_after < len(texts):
            error = broken()
        elif done:
            chunks.append(b'data: [DONE]\n\n')
        return upstream.UpstreamResponse(
            200, (('x-request-id', request_id),), chunks_of(chunks, error)
        )

    return script


def failing(error):
    async def script(request):
        raise error

    return script


def answering(status, body=b'{}', headers=()):
    async def script(request):
        given = (
            ('x-request-id', request.request_id),
            ('content-length', str(len(body))),
            *headers,
        )
        return upstream.UpstreamResponse(status, given, chunks_of((body,)))

    return script


def replica(name, serving=True, epoch=1):
    member = snapshot.ReplicaMember(f'{name}-vm0', f'{name}:1')
    return snapshot.Replica(
        name, 'quotes', epoch, 'rack', 'hall-a', 'tx', (member,), serving
    )


def account(name='shop', **changes):
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    return schema.ClientAccount(name, digest, 5, **changes)


def make_snapshot(names=('r1', 'r2'), **changes):
    fields = {
        'version': 1,
        'deployments': (schema.ModelDeployment('quotes', 'm', '1', 2, 4),),
        'services': (
            schema.PlainService(
                'parts', '/parts', ('s1:1', 's2:1'), ('/parts/bill',)
            ),
        ),
        'client_accounts': (account(),),
        'replicas': tuple(replica(name) for name in names),
    }
    return snapshot.Snapshot(**{**fields, **changes})


def make_dependencies(engines, **changes):
    known = changes.pop('members', Members())
    fields = {
        'source': Source(make_snapshot()),
        'permits': Permits(),
        'members': known,
        'news': FakeNewsBus(),
        'upstream': engines,
        'clock': clock.make_system_clock(),
        'settings': settings_schema.RequestSettings(max_body_bytes=10_000),
        'metrics': metrics.NoMetrics(),
        'tracing': tracing.make_tracing(
            settings_schema.TracingSettings(), 'e1'
        ),
        'switches': invariants.SafeguardSwitches(),
        'directory': directory.make_members_directory(known, 10.0),
    }
    return dependencies.EntryDependencies(**{**fields, **changes})


@attrs.define
class Received:
    """What one caller received."""

    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b''
    ended: bool = False

    @property
    def error(self):
        return json.loads(self.body)['error']

    @property
    def tokens(self):
        texts = []
        for line in self.body.decode().split('\n\n'):
            if line.startswith('data: {"id"'):
                choice = json.loads(line[6:])['choices'][0]
                texts.append(choice['delta']['content'])
        return texts


async def call(
    application, path='/v1/chat/completions', body=None, hang_up=None, **options
):
    """Send one request; the caller disconnects once hang_up is set."""
    if body is None:
        body = {
            'model': 'quotes',
            'messages': [{'role': 'user'}],
            'stream': True,
        }
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = {
        'authorization': f'Bearer {CREDENTIAL}',
        **options.get('headers', {}),
    }
    scope = {
        'type': 'http',
        'method': options.get('method', 'POST'),
        'path': path,
        'query_string': b'',
        'headers': [(k.encode(), v.encode()) for k, v in headers.items()],
    }
    pending = [{'type': 'http.request', 'body': content, 'more_body': False}]
    received = options.get('received') or Received()

    async def receive():
        if pending:
            return pending.pop()
        await (hang_up or anyio.Event()).wait()
        return {'type': 'http.disconnect'}

    async def send(message):
        await anyio.lowlevel.checkpoint()
        if message['type'] == 'http.response.start':
            received.status = message['status']
            received.headers = {
                name.decode(): text.decode()
                for name, text in message['headers']
            }
            return
        received.body += message['body']
        received.ended = not message['more_body']

    await application(scope, receive, send)
    return received


def run(engines, *calls, **changes):
    """Run calls, given as arguments of call, one after the other."""

    async def main():
        application = app.make_entry_app(make_dependencies(engines, **changes))
        return [await call(application, **arguments) for arguments in calls]

    return anyio.run(main)
