"""What control costs a node as the fleet grows: processor, memory, bytes.

Members run in one process over the real messages and loopback sockets, with
time slowed so that the processor is not the bound. Rest, news and changes are
measured apart, so that each has a slope of its own.
"""

import gc
import time

import attrs
import psutil

from redwingvalve.bench import peer_fleet

TARGET_SIZE = 360
# Members for which one core at a slow factor of one is enough.
MEMBERS_AT_FULL_SPEED = 20
SETTLING_S = 6.0
MEASURED_S = 12.0
# The letter's fleet: 2,400 replicas, two probers each, over 360 entries.
REPLICAS = 2400
REPLICAS_PER_DOMAIN = 8
ACCOUNTS = 100
PROBERS = 2
CHANGE_INTERVAL_S = 2.0
DARK_DATA_CENTRE = 'dc-00'
LOST_REGION = 'region-4'
# Long enough that a region's members are shown as suspect; the dead are kept
# for two hours, so that an hour differs from it in nothing that travels.
LOST_S = 20.0
RACK_DOMAINS = 2
RACK_REPLICAS = 10
WRITES_PER_REPLICA = 3
BATCHED_BYTES_PER_REPLICA = 7
SINGLE_ITEM_BYTES = 190
MS_PER_S = 1000


@attrs.frozen
class Cost:
    """What one member spends a second; memory in bytes."""

    size: int
    load: str
    processor_ms: float
    sent_bytes: float
    received_bytes: float
    messages: float
    memory_bytes: float
    connections: float
    news_age_p50_s: float
    news_age_p99_s: float


@attrs.frozen
class _Reading:
    processor_s: float
    sent_bytes: int
    received_bytes: int
    messages: int


def evidence_load(name: str, size: int) -> peer_fleet.NewsLoad | None:
    """Return what one entry publishes of the replicas that it probes."""
    replicas = REPLICAS * size / TARGET_SIZE * PROBERS / size
    if name == 'batched':
        body_bytes = int(replicas * BATCHED_BYTES_PER_REPLICA)
        return peer_fleet.NewsLoad(items=1, item_bytes=body_bytes)
    if name == 'single':
        return peer_fleet.NewsLoad(
            items=round(replicas), item_bytes=SINGLE_ITEM_BYTES
        )
    return None


async def measure(
    size: int, load: str, measured_s: float, per_vm: int = 1
) -> Cost:
    """Run a fleet and return what its members spend on average."""
    factor = max(1.0, size / MEMBERS_AT_FULL_SPEED)
    gc.collect()
    memory_before = psutil.Process().memory_info().rss
    news = evidence_load(load, size)
    async with peer_fleet.run_fleet(size, factor, news, per_vm) as fleet:
        await fleet.settled()
        await _declare(fleet, size)
        await fleet.clock.sleep(SETTLING_S)
        await _prepare(fleet, load)
        before, started_s = _read(fleet), fleet.clock.monotonic_s()
        await _pass(fleet, load, measured_s)
        spent = _minus(_read(fleet), before)
        passed_s = fleet.clock.monotonic_s() - started_s
        passed_s *= len(fleet.nodes)
        used_bytes = psutil.Process().memory_info().rss - memory_before
        return Cost(
            size=size,
            load=load,
            processor_ms=spent.processor_s * MS_PER_S / passed_s,
            sent_bytes=spent.sent_bytes / passed_s,
            received_bytes=spent.received_bytes / passed_s,
            messages=spent.messages / passed_s,
            memory_bytes=used_bytes / size,
            connections=_connections(fleet),
            news_age_p50_s=_age(fleet, 0.5),
            news_age_p99_s=_age(fleet, 0.99),
        )


async def _declare(fleet: peer_fleet.Fleet, size: int) -> None:
    domains = REPLICAS * size // TARGET_SIZE // REPLICAS_PER_DOMAIN
    for index in range(domains):
        body = peer_fleet.domain_body(index, 1, REPLICAS_PER_DOMAIN)
        await fleet.store.create('fabricdomains', f'domain-{index:03d}', body)
    for number in range(ACCOUNTS):
        name = f'account-{number:03d}'
        body = peer_fleet.account_body(name)
        await fleet.store.create('clientaccounts', name, body)


async def _prepare(fleet: peer_fleet.Fleet, load: str) -> None:
    """Bring about what is measured, just before."""
    if load == 'storm':
        await fleet.darken(DARK_DATA_CENTRE)
    if load == 'return':
        gone = [
            each.members.local_member()
            for each in fleet.nodes
            if each.members.local_member().region == LOST_REGION
        ]
        for data_centre in sorted({each.data_centre for each in gone}):
            await fleet.darken(data_centre)
        await fleet.clock.sleep(LOST_S)
        await fleet.bring_back(gone)


async def _pass(fleet: peer_fleet.Fleet, load: str, measured_s: float) -> None:
    """Let the measured time pass."""
    if load == 'changes':
        await _change(fleet, measured_s)
    elif load == 'rack':
        await _lose_rack(fleet, measured_s)
    else:
        await fleet.clock.sleep(measured_s)


async def _lose_rack(fleet: peer_fleet.Fleet, measured_s: float) -> None:
    """Change a rack's domains as their holders form its replicas anew.

    40 VMs are the members of ten replicas; each ends, is formed and serves
    again, which is three writes of its domain.
    """
    names = [f'domain-{index:03d}' for index in range(RACK_DOMAINS)]
    writes = RACK_REPLICAS * WRITES_PER_REPLICA
    for number in range(writes):
        name = names[number % len(names)]
        found = await fleet.store.get('fabricdomains', name)
        if found.is_ok():
            body = {**found.ok.body, 'epoch': found.ok.body['epoch'] + 1}
            changed = attrs.evolve(found.ok, body=body)
            written = await fleet.store.update(changed)
            # The process whose controller holds the domain's lease.
            fleet.holder_in(body['region']).configuration.observe(written.ok)
        await fleet.clock.sleep(measured_s / writes)


async def _change(fleet: peer_fleet.Fleet, measured_s: float) -> None:
    for number in range(int(measured_s / CHANGE_INTERVAL_S)):
        name = f'account-{number % ACCOUNTS:03d}'
        held = (await fleet.store.get('clientaccounts', name)).ok
        body = peer_fleet.account_body(name, priority=number + 2)
        await fleet.store.update(attrs.evolve(held, body=body))
        await fleet.clock.sleep(CHANGE_INTERVAL_S)


def _read(fleet: peer_fleet.Fleet) -> _Reading:
    traffic = [each.caller.traffic for each in fleet.nodes]
    return _Reading(
        time.process_time(),
        sum(each.sent_bytes for each in traffic),
        sum(each.received_bytes for each in traffic),
        sum(each.calls_made + each.calls_answered for each in traffic),
    )


def _minus(after: _Reading, before: _Reading) -> _Reading:
    return _Reading(
        after.processor_s - before.processor_s,
        after.sent_bytes - before.sent_bytes,
        after.received_bytes - before.received_bytes,
        after.messages - before.messages,
    )


def _age(fleet: peer_fleet.Fleet, share: float) -> float:
    ages = sorted(
        item.age_s
        for each in fleet.nodes
        for item in each.news.read(peer_fleet.EVIDENCE)
        if item.owner != each.members.local_member().name
    )
    return ages[int(len(ages) * share)] if ages else 0.0


def _connections(fleet: peer_fleet.Fleet) -> float:
    kept = sum(each.caller.idle_connections() for each in fleet.nodes)
    return kept / len(fleet.nodes)
