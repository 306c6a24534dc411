"""Daemons that trust only the certificates of one authority."""

import ssl

import anyio
import attrs
import httpx
import pytest

from redwingvalve.core import clock
from redwingvalve.demo import operator, platform, walkthrough
from redwingvalve.process import control, entry
from redwingvalve.settings import schema
from redwingvalve.tls import contexts
from redwingvalve.tls.tests import test_contexts as certificates
from redwingvalve.wire import messages, rpc


def with_tls(settings, tls):
    return attrs.evolve(settings, peer_tls=tls, administration_tls=tls)


async def call_api(settings, bearer, authority_file):
    context = ssl.create_default_context(cafile=authority_file)
    context.check_hostname = False
    address = f'127.0.0.1:{settings.listen.http_port}'
    async with httpx.AsyncClient(
        verify=context, headers={'authorization': f'Bearer {bearer}'}
    ) as client:
        return await client.get(f'https://{address}/admin/v1/entries')


async def wait_until(condition):
    with anyio.fail_after(30):
        while not await condition():
            await anyio.sleep(0.05)


def test_peers_and_operators_are_served_over_tls_and_across_a_renewal(
    tmp_path, monkeypatch
):
    """An operator sees both processes; a peer without certificate is refused.

    The entry and the controller connect over mutual TLS. Then the certificates
    are replaced while both run; new connections use the new ones and the API
    answers a client that trusts only the new authority.
    """
    monkeypatch.setattr(contexts, 'RELOAD_INTERVAL_S', 0.1)
    certificates.write_certificate(tmp_path, 'first')
    tls = certificates.settings_in(tmp_path)

    async def scenario():
        async with platform.run_platform({'d-1': 1}) as fake_platform:
            fleet = walkthrough.make_fleet_settings(fake_platform)
            node = with_tls(fleet.entries[0], tls)
            controller = with_tls(fleet.control, tls)
            bearer = await operator.issue_first_token(fake_platform.store)
            stop = anyio.Event()
            async with anyio.create_task_group() as group:
                group.start_soon(entry.run_entry, node, stop)
                group.start_soon(control.run_control, controller, stop)

                async def both_processes_are_listed():
                    try:
                        answer = await call_api(
                            controller, bearer, tls.authority_file
                        )
                    except httpx.HTTPError:
                        return False
                    if answer.status_code != 200:
                        return False
                    names = {row['name'] for row in answer.json()['entries']}
                    return names == {'entry-1', 'control-1'}

                await wait_until(both_processes_are_listed)
                caller_without_certificate = rpc.make_peer_caller(
                    clock.make_system_clock()
                )
                refused = await caller_without_certificate.call(
                    ('127.0.0.1', node.listen.peer_port),
                    'probe',
                    messages.peer.ProbeRequest(),
                    timeout_s=1.0,
                )
                assert refused.is_error()
                certificates.write_certificate(tmp_path, 'renewed-name')
                await wait_until(both_processes_are_listed)
                stop.set()

    anyio.run(scenario)


def test_a_daemon_with_unusable_certificates_does_not_start(tmp_path):
    async def scenario():
        async with platform.run_platform({'d-1': 1}) as fake_platform:
            settings = with_tls(
                walkthrough.make_fleet_settings(fake_platform).control,
                schema.TlsSettings('absent.pem', 'absent.pem', 'absent.pem'),
            )
            with pytest.raises(Exception, match='absent.pem'):
                await control.run_control(settings, anyio.Event())

    anyio.run(scenario)
