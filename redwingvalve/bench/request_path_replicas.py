"""A plain model of replicas for the request-path bench.

A replica spends compute seconds in steps: prompts first, up to a share of the
step, then one batch of decoding. It caches a few prefixes, runs a bounded
number of streams and queues the rest, as engines do. It is a stand-in for what
the decisions see, not a simulator of a cluster.
"""

import collections

import attrs

STEP_S = 0.05
TOKENS_PER_S = 2000.0
PREFILL_TOKENS_PER_S = 20000.0
MAX_STREAMS = 64
MAX_STREAM_TOKENS_PER_S = 40.0
PREFILL_SHARE = 0.6
CACHED_PREFIXES = 8


@attrs.define(eq=False)
class Job:
    """One request of a caller, with what it got so far."""

    request_id: str
    account: str
    entry: int
    arrived_s: float
    prompt_tokens: float
    output_tokens: float
    max_tokens: float
    target_s: float
    penalty: float = 0.0
    long: bool = False
    prefix: str = ''
    prefix_tokens: float = 0.0
    poison: bool = False
    sends: int = 0
    delivered: float = 0.0
    first_token_s: float | None = None
    finished_s: float | None = None
    refused_s: float | None = None
    failed_s: float | None = None

    @property
    def in_target(self) -> bool:
        """Tell whether the caller got all of it in time."""
        if self.finished_s is None or self.first_token_s is None:
            return False
        if self.first_token_s - self.arrived_s > self.target_s:
            return False
        duration_s = self.finished_s - self.first_token_s
        return duration_s <= GAP_TARGET_S * self.output_tokens


GAP_TARGET_S = 0.06


@attrs.define(eq=False)
class Stream:
    """A job at a replica."""

    job: Job
    prefill_left: float | None
    tokens_left: float


@attrs.frozen
class CacheEvent:
    """A prefix was stored, or given up."""

    prefix: str
    stored: bool


@attrs.define(eq=False)
class StepEvents:
    """What came out of one step."""

    first_tokens: list[Job] = attrs.field(factory=list)
    finished: list[Job] = attrs.field(factory=list)
    poisoned: bool = False


class ReplicaModel:
    """One replica in virtual time."""

    def __init__(self, name: str, data_centre: str) -> None:
        """Start empty and alive."""
        self.name = name
        self.data_centre = data_centre
        self.alive = True
        self.slow_factor = 1.0
        self.used_s = 0.0
        self.asked = 0
        self.hits = 0
        self.waiting: collections.deque[Stream] = collections.deque()
        self.cache_events: list[CacheEvent] = []
        self._prefilling: collections.deque[Stream] = collections.deque()
        self._decoding: list[Stream] = []
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def count(self) -> tuple[int, int]:
        """Return the running and the waiting streams."""
        running = len(self._prefilling) + len(self._decoding)
        return running, len(self.waiting)

    def decoding(self) -> list[Job]:
        """Return the jobs that are being answered."""
        return [stream.job for stream in self._decoding]

    def accept(self, job: Job) -> None:
        """Queue a job; delivered tokens are prefilled with the prompt."""
        left = job.output_tokens - job.delivered
        self.waiting.append(Stream(job, None, left))

    def die(self) -> list[Job]:
        """Lose everything; return the jobs that were here."""
        lost = [
            stream.job
            for stream in (*self._decoding, *self._prefilling, *self.waiting)
        ]
        self.alive = False
        self.waiting.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self._prefixes.clear()
        return lost

    def step(self, now_s: float) -> StepEvents:
        """Work for STEP_S until now_s."""
        events = StepEvents()
        budget_s = STEP_S / self.slow_factor
        running = len(self._prefilling) + len(self._decoding)
        while self.waiting and running < MAX_STREAMS:
            self._prefilling.append(self.waiting.popleft())
            running += 1
        spent_s = self._prefill(budget_s * PREFILL_SHARE, now_s, events)
        spent_s += self._decode(budget_s - spent_s, now_s, events)
        self.used_s += spent_s * self.slow_factor
        return events

    def _prefill(
        self, budget_s: float, now_s: float, events: StepEvents
    ) -> float:
        left = budget_s * PREFILL_TOKENS_PER_S
        while self._prefilling and left > 0:
            stream = self._prefilling[0]
            if stream.prefill_left is None:
                stream.prefill_left = self._prefill_tokens(stream.job)
            done = min(stream.prefill_left, left)
            stream.prefill_left -= done
            left -= done
            if stream.prefill_left > 0:
                break
            self._prefilling.popleft()
            self._start(stream, now_s, events)
        return budget_s - left / PREFILL_TOKENS_PER_S

    def _prefill_tokens(self, job: Job) -> float:
        # As in engines, the cache is looked up when a prompt's turn comes.
        tokens = job.prompt_tokens + job.delivered
        if not job.prefix:
            return tokens
        self.asked += 1
        if job.prefix not in self._prefixes:
            return tokens
        self.hits += 1
        return tokens - job.prefix_tokens

    def _start(self, stream: Stream, now_s: float, events: StepEvents) -> None:
        job = stream.job
        if job.poison:
            events.poisoned = True
        if job.prefix:
            self._cache(job.prefix)
        if job.first_token_s is None:
            job.first_token_s = now_s
        events.first_tokens.append(job)
        self._decoding.append(stream)

    def _cache(self, prefix: str) -> None:
        if prefix not in self._prefixes:
            self.cache_events.append(CacheEvent(prefix, stored=True))
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > CACHED_PREFIXES:
            (oldest, _) = self._prefixes.popitem(last=False)
            self.cache_events.append(CacheEvent(oldest, stored=False))

    def _decode(
        self, budget_s: float, now_s: float, events: StepEvents
    ) -> float:
        streams = self._decoding
        if not streams:
            return 0.0
        most = MAX_STREAM_TOKENS_PER_S * STEP_S / self.slow_factor
        each = min(most, budget_s * TOKENS_PER_S / len(streams))
        ended = False
        for stream in streams:
            stream.tokens_left -= each
            stream.job.delivered += each
            if stream.tokens_left <= 0:
                ended = True
                stream.job.delivered += stream.tokens_left
                stream.job.finished_s = now_s
                events.finished.append(stream.job)
        if ended:
            self._decoding = [one for one in streams if one.tokens_left > 0]
        return each * len(streams) / TOKENS_PER_S
