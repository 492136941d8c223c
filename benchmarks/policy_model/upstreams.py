"""Small upstreams: slots, slowdown by batch size, prefix cache, load."""

import collections

import attrs

from shallotfold._entry.state.estimates import PROMPT_TOKEN_COST
from shallotfold._model.configuration import Upstream
from shallotfold._model.upstreams import UpstreamLoad

PREFILL_S_PER_TOKEN = 0.0001
MAX_CACHED_PREFIXES = 60
SINGLE_JOB_GAP_RATIO = 0.5


@attrs.define(kw_only=True)
class Job:
    """One attempt inside an upstream.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        host: Entry that sent the attempt.
        priority: Priority for the engine; 1 is the highest.
        prompt_tokens: Input tokens, including those of a resumed answer.
        prefix_digests: Prefix digests of the prompt.
        resumed_tokens: Output tokens that the caller got from earlier
            attempts.
        output_tokens: Output tokens of the whole answer; 0 for a plain
            service.
        generated_tokens: Output tokens so far, including `resumed_tokens`.
        forwarded_tokens: Whole output tokens forwarded so far, including
            `resumed_tokens`.
        last_forwarded_s: Time of the last forwarding.
        remaining_delay_s: Time left before the first token, or of the whole
            job at a plain service.
        streaming: Whether tokens are forwarded as they are generated.
        running: Whether the job has left the upstream's queue.
    """

    request_id: str
    attempt: int
    host: str
    priority: int
    prompt_tokens: int
    prefix_digests: tuple[str, ...]
    resumed_tokens: int
    output_tokens: int
    generated_tokens: float
    forwarded_tokens: int
    last_forwarded_s: float = 0.0
    remaining_delay_s: float = 0.0
    streaming: bool = False
    running: bool = False


@attrs.define(kw_only=True)
class FakeUpstream:
    """An upstream in virtual time.

    Attributes:
        spec: The upstream as operators configured it.
        slowdown: Factor on the duration of all work.
        up: Whether the upstream accepts connections.
        hung: Whether it makes no progress but keeps connections open.
        leaving: Whether its removal was announced.
        jobs: Queued and running jobs, in the order of arrival.
        cache: Cached prompt prefixes, least recently used first.
        cache_events: Cache changes since the last publication; true means
            added, false evicted.
        work: Cost of all work done.
        first_prefill_cost_by_request: Cost of the first prefill of each
            request, shared by all upstreams.
    """

    spec: Upstream
    slowdown: float = 1.0
    up: bool = True
    hung: bool = False
    leaving: bool = False
    jobs: list[Job] = attrs.field(factory=list)
    cache: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    cache_events: list[tuple[str, bool]] = attrs.field(factory=list)
    work: float = 0.0
    first_prefill_cost_by_request: dict[str, float] = attrs.field(factory=dict)

    def load(self) -> UpstreamLoad:
        """Return the current load."""
        running = sum(job.running for job in self.jobs)
        return UpstreamLoad(
            running=running,
            queued=len(self.jobs) - running,
            slots=self.spec.slots,
            leaving=self.leaving,
        )

    def step(self, seconds: float) -> list[Job]:
        """Advance time and return the running jobs."""
        if self.hung or not self.jobs:
            return []
        self._fill_slots()
        running = [job for job in self.jobs if job.running]
        full_gap_s = self.spec.slots / self.spec.tokens_per_s
        batch_factor = SINGLE_JOB_GAP_RATIO * (
            1 + len(running) / self.spec.slots
        )
        gap_s = full_gap_s * batch_factor * self.slowdown
        for job in running:
            decode_s = seconds - job.remaining_delay_s
            job.remaining_delay_s = max(0.0, job.remaining_delay_s - seconds)
            if decode_s > 0.0 and job.output_tokens:
                tokens = min(
                    decode_s / gap_s, job.output_tokens - job.generated_tokens
                )
                job.generated_tokens += tokens
                self.work += tokens
        return running

    def _fill_slots(self) -> None:
        free = self.spec.slots - sum(job.running for job in self.jobs)
        queued = [job for job in self.jobs if not job.running]
        queued.sort(key=lambda job: job.priority)
        for job in queued[: max(0, free)]:
            job.running = True
            if job.output_tokens:
                self._prefill(job)

    def _prefill(self, job: Job) -> None:
        cached = [digest in self.cache for digest in job.prefix_digests]
        hit_ratio = 0.0
        if any(cached):
            hit_ratio = (len(cached) - cached[::-1].index(True)) / len(cached)
        uncached_tokens = job.prompt_tokens * (1.0 - hit_ratio)
        job.remaining_delay_s = (
            uncached_tokens * PREFILL_S_PER_TOKEN * self.slowdown
        )
        cost = uncached_tokens * PROMPT_TOKEN_COST
        self.work += cost
        self.first_prefill_cost_by_request.setdefault(job.request_id, cost)
        for digest in job.prefix_digests:
            if digest not in self.cache:
                self.cache_events.append((digest, True))
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > MAX_CACHED_PREFIXES:
            self.cache_events.append((self.cache.popitem(last=False)[0], False))
