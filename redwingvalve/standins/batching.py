"""Continuous batching: every step spends a budget of tokens over all runs.

Decoding runs get one token a step; what is left of the budget goes to the
prompts of new runs. A run waits while the KV cache is full. Runs with a lower
priority number go first, as in the published engines.
"""

import anyio
import attrs

TOKEN_BUDGET = 512
STEP_S = 0.02
KV_CAPACITY_TOKENS = 65_536


@attrs.define(eq=False)
class Run:
    """One request inside the engine; done counts generated tokens."""

    request_id: str
    prompt: str
    priority: int
    arrival: int
    prompt_tokens: int
    max_tokens: int
    done: int = 0
    prefilled: int = 0
    admitted: bool = False
    cut: str = ''
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def kv_tokens(self) -> int:
        """Return the memory that the run may need, in tokens."""
        return self.prompt_tokens + self.max_tokens

    @property
    def ended(self) -> bool:
        """Tell whether no further token will come."""
        return bool(self.cut) or self.done >= self.max_tokens

    def wake(self) -> None:
        """Let the run's reader look again."""
        self.changed.set()
        self.changed = anyio.Event()


@attrs.define
class BatchSettings:
    """Speeds and sizes of the simulated engine."""

    token_budget: int = TOKEN_BUDGET
    step_s: float = STEP_S
    kv_capacity_tokens: int = KV_CAPACITY_TOKENS


class Batch:
    """All runs of an engine; it is stepped from outside."""

    def __init__(self, settings: BatchSettings) -> None:
        """Start empty."""
        self.settings = settings
        self.tokens_generated = 0
        self._runs: list[Run] = []

    @property
    def runs(self) -> tuple[Run, ...]:
        """Return all runs that have not ended."""
        return tuple(self._runs)

    def add(self, run: Run) -> None:
        """Queue a run."""
        self._runs.append(run)
        self._runs.sort(key=lambda queued: (queued.priority, queued.arrival))

    def kv_used_tokens(self) -> int:
        """Return the memory of the admitted runs."""
        return sum(run.kv_tokens for run in self._runs if run.admitted)

    def waiting(self) -> int:
        """Return how many runs have not been admitted."""
        return sum(not run.admitted for run in self._runs)

    def cut(self, run: Run, reason: str) -> None:
        """End a run before its end and free its memory."""
        if run in self._runs:
            self._runs.remove(run)
        if not run.ended:
            run.cut = reason
        run.wake()

    def cut_all(self, reason: str) -> None:
        """End every run."""
        for run in self.runs:
            self.cut(run, reason)

    def admit(self) -> list[Run]:
        """Admit waiting runs while memory lasts; return the new ones."""
        free = self.settings.kv_capacity_tokens - self.kv_used_tokens()
        admitted = []
        for run in self._runs:
            if run.admitted:
                continue
            if run.kv_tokens > free and self._anything_admitted():
                break
            run.admitted = True
            free -= run.kv_tokens
            admitted.append(run)
        return admitted

    def step(self) -> None:
        """Spend one step's budget and let go of the runs that are done."""
        budget = self.settings.token_budget
        for run in self.runs:
            if not run.admitted or budget <= 0:
                continue
            budget -= self._advance(run, budget)
        self._runs = [left for left in self._runs if not left.ended]

    def _advance(self, run: Run, budget: int) -> int:
        missing = run.prompt_tokens - run.prefilled
        if missing > 0:
            spent = min(missing, budget)
            run.prefilled += spent
            return spent
        run.done += 1
        self.tokens_generated += 1
        run.wake()
        return 1

    def _anything_admitted(self) -> bool:
        return any(run.admitted for run in self._runs)
