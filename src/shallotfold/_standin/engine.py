"""Stand in for a model engine with continuous batching, without I/O."""

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

SMALLEST_BATCH_SHARE = 0.25
"""A batch below this share of the slots makes its requests no faster."""


@attrs.define(eq=False)
class Job:
    """One request inside an engine.

    Attributes:
        number: Order of arrival.
        priority: 1 is the highest.
        prompt: Text of the prompt.
        answer: What will be generated.
        produced: Tokens generated so far, counted from the answer's start.
        started_at: First token that this job generates.
        prefill_left_s: Time still needed to read the prompt.
        credit: Fraction of the next token that is done.
    """

    number: int
    priority: int
    prompt: str
    answer: Answer
    produced: int
    started_at: int
    prefill_left_s: float
    credit: float = 0.0

    @property
    def done(self) -> bool:
        """Whether the whole answer is generated."""
        return self.produced >= self.answer.token_count


@attrs.define
class EngineStats:
    """What an engine has done so far."""

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
    """Generate the answers of a batch as time passes.

    Attributes:
        settings: Sizes and rates.
        leaving: Refuse new requests.
        speed: Factor on all rates; 0 stands still.
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
        """Make an empty prefix cache."""
        self.cache = PrefixCache(
            self.settings.cached_prefixes,
            self.settings.cache_lag_s,
            self.settings.cache_gap_every,
        )

    @property
    def busy(self) -> bool:
        """Whether there is anything to generate."""
        return bool(self._jobs)

    def accept(
        self,
        prompt: str,
        answer: Answer,
        priority: int,
        resume_at: int,
        now_s: float,
    ) -> Job | None:
        """Take a request into the batch or its queue.

        Returns:
            The job, or `None` when the request is refused without running.
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
            produced=resume_at,
            started_at=resume_at,
            prefill_left_s=self._prefill_s(prompt, now_s),
        )
        self._jobs.append(job)
        self.stats.accepted += 1
        return job

    def cancel(self, job: Job) -> None:
        """Drop an unfinished job; what it generated counts as wasted."""
        if job in self._jobs:
            self._jobs.remove(job)
            self.stats.cancelled += 1
            self.stats.wasted_tokens += job.produced - job.started_at

    def advance(self, now_s: float) -> list[Job]:
        """Generate up to a time and return the jobs that got tokens."""
        elapsed_s = (now_s - self._now_s) * self.speed
        self._now_s = now_s
        running = self._running()
        smallest = self.settings.slots * SMALLEST_BATCH_SHARE
        rate = self.settings.tokens_per_s / max(len(running), smallest)
        advanced = [
            job for job in running if self._generate(job, elapsed_s, rate)
        ]
        self._jobs = [job for job in self._jobs if not job.done]
        self.stats.finished += sum(job.done for job in advanced)
        return advanced

    def report_load(self, now_s: float) -> UpstreamLoad:
        """Return the load as it was one lag ago."""
        running = len(self._running())
        load = UpstreamLoad(
            running=running,
            queued=len(self._jobs) - running,
            slots=self.settings.slots,
            cache_used_ratio=self.cache.used_ratio,
            leaving=self.leaving,
        )
        self._loads.append((now_s, load))
        newest_at_s = now_s - self.settings.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= newest_at_s:
            self._loads.popleft()
        return self._loads[0][1]

    def _running(self) -> list[Job]:
        in_order = sorted(self._jobs, key=lambda j: (j.priority, j.number))
        return in_order[: self.settings.slots]

    def _prefill_s(self, prompt: str, now_s: float) -> float:
        digests = prefix_digests(prompt)
        hits = self.cache.count_hits(digests)
        self.cache.hold(digests, now_s)
        cached = 256 * 2 ** (hits - 1) // CHARACTERS_PER_TOKEN if hits else 0
        tokens = max(0, count_prompt_tokens(prompt) - cached)
        return tokens / self.settings.prefill_tokens_per_s

    def _generate(self, job: Job, elapsed_s: float, rate: float) -> bool:
        reading_s = min(job.prefill_left_s, elapsed_s)
        job.prefill_left_s -= reading_s
        job.credit += (elapsed_s - reading_s) * rate
        left = job.answer.token_count - job.produced
        count = min(int(job.credit), left)
        job.credit -= count
        job.produced += count
        self.stats.tokens += count
        return count > 0
