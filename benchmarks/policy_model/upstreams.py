"""Model small upstreams: slots, batch slowdown, prefix cache, load."""

import collections

import attrs

from shallotfold._entry.state.estimates import PROMPT_TOKEN_COST
from shallotfold._model.configuration import Upstream
from shallotfold._model.upstreams import UpstreamLoad

PREFILL_S_PER_TOKEN = 0.0001
CACHED_PREFIXES = 60
LONE_GAP_SHARE = 0.5


@attrs.define(kw_only=True)
class Job:
    """One attempt inside an upstream.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        host: Entry that sent it.
        priority: Priority for the engine; 1 is the highest.
        prompt_tokens: Input tokens, those of a resumed answer included.
        digests: Prefix digests of the prompt.
        kept: Output tokens that the caller had before.
        total: Output tokens of the whole answer; 0 for a plain service.
        done: Output tokens so far, those resumed from included.
        forwarded: Whole output tokens passed on so far.
        forwarded_s: When tokens were passed on last.
        fixed_s: Time before the first token that is left.
        streaming: Whether tokens are passed on as they come.
        running: Whether it has left the upstream's queue.
    """

    request_id: str
    attempt: int
    host: str
    priority: int
    prompt_tokens: int
    digests: tuple[str, ...]
    kept: int
    total: int
    done: float
    forwarded: int
    forwarded_s: float = 0.0
    fixed_s: float = 0.0
    streaming: bool = False
    running: bool = False


@attrs.define(kw_only=True)
class FakeUpstream:
    """An upstream in virtual time.

    Attributes:
        spec: What operators declared.
        slowdown: Factor on all its times.
        up: Whether it accepts connections.
        hung: Whether it has silently stopped working.
        leaving: Whether it was told to go.
        jobs: Queued and running jobs, in the order of arrival.
        cache: Prompt prefixes held, least recently used first.
        events: Cache changes since the last publication.
        work: Cost of all work done.
        first_prefills: Cost of the first prefill of each request, shared by
            all upstreams.
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
    events: list[tuple[str, bool]] = attrs.field(factory=list)
    work: float = 0.0
    first_prefills: dict[str, float] = attrs.field(factory=dict)

    def load(self) -> UpstreamLoad:
        """Return the load as of now."""
        running = sum(job.running for job in self.jobs)
        return UpstreamLoad(
            running=running,
            queued=len(self.jobs) - running,
            slots=self.spec.slots,
            leaving=self.leaving,
        )

    def step(self, seconds: float) -> list[Job]:
        """Work for some time and return the jobs that made progress."""
        if self.hung or not self.jobs:
            return []
        self._fill_slots()
        running = [job for job in self.jobs if job.running]
        full_gap_s = self.spec.slots / self.spec.tokens_per_s
        batch = LONE_GAP_SHARE * (1 + len(running) / self.spec.slots)
        gap_s = full_gap_s * batch * self.slowdown
        for job in running:
            free_s = seconds - job.fixed_s
            job.fixed_s = max(0.0, job.fixed_s - seconds)
            if free_s > 0.0 and job.total:
                tokens = min(free_s / gap_s, job.total - job.done)
                job.done += tokens
                self.work += tokens
        return running

    def _fill_slots(self) -> None:
        free = self.spec.slots - sum(job.running for job in self.jobs)
        queued = [job for job in self.jobs if not job.running]
        queued.sort(key=lambda job: job.priority)
        for job in queued[: max(0, free)]:
            job.running = True
            if job.total:
                self._prefill(job)

    def _prefill(self, job: Job) -> None:
        held = [digest in self.cache for digest in job.digests]
        hit = 0.0
        if any(held):
            hit = (len(held) - held[::-1].index(True)) / len(held)
        missing = job.prompt_tokens * (1.0 - hit)
        job.fixed_s = missing * PREFILL_S_PER_TOKEN * self.slowdown
        cost = missing * PROMPT_TOKEN_COST
        self.work += cost
        self.first_prefills.setdefault(job.request_id, cost)
        for digest in job.digests:
            if digest not in self.cache:
                self.events.append((digest, True))
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > CACHED_PREFIXES:
            self.events.append((self.cache.popitem(last=False)[0], False))
