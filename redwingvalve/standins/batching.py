"""Continuous batching: each step divides a token budget among the runs.

A decoding run uses one token per step; a run whose prompt is incomplete
prefills as much of it as the budget allows. Runs wait while the KV cache is
full. Runs with a lower priority number are served first, as in published
engines.
"""

import anyio
import attrs

TOKEN_BUDGET = 512
STEP_S = 0.02
KV_CAPACITY_TOKENS = 65_536


@attrs.define(eq=False)
class Run:
    """A request in the engine; done is the number of generated tokens."""

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
        """Return the most KV cache that the run can need, in tokens."""
        return self.prompt_tokens + self.max_tokens

    @property
    def ended(self) -> bool:
        """Whether the run is finished or was cut."""
        return bool(self.cut) or self.done >= self.max_tokens

    def notify_reader(self) -> None:
        """Wake the task that waits for new tokens."""
        self.changed.set()
        self.changed = anyio.Event()


@attrs.define
class BatchSettings:
    """Step time and capacities of the simulated engine."""

    token_budget: int = TOKEN_BUDGET
    step_s: float = STEP_S
    kv_capacity_tokens: int = KV_CAPACITY_TOKENS


class Batch:
    """Active and queued runs of an engine; the owner calls step()."""

    def __init__(self, settings: BatchSettings) -> None:
        """Start empty."""
        self.settings = settings
        self.tokens_generated = 0
        self._runs: list[Run] = []

    @property
    def runs(self) -> tuple[Run, ...]:
        """Return all queued and active runs."""
        return tuple(self._runs)

    def add(self, run: Run) -> None:
        """Queue a run."""
        self._runs.append(run)
        self._runs.sort(key=lambda queued: (queued.priority, queued.arrival))

    def kv_used_tokens(self) -> int:
        """Return the KV cache reserved for admitted runs, in tokens."""
        return sum(run.kv_tokens for run in self._runs if run.admitted)

    def waiting(self) -> int:
        """Return the number of runs that are not admitted yet."""
        return sum(not run.admitted for run in self._runs)

    def cut(self, run: Run, reason: str) -> None:
        """Stop a run early and free its KV cache."""
        if run in self._runs:
            self._runs.remove(run)
        if not run.ended:
            run.cut = reason
        run.notify_reader()

    def cut_all(self, reason: str) -> None:
        """Stop every run early."""
        for run in self.runs:
            self.cut(run, reason)

    def admit(self) -> list[Run]:
        """Admit queued runs while KV cache is free; return the new ones.

        A run that exceeds the capacity is admitted when it runs alone.
        """
        free = self.settings.kv_capacity_tokens - self.kv_used_tokens()
        admitted = []
        for run in self._runs:
            if run.admitted:
                continue
            if run.kv_tokens > free and self._has_admitted_runs():
                break
            run.admitted = True
            free -= run.kv_tokens
            admitted.append(run)
        return admitted

    def step(self) -> None:
        """Spend the token budget of one step; remove finished runs."""
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
        run.notify_reader()
        return 1

    def _has_admitted_runs(self) -> bool:
        return any(run.admitted for run in self._runs)
