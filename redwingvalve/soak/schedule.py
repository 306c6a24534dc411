"""The faults of a run, derived from its seed: alone, together and twice."""

import enum
import random
import types

import attrs

CALM_AT_START_S = 4.0
CALM_AT_END_S = 15.0
MEAN_GAP_S = 3.0
TOGETHER_SHARE = 0.3
TWICE_SHARE = 0.2
SOON_S = 1.5


class FaultName(enum.StrEnum):
    """What fails, from the brief's list."""

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
    }
)


NOTHING: frozenset[FaultName] = frozenset()


@attrs.frozen
class Fault:
    """A fault at at_s after the start; where picks its target by share."""

    at_s: float
    name: FaultName
    where: float
    duration_s: float

    def __str__(self) -> str:
        """Return a line of the printed schedule."""
        return (
            f'{self.at_s:7.2f} s  {self.name.value}'
            f' where={self.where:.3f} for {self.duration_s:.2f} s'
        )


def make_schedule(
    seed: int,
    duration_s: float,
    left_out: frozenset[FaultName] = NOTHING,
) -> tuple[Fault, ...]:
    """Return the faults of a run in the order of their time."""
    chance = random.Random(seed)
    kept = {
        name: share for name, share in SHARES.items() if name not in left_out
    }
    schedule: list[Fault] = []
    at_s = CALM_AT_START_S
    while at_s < duration_s - CALM_AT_END_S:
        fault = _draw(chance, at_s, kept)
        schedule.append(fault)
        if chance.random() < TOGETHER_SHARE:
            soon_s = at_s + chance.uniform(0.0, SOON_S)
            schedule.append(_draw(chance, soon_s, kept))
        if chance.random() < TWICE_SHARE:
            again_s = at_s + fault.duration_s * chance.uniform(0.3, 1.2)
            schedule.append(attrs.evolve(fault, at_s=again_s))
        at_s += chance.expovariate(1 / MEAN_GAP_S)
    return tuple(sorted(schedule, key=lambda fault: fault.at_s))


def _draw(
    chance: random.Random, at_s: float, shares: dict[FaultName, int]
) -> Fault:
    name = chance.choices(list(shares), list(shares.values()))[0]
    return Fault(at_s, name, chance.random(), chance.uniform(1.0, 6.0))
