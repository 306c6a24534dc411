"""Tests of the administration API with operators of two teams."""

import anyio
import httpx
import pytest
from expression import Ok

from redwingvalve.administration import (
    actions,
    app,
    audit,
    operations,
    rights,
    store_operations,
    tokens,
)
from redwingvalve.configuration import in_force
from redwingvalve.core import clock
from redwingvalve.membership import members
from redwingvalve.plans import manager as plan_manager
from redwingvalve.platform_api import object_api, vm_list
from redwingvalve.replicas import domain as domain_module
from redwingvalve.standins import memory_store

DECLARATION = """
operator: depot
deployments:
  - {name: quotes, model: quote, version: "1", replicas: 2, vms_per_replica: 4}
"""


class FixedVmList(vm_list.VmList):
    async def read(self):
        return Ok(
            tuple(
                vm_list.Vm(f'vm-{n}', f'127.0.0.1:{9000 + n}', 'nave-a', 'd-1')
                for n in range(8)
            )
        )


class OneMember(members.Members):
    def local_member(self):
        return members.Member(
            'entry-1', 1, 'entry', '127.0.0.1', 1, 2, 'nave-a', 'mvd'
        )

    def known(self):
        return (self.local_member(),)

    def isolated(self):
        return False


async def in_force_everywhere():
    return in_force.InForce(1, ())


class ApiHarness:
    """The API with an in-memory store, and a token for each role."""

    def __init__(self):
        self.store = memory_store.make_memory_object_api()
        self.clock = clock.ManualClock(1000.0)
        self.token_cache = tokens.TokenCache()
        issued = {
            'viewer': tokens.issue('vera', 'depot', rights.Role.VIEWER),
            'operator': tokens.issue('olga', 'depot', rights.Role.OPERATOR),
            'outsider': tokens.issue(
                'otto', 'race', rights.Role.OPERATOR, ('race*',)
            ),
            'administrator': tokens.issue(
                'ada', 'depot', rights.Role.ADMINISTRATOR
            ),
        }
        self.bearers = {
            role: created.bearer for role, created in issued.items()
        }
        self.token_cache.replace(created.record for created in issued.values())
        plans = plan_manager.make_plan_manager(
            self.store, FixedVmList(), self.clock
        )
        store_actions = store_operations.make_store_operations(
            store_operations.Dependencies(
                store=self.store,
                vms=FixedVmList(),
                plans=plans,
                members=OneMember(),
                clock=self.clock,
                in_force=in_force_everywhere,
                waits=list,
            )
        )
        trail = audit.AuditTrail(self.store, self.clock)
        self.app = app.make_api_app(
            app.Api(store_actions, self.token_cache, trail, self.clock)
        )

    async def call(self, role, method, path, body=None, **extra):
        headers = {}
        if role:
            headers['authorization'] = f'Bearer {self.bearers[role]}'
        transport = httpx.ASGITransport(self.app)
        async with httpx.AsyncClient(
            transport=transport, base_url='http://api'
        ) as client:
            return await client.request(
                method,
                f'/admin/v1{path}',
                json=body,
                headers=headers,
                **extra,
            )

    async def plan(self, role='operator', text=DECLARATION):
        return await self.call(
            role, 'POST', '/plans', {'declaration': text, 'file_name': 'd.yaml'}
        )


def run(scenario):
    async def body():
        await scenario(ApiHarness())

    anyio.run(body)


def test_a_confirmed_plan_is_shown_in_status():
    async def scenario(harness):
        created = (await harness.plan()).json()
        assert created['state'] == 'proposed'
        assert (await harness.call('viewer', 'GET', '/status')).json()[
            'deployments'
        ] == []
        confirmed = await harness.call(
            'operator', 'POST', f'/plans/{created["name"]}/confirm', {}
        )
        assert confirmed.status_code == 200
        status = (await harness.call('viewer', 'GET', '/status')).json()
        assert status['generation'] == 1
        assert status['deployments'][0]['wanted'] == 2
        assert 'quotes: 2 of 2 replicas' in status['at_risk'][0]

    run(scenario)


@pytest.mark.parametrize(
    ('role', 'method', 'path', 'body', 'status', 'text'),
    [
        ('', 'GET', '/status', None, 401, 'bearer token'),
        ('viewer', 'POST', '/plans', {'declaration': 'x: 1'}, 403, "'plan'"),
        ('operator', 'GET', '/tokens', None, 403, "'manage-tokens'"),
        ('operator', 'POST', '/plans', {'declaration': 'x'}, 422, 'd.yaml'),
        ('operator', 'POST', '/plans', {'decl': 'x'}, 400, "'decl'"),
        ('operator', 'POST', '/plans', [1], 400, 'JSON object'),
        ('viewer', 'GET', '/objects/tokens/x', None, 404, 'is not one of'),
        ('operator', 'POST', '/plans/no/confirm', {}, 404, "'no'"),
        (
            'operator',
            'POST',
            '/drains',
            {'kind': 'moon', 'name': 'x'},
            422,
            "'moon'",
        ),
    ],
)
def test_a_refused_action_has_a_reason_and_changes_nothing(
    role, method, path, body, status, text
):
    async def scenario(harness):
        if body == {'declaration': 'x'}:
            body['file_name'] = 'd.yaml'
        answer = await harness.call(role, method, path, body)
        assert answer.status_code == status
        assert text in answer.text
        assert not harness.store.list_now('plans').objects
        assert not harness.store.list_now('drains').objects

    run(scenario)


def test_the_drain_of_a_removed_vm_can_be_undone():
    """A drain is undone after the platform has removed the VM.

    No domain has the VM or its replica any more. If the drain couldn't be
    undone, it would stay for good and affect a later VM of the same name. An
    operator who may not change the drained deployment may not undo it either.
    """

    async def scenario(harness):
        replica = domain_module.DomainReplica(
            'q-1',
            'quotes',
            1,
            domain_module.ReplicaState.SERVING,
            ('vm-1',),
            'quote',
            '1',
        )
        created = await harness.store.create(
            domain_module.KIND,
            'd-1',
            domain_module.to_body(
                domain_module.FabricDomain(
                    'd-1',
                    'nave-a',
                    next_epoch=2,
                    vms=(domain_module.DomainVm('vm-1', '127.0.0.1:9001'),),
                    replicas=(replica,),
                )
            ),
        )
        drain = {'kind': 'vm', 'name': 'vm-1'}
        undo = {**drain, 'undo': True}
        answer = await harness.call('operator', 'POST', '/drains', drain)
        assert answer.status_code == 200
        await harness.store.delete(
            domain_module.KIND, 'd-1', created.ok.version
        )
        answer = await harness.call('outsider', 'POST', '/drains', undo)
        assert answer.status_code == 403
        assert harness.store.list_now('drains').objects
        answer = await harness.call('operator', 'POST', '/drains', undo)
        assert answer.status_code == 200
        assert not harness.store.list_now('drains').objects
        answer = await harness.call('operator', 'POST', '/drains', undo)
        assert answer.status_code == 404

    run(scenario)


def test_a_replica_too_large_for_all_domains_is_a_finding():
    """A declaration has 40 VMs per replica; the largest domain has eight.

    The response has the line and column, and no plan is stored.
    """

    async def scenario(harness):
        answer = await harness.plan(
            text=DECLARATION.replace(
                'vms_per_replica: 4', 'vms_per_replica: 40'
            )
        )
        assert answer.status_code == 422
        assert answer.json()['error']['findings'] == [
            (
                'd.yaml:4:78 (deployments[0].vms_per_replica): no fabric '
                'domain has 40 VMs; the largest of its data centres has 8'
            )
        ]
        assert not harness.store.list_now('plans').objects

    run(scenario)


def test_confirming_a_plan_requires_a_scope_for_its_deployments():
    """An operator of another team confirms a plan.

    The response has the missing right, the plan stays proposed, and the audit
    trail has the refusal.
    """

    async def scenario(harness):
        name = (await harness.plan()).json()['name']
        answer = await harness.call(
            'outsider', 'POST', f'/plans/{name}/confirm', {}
        )
        assert answer.status_code == 403
        assert 'lacks the right to change quotes' in answer.text
        plan = harness.store.list_now('plans').objects[0]
        assert plan.body['state'] == 'proposed'
        audits = (await harness.call('viewer', 'GET', '/audits')).json()
        newest = audits['audits'][0]
        assert (newest['who'], newest['result']) == ('otto', 'refused')

    run(scenario)


def test_of_two_concurrent_confirmations_one_is_refused_with_the_winner():
    """Two operators confirm plans made from the same state; one gets 200.

    The other one gets 409 with the winner's name.
    """

    async def scenario(harness):
        first = (await harness.plan('operator')).json()['name']
        second = (await harness.plan('administrator')).json()['name']
        answers = {}

        async def confirm(role, name):
            answers[role] = await harness.call(
                role, 'POST', f'/plans/{name}/confirm', {}
            )

        async with anyio.create_task_group() as group:
            group.start_soon(confirm, 'operator', first)
            group.start_soon(confirm, 'administrator', second)
        codes = sorted(each.status_code for each in answers.values())
        assert codes == [200, 409]
        loser = next(a for a in answers.values() if a.status_code == 409)
        assert 'olga confirmed plan-' in loser.text or (
            'ada confirmed plan-' in loser.text
        )

    run(scenario)


def test_an_action_is_refused_if_its_audit_entry_cannot_be_written():
    """The store is unavailable, so the audit entry can't be written.

    The operator gets a 503 at once, and nothing is changed.
    """

    async def scenario(harness):
        harness.store.set_outage(outage=True)
        answer = await harness.plan()
        assert answer.status_code == 503
        assert 'store is unavailable' in answer.text
        harness.store.set_outage(outage=False)
        assert not harness.store.list_now('audits').objects
        assert not harness.store.list_now('plans').objects

    run(scenario)


def test_a_write_with_a_lost_response_has_the_outcome_unknown():
    """A plan may have been stored although the store's response was lost.

    The operator must not be told "not-run" then, but "unknown".
    """
    lost = object_api.Unavailable('no answer', maybe_applied=True)
    sure = object_api.Unavailable('no answer', maybe_applied=False)
    outcomes = [
        operations.store_error(error).body()['error']['outcome']
        for error in (lost, sure)
    ]
    assert outcomes == ['unknown', 'not-run']


def test_a_revoked_or_expired_token_is_refused():
    async def scenario(harness):
        created = await harness.call(
            'administrator',
            'POST',
            '/tokens',
            {'name': 'ci', 'team': 'x', 'role': 'viewer'},
        )
        harness.bearers['ci'] = created.json()['bearer']
        assert await harness.token_cache.refresh(harness.store)
        stored = harness.store.list_now('tokens').objects[0]
        assert harness.bearers['ci'].split('_')[2] not in str(stored.body)
        assert (await harness.call('ci', 'GET', '/status')).status_code == 200
        record = tokens.decode({**stored.body, 'revoked': True})
        harness.token_cache.replace([record])
        assert (await harness.call('ci', 'GET', '/status')).status_code == 401
        late = tokens.decode({**stored.body, 'expires_at_s': 999.0})
        harness.token_cache.replace([late])
        assert (await harness.call('ci', 'GET', '/status')).status_code == 401

    run(scenario)


def test_the_openapi_document_has_all_actions():
    async def scenario(harness):
        transport = httpx.ASGITransport(harness.app)
        async with httpx.AsyncClient(
            transport=transport, base_url='http://api'
        ) as client:
            page = (await client.get('/openapi.json')).json()
        named = {
            operation['operationId']
            for path in page['paths'].values()
            for operation in path.values()
        }
        assert named == {action.name for action in actions.ALL}

    run(scenario)
