"""Runs an experiment: each policy, load, seed and repetition in turn."""

import itertools
import random
import time
import typing
from collections import abc as collections_abc

import anyio
import attrs
import yaml

from redwingvalve.bench import (
    experiment_file,
    experiment_load,
    experiment_policies,
)
from redwingvalve.reports import results
from redwingvalve.soak import (
    daemons,
    fault_injection,
    fleet_run,
    operators,
    platform,
    schedule,
)

MAX_SAMPLE_S = 2.0
Tell = collections_abc.Callable[[results.RunResult], None]


@attrs.frozen
class RunKey:
    """Which of an experiment's runs this is."""

    policy: str
    load: float
    seed: int
    repetition: int


def keys_of(
    experiment: experiment_file.Experiment,
) -> tuple[RunKey, ...]:
    """Return all runs, the policies of one seed next to each other."""
    return tuple(
        RunKey(policy, load, seed, repetition)
        for load, seed, repetition, policy in itertools.product(
            experiment.loads,
            experiment.seeds,
            range(experiment.repetitions),
            experiment.policies,
        )
    )


async def run_experiment(
    experiment: experiment_file.Experiment, tell: Tell
) -> None:
    """Run everything; tell gets each result as it comes."""
    for key in keys_of(experiment):
        with experiment_policies.installed(key.policy):
            tell(await run_once(experiment, key))


async def run_once(
    experiment: experiment_file.Experiment, key: RunKey
) -> results.RunResult:
    """Run one policy under one load and seed, in this process."""
    async with fleet_run.open_run(
        make_options(experiment, key), daemons.LocalDaemons
    ) as run:
        loads = [
            _make_load(experiment, account, run, key)
            for account in experiment.accounts
        ]
        hit = run.make_fault_context(run.make_caller('poison', 0))
        started_s = time.time()
        processor_s = time.process_time()
        async with anyio.create_task_group() as group:
            group.start_soon(
                fault_injection.inject_faults, hit, make_schedule(experiment)
            )
            for load in loads:
                group.start_soon(load.run, key.load, experiment.duration_s)
        processor_s = time.process_time() - processor_s
        moments = [
            moment
            for moment in run.observer.capacity_samples
            if moment[0] >= started_s
        ]
    return _result(
        experiment, key, loads, _Measured(started_s, processor_s, moments)
    )


@attrs.frozen
class _Measured:
    started_s: float
    processor_s: float
    moments: list[tuple[float, int, int]]


def make_options(
    experiment: experiment_file.Experiment, key: RunKey
) -> fleet_run.Options:
    """Return the fleet of an experiment."""
    fleet = experiment.fleet

    def declare(
        spec: operators.DeclarationSpec,
        addresses: tuple[str, ...],
        load_time_s: float,
    ) -> str:
        return declaration_text(experiment, spec, addresses)

    return fleet_run.Options(
        seed=key.seed + key.repetition,
        duration_s=experiment.duration_s,
        size=platform.Size(
            domains=tuple(
                (domain.name, domain.data_centre, domain.vms)
                for domain in fleet.domains
            ),
            load_time_s=fleet.load_time_s,
            step_s=fleet.step_s,
            token_budget=fleet.token_budget,
            kv_capacity_tokens=fleet.kv_capacity_tokens,
            loads_per_s=fleet.loads_per_s,
        ),
        declare=declare,
        replicas=fleet.replicas,
        credential=credential_of(experiment.accounts[0]),
    )


def credential_of(account: experiment_file.Account) -> str:
    """Return the credential of an account in experiments."""
    return f'experiment-{account.name}'


def declaration_text(
    experiment: experiment_file.Experiment,
    spec: operators.DeclarationSpec,
    addresses: tuple[str, ...],
) -> str:
    """Return the declaration of an experiment's fleet as YAML."""
    base: dict[str, typing.Any] = yaml.safe_load(
        operators.make_declaration(
            spec, addresses, experiment.fleet.load_time_s
        )
    )
    fleet = experiment.fleet
    base['deployments'][0].update(
        vms_per_replica=fleet.vms_per_replica,
        floor_replicas=fleet.floor_replicas,
        max_batch_tokens=fleet.kv_capacity_tokens,
        prices={
            'downtime_per_replica_minute': fleet.downtime_per_replica_minute,
            'stranded_per_accelerator_minute': (
                fleet.stranded_per_accelerator_minute
            ),
        },
    )
    probe = base['client_accounts'][-1]
    base['client_accounts'] = [
        *map(_account_row, experiment.accounts),
        probe,
    ]
    return yaml.safe_dump(base)


def _account_row(account: experiment_file.Account) -> dict[str, typing.Any]:
    return {
        'name': account.name,
        'credential_sha256': operators.digest_of(credential_of(account)),
        'priority': account.priority,
        'weight': account.weight,
        'penalty_per_missed_request': account.penalty_per_missed_request,
        'first_token_target_s': account.first_token_target_s,
        'deployments': [operators.DEPLOYMENT],
    }


def make_schedule(
    experiment: experiment_file.Experiment,
) -> tuple[schedule.Fault, ...]:
    """Return the faults of an experiment."""
    return tuple(
        schedule.Fault(
            fault.at_s,
            schedule.FaultName(fault.name),
            fault.where,
            fault.duration_s,
        )
        for fault in experiment.faults
    )


def _make_load(
    experiment: experiment_file.Experiment,
    account: experiment_file.Account,
    run: fleet_run.FleetRun,
    key: RunKey,
) -> experiment_load.AccountLoad:
    caller = run.make_caller(account.name, key.seed, credential_of(account))
    chance = random.Random(f'{account.name} {key.seed} {key.repetition}')
    return experiment_load.AccountLoad(
        account, experiment.bursts, caller, chance
    )


def _result(
    experiment: experiment_file.Experiment,
    key: RunKey,
    loads: list[experiment_load.AccountLoad],
    measured: _Measured,
) -> results.RunResult:
    goodput = experiment_load.goodput_by_second(
        [(load.caller.records, load.account) for load in loads],
        measured.started_s,
        experiment.duration_s,
    )
    wanted = experiment.fleet.replicas
    down = [
        (at_s, max(0, wanted - heads), stranded)
        for at_s, heads, stranded in measured.moments
    ]
    return results.RunResult(
        experiment=experiment.name,
        policy=key.policy,
        seed=key.seed,
        repetition=key.repetition,
        load=key.load,
        duration_s=experiment.duration_s,
        accounts={
            load.account.name: experiment_load.judge(
                load.caller.records, load.account
            )
            for load in loads
        },
        timeline=_timeline(down, goodput, measured.started_s),
        size=wanted,
        downtime_s=_integral(down, 1),
        stranded_s=_integral(down, 2),
        processor_s=measured.processor_s,
    )


def _timeline(
    samples: list[tuple[float, int, int]],
    goodput: list[float],
    started_s: float,
) -> tuple[results.TimelineSample, ...]:
    """Return one moment a second, with the last sample before it."""
    moments = []
    for second, rate in enumerate(goodput[:-1]):
        until_s = started_s + second + experiment_load.SAMPLE_S
        held = [sample for sample in samples if sample[0] <= until_s]
        _, down, stranded = held[-1] if held else (0.0, 0, 0)
        moments.append(
            results.TimelineSample(float(second), down, stranded, rate)
        )
    return tuple(moments)


def _integral(samples: list[tuple[float, int, int]], field: int) -> float:
    held = (
        earlier[field] * min(MAX_SAMPLE_S, later[0] - earlier[0])
        for earlier, later in itertools.pairwise(samples)
    )
    return round(sum(held), 3)
