"""Simulate a model engine with continuous batching, without I/O."""

from collections import deque
import itertools

import attrs

from shallotfold._model.prompts import prefix_digests
from shallotfold._model.upstreams import UpstreamLoad
from shallotfold._settings.standin import EngineSettings
from shallotfold._standin.answers import CHARACTERS_PER_TOKEN
from shallotfold._standin.answers import Answer
from shallotfold._standin.answers import count_prompt_tokens
from shallotfold._standin.prefix_cache import PrefixCache

MIN_BATCH_SHARE = 0.25
"""Requests don't speed up further in batches below this share of the slots."""


@attrs.define(eq=False)
class Job:
    """One request inside an engine.

    Attributes:
        number: Order of arrival.
        priority: 1 is the highest.
        prompt: Text of the prompt.
        answer: Answer to generate.
        next_index: Index of the next token of the answer to generate.
        first_index: Index of the first token that this job generates.
        prefill_remaining_s: Remaining prefill time of the prompt.
        partial_tokens: Generated fraction of the next token.
    """

    number: int
    priority: int
    prompt: str
    answer: Answer
    next_index: int
    first_index: int
    prefill_remaining_s: float
    partial_tokens: float = 0.0

    @property
    def is_done(self) -> bool:
        """Whether the whole answer is generated."""
        return self.next_index >= self.answer.token_count


@attrs.define
class EngineStats:
    """Counters of an engine."""

    accepted: int = 0
    refused: int = 0
    finished: int = 0
    cancelled: int = 0
    tokens: int = 0
    wasted_tokens: int = 0
    wrong_resumes: int = 0
    marked_requests: int = 0
    unauthorized: int = 0


@attrs.define
class EngineStandin:
    """Generate the answers of a batch as time advances.

    Attributes:
        settings: Sizes and rates.
        leaving: Whether new requests are refused.
        speed: Factor on all rates; 0 stops the engine.
        stats: Counters.
    """

    settings: EngineSettings
    leaving: bool = False
    speed: float = 1.0
    stats: EngineStats = attrs.field(factory=EngineStats)
    cache: PrefixCache = attrs.field(init=False)
    _jobs: list[Job] = attrs.field(factory=list)
    _numbers: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(1)
    )
    _now_s: float = 0.0
    _loads: deque[tuple[float, UpstreamLoad]] = attrs.field(factory=deque)

    def __attrs_post_init__(self) -> None:
        """Create an empty prefix cache."""
        self.cache = PrefixCache(
            self.settings.cached_prefixes,
            self.settings.cache_lag_s,
            self.settings.cache_gap_every,
        )

    @property
    def is_busy(self) -> bool:
        """Whether there are unfinished jobs."""
        return bool(self._jobs)

    def accept(
        self,
        prompt: str,
        answer: Answer,
        priority: int,
        resume_index: int,
        now_s: float,
    ) -> Job | None:
        """Add a request to the batch or its queue.

        Returns:
            The job, or `None` if the request is refused without running.
        """
        limit = self.settings.slots + self.settings.max_queued
        if self.leaving or len(self._jobs) >= limit:
            self.stats.refused += 1
            return None
        if not self._jobs:
            self._now_s = now_s
        job = Job(
            number=next(self._numbers),
            priority=priority,
            prompt=prompt,
            answer=answer,
            next_index=resume_index,
            first_index=resume_index,
            prefill_remaining_s=self._compute_prefill_s(prompt, now_s),
        )
        self._jobs.append(job)
        self.stats.accepted += 1
        return job

    def cancel(self, job: Job) -> None:
        """Remove an unfinished job; its generated tokens count as wasted."""
        if job in self._jobs:
            self._jobs.remove(job)
            self.stats.cancelled += 1
            self.stats.wasted_tokens += job.next_index - job.first_index

    def advance(self, now_s: float) -> list[Job]:
        """Generate up to a time and return the jobs that got new tokens."""
        elapsed_s = (now_s - self._now_s) * self.speed
        self._now_s = now_s
        running = self._running_jobs()
        min_batch = self.settings.slots * MIN_BATCH_SHARE
        rate = self.settings.tokens_per_s / max(len(running), min_batch)
        advanced = [
            job for job in running if self._generate(job, elapsed_s, rate)
        ]
        self._jobs = [job for job in self._jobs if not job.is_done]
        self.stats.finished += sum(job.is_done for job in advanced)
        return advanced

    def report_load(self, now_s: float) -> UpstreamLoad:
        """Return the load as it was `load_lag_s` ago."""
        running = len(self._running_jobs())
        load = UpstreamLoad(
            running=running,
            queued=len(self._jobs) - running,
            slots=self.settings.slots,
            cache_used_ratio=self.cache.used_ratio,
            leaving=self.leaving,
        )
        self._loads.append((now_s, load))
        cutoff_s = now_s - self.settings.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= cutoff_s:
            self._loads.popleft()
        return self._loads[0][1]

    def _running_jobs(self) -> list[Job]:
        in_order = sorted(self._jobs, key=lambda j: (j.priority, j.number))
        return in_order[: self.settings.slots]

    def _compute_prefill_s(self, prompt: str, now_s: float) -> float:
        digests = prefix_digests(prompt)
        hits = self.cache.count_hits(digests)
        self.cache.add(digests, now_s)
        cached = 256 * 2 ** (hits - 1) // CHARACTERS_PER_TOKEN if hits else 0
        tokens = max(0, count_prompt_tokens(prompt) - cached)
        return tokens / self.settings.prefill_tokens_per_s

    def _generate(self, job: Job, elapsed_s: float, rate: float) -> bool:
        prefill_s = min(job.prefill_remaining_s, elapsed_s)
        job.prefill_remaining_s -= prefill_s
        job.partial_tokens += (elapsed_s - prefill_s) * rate
        remaining = job.answer.token_count - job.next_index
        count = min(int(job.partial_tokens), remaining)
        job.partial_tokens -= count
        job.next_index += count
        self.stats.tokens += count
        return count > 0
