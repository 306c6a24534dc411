"""Operators of two teams act on one API, in-process."""

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


async def nothing_missing():
    return in_force.InForce(1, ())


class Bench:
    """The API over a store in memory, and a token for each role."""

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
        self.bearers = {role: made.bearer for role, made in issued.items()}
        self.token_cache.replace(made.record for made in issued.values())
        plans = plan_manager.make_plan_manager(
            self.store, FixedVmList(), self.clock
        )
        doer = store_operations.make_store_operations(
            store_operations.Dependencies(
                store=self.store,
                vms=FixedVmList(),
                plans=plans,
                members=OneMember(),
                clock=self.clock,
                in_force=nothing_missing,
                waits=list,
            )
        )
        trail = audit.AuditTrail(self.store, self.clock)
        self.app = app.make_api_app(
            app.Api(doer, self.token_cache, trail, self.clock)
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
        await scenario(Bench())

    anyio.run(body)


def test_a_plan_is_made_confirmed_and_seen_in_status():
    async def scenario(bench):
        made = (await bench.plan()).json()
        assert made['state'] == 'proposed'
        assert (await bench.call('viewer', 'GET', '/status')).json()[
            'deployments'
        ] == []
        confirmed = await bench.call(
            'operator', 'POST', f'/plans/{made["name"]}/confirm', {}
        )
        assert confirmed.status_code == 200
        status = (await bench.call('viewer', 'GET', '/status')).json()
        assert status['generation'] == 1
        assert status['deployments'][0]['wanted'] == 2
        assert 'quotes: 2 of 2 replicas' in status['at_risk'][0]

    run(scenario)


@pytest.mark.parametrize(
    ('role', 'method', 'path', 'body', 'status', 'word'),
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
def test_a_refused_action_says_why_and_changes_nothing(
    role, method, path, body, status, word
):
    async def scenario(bench):
        if body == {'declaration': 'x'}:
            body['file_name'] = 'd.yaml'
        answer = await bench.call(role, method, path, body)
        assert answer.status_code == status
        assert word in answer.text
        assert not bench.store.list_now('plans').objects
        assert not bench.store.list_now('drains').objects

    run(scenario)


def test_the_drain_of_a_vm_that_is_gone_can_be_undone():
    """An operator takes a drain back after the platform took the VM away.

    No domain names the VM or its replica any more. Otherwise the drain would
    stand for good and hit a later VM of that name. Who may not change the
    deployment that was drained may not take it back either.
    """

    async def scenario(bench):
        replica = domain_module.DomainReplica(
            'q-1',
            'quotes',
            1,
            domain_module.ReplicaState.SERVING,
            ('vm-1',),
            'quote',
            '1',
        )
        made = await bench.store.create(
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
        answer = await bench.call('operator', 'POST', '/drains', drain)
        assert answer.status_code == 200
        await bench.store.delete(domain_module.KIND, 'd-1', made.ok.version)
        answer = await bench.call('outsider', 'POST', '/drains', undo)
        assert answer.status_code == 403
        assert bench.store.list_now('drains').objects
        answer = await bench.call('operator', 'POST', '/drains', undo)
        assert answer.status_code == 200
        assert not bench.store.list_now('drains').objects
        answer = await bench.call('operator', 'POST', '/drains', undo)
        assert answer.status_code == 404

    run(scenario)


def test_a_replica_that_no_domain_can_hold_is_a_finding_with_its_place():
    """An operator types 40 VMs a replica; the largest domain has eight.

    The answer names the line, and no plan is kept.
    """

    async def scenario(bench):
        answer = await bench.plan(
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
        assert not bench.store.list_now('plans').objects

    run(scenario)


def test_who_may_not_touch_a_deployment_cannot_confirm_its_plan():
    """An operator of another team is told the missing right.

    The plan stays as it was, the refusal stands in the audit trail.
    """

    async def scenario(bench):
        name = (await bench.plan()).json()['name']
        answer = await bench.call(
            'outsider', 'POST', f'/plans/{name}/confirm', {}
        )
        assert answer.status_code == 403
        assert 'lacks the right to change quotes' in answer.text
        plan = bench.store.list_now('plans').objects[0]
        assert plan.body['state'] == 'proposed'
        audits = (await bench.call('viewer', 'GET', '/audits')).json()
        newest = audits['audits'][0]
        assert (newest['who'], newest['result']) == ('otto', 'refused')

    run(scenario)


def test_of_two_racing_operators_one_wins_and_the_other_is_told_by_whom():
    """Both confirm a plan made from the same world; one gets 200.

    The other gets 409 with the winner's name, and its plan is not in force.
    """

    async def scenario(bench):
        first = (await bench.plan('operator')).json()['name']
        second = (await bench.plan('administrator')).json()['name']
        answers = {}

        async def confirm(role, name):
            answers[role] = await bench.call(
                role, 'POST', f'/plans/{name}/confirm', {}
            )

        async with anyio.create_task_group() as group:
            group.start_soon(confirm, 'operator', first)
            group.start_soon(confirm, 'administrator', second)
        codes = sorted(each.status_code for each in answers.values())
        assert codes == [200, 409]
        loser = next(a for a in answers.values() if a.status_code == 409)
        assert 'olga was faster' in loser.text or (
            'ada was faster' in loser.text
        )

    run(scenario)


def test_no_action_runs_without_its_audit_entry():
    """With the store away an operator is told so at once and to come back.

    The audit entry cannot be written, so nothing is done; reading still
    answers with the reason.
    """

    async def scenario(bench):
        bench.store.set_outage(outage=True)
        answer = await bench.plan()
        assert answer.status_code == 503
        assert 'store is away' in answer.text
        bench.store.set_outage(outage=False)
        assert not bench.store.list_now('audits').objects
        assert not bench.store.list_now('plans').objects

    run(scenario)


def test_an_action_whose_write_may_stand_is_not_called_not_run():
    """An operator whose plan may have been kept must not read "not-run".

    A store error that may hide a write that stands is told as unknown.
    """
    lost = object_api.Unavailable('no answer', maybe_applied=True)
    sure = object_api.Unavailable('no answer', maybe_applied=False)
    outcomes_told = [
        operations.store_error(error).body()['error']['outcome']
        for error in (lost, sure)
    ]
    assert outcomes_told == ['unknown', 'not-run']


def test_a_revoked_or_expired_token_is_refused():
    async def scenario(bench):
        made = await bench.call(
            'administrator',
            'POST',
            '/tokens',
            {'name': 'ci', 'team': 'x', 'role': 'viewer'},
        )
        bench.bearers['ci'] = made.json()['bearer']
        assert await bench.token_cache.refresh(bench.store)
        stored = bench.store.list_now('tokens').objects[0]
        assert bench.bearers['ci'].split('_')[2] not in str(stored.body)
        assert (await bench.call('ci', 'GET', '/status')).status_code == 200
        record = tokens.decode({**stored.body, 'revoked': True})
        bench.token_cache.replace([record])
        assert (await bench.call('ci', 'GET', '/status')).status_code == 401
        late = tokens.decode({**stored.body, 'expires_at_s': 999.0})
        bench.token_cache.replace([late])
        assert (await bench.call('ci', 'GET', '/status')).status_code == 401

    run(scenario)


def test_every_action_stands_on_the_openapi_page():
    async def scenario(bench):
        transport = httpx.ASGITransport(bench.app)
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
