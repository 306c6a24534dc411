"""Derives the faults of a run from its seed: single, paired and repeated."""

import enum
import random
import types

import attrs

QUIET_AT_START_S = 4.0
QUIET_AT_END_S = 15.0
MEAN_GAP_S = 3.0
PAIR_SHARE = 0.3
REPEAT_SHARE = 0.2
SOON_S = 1.5


class FaultName(enum.StrEnum):
    """The kinds of faults."""

    VM_DIES = 'vm-dies'
    VM_PAUSES = 'vm-pauses'
    VM_STRAGGLES = 'vm-straggles'
    DOMAIN_DARK = 'domain-dark'
    VM_LEAVES = 'vm-leaves'
    VM_UNREACHABLE = 'vm-unreachable'
    ANSWER_CROSSED = 'answer-crossed'
    ANSWER_TRUNCATED = 'answer-truncated'
    POISON = 'poison-request'
    STORE_DOWN = 'store-down'
    STORE_SLOW = 'store-slow'
    STORE_LOSES_ANSWERS = 'store-loses-answers'
    SERVICE_LOSES_ANSWERS = 'service-loses-answers'
    ENTRY_DIES = 'entry-dies'
    ENTRY_STOPS = 'entry-stops'
    ENTRY_PAUSES = 'entry-pauses'
    CONTROL_DIES = 'control-dies'
    CONTROL_PAUSES = 'control-pauses'
    OPERATORS_RACE = 'operators-race'
    PEERS_CUT = 'peers-cut'
    PEERS_CUT_ONE_WAY = 'peers-cut-one-way'
    DAEMONS_SIGNALLED = 'daemons-signalled'


SHARES = types.MappingProxyType(
    {
        FaultName.VM_DIES: 4,
        FaultName.VM_PAUSES: 3,
        FaultName.VM_STRAGGLES: 2,
        FaultName.DOMAIN_DARK: 1,
        FaultName.VM_LEAVES: 2,
        FaultName.VM_UNREACHABLE: 2,
        FaultName.ANSWER_CROSSED: 3,
        FaultName.ANSWER_TRUNCATED: 3,
        FaultName.POISON: 2,
        FaultName.STORE_DOWN: 2,
        FaultName.STORE_SLOW: 2,
        FaultName.STORE_LOSES_ANSWERS: 2,
        FaultName.SERVICE_LOSES_ANSWERS: 2,
        FaultName.ENTRY_DIES: 2,
        FaultName.ENTRY_STOPS: 2,
        FaultName.ENTRY_PAUSES: 2,
        FaultName.CONTROL_DIES: 2,
        FaultName.CONTROL_PAUSES: 2,
        FaultName.OPERATORS_RACE: 4,
        FaultName.PEERS_CUT: 4,
        FaultName.PEERS_CUT_ONE_WAY: 3,
        FaultName.DAEMONS_SIGNALLED: 2,
    }
)


NO_FAULTS: frozenset[FaultName] = frozenset()


@attrs.frozen
class Fault:
    """A fault at at_s after the start; where (0 to 1) selects its target."""

    at_s: float
    name: FaultName
    where: float
    duration_s: float

    def __str__(self) -> str:
        """Return one line of the printed schedule."""
        return (
            f'{self.at_s:7.2f} s  {self.name.value}'
            f' where={self.where:.3f} for {self.duration_s:.2f} s'
        )


def make_schedule(
    seed: int,
    duration_s: float,
    excluded_faults: frozenset[FaultName] = NO_FAULTS,
) -> tuple[Fault, ...]:
    """Return the faults of a run in chronological order."""
    rng = random.Random(seed)
    kept = {
        name: share
        for name, share in SHARES.items()
        if name not in excluded_faults
    }
    schedule: list[Fault] = []
    at_s = QUIET_AT_START_S
    while at_s < duration_s - QUIET_AT_END_S:
        fault = _draw(rng, at_s, kept)
        schedule.append(fault)
        if rng.random() < PAIR_SHARE:
            soon_s = at_s + rng.uniform(0.0, SOON_S)
            schedule.append(_draw(rng, soon_s, kept))
        if rng.random() < REPEAT_SHARE:
            again_s = at_s + fault.duration_s * rng.uniform(0.3, 1.2)
            schedule.append(attrs.evolve(fault, at_s=again_s))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return tuple(sorted(schedule, key=lambda fault: fault.at_s))


def _draw(
    rng: random.Random, at_s: float, shares: dict[FaultName, int]
) -> Fault:
    name = rng.choices(list(shares), list(shares.values()))[0]
    return Fault(at_s, name, rng.random(), rng.uniform(1.0, 6.0))
