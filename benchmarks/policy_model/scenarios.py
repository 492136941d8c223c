"""Deployments, their traffic and the faults injected into them."""

import random

import attrs

from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace

MODEL = "small"
PLAIN_PREFIX = "/orders/"
ENTRIES_PER_DATA_CENTRE = 2
DURATION_S = 40.0
FAULT_START_S = 12.0
FAULT_END_S = 30.0
CALM_LOAD_RATIO = 0.55
BURST_LOAD_RATIO = 3.0
GREEDY_LOAD_RATIO = 2.0
PLAIN_REQUESTS_PER_S = 6.0
CALLER_DISCONNECT_RATIO = 0.01
FAULTS = (
    "burst_low",
    "burst_top",
    "straggler",
    "crash",
    "reclaim",
    "entry_lost",
    "greedy",
)
SCENARIOS = ("calm", *FAULTS, "two_at_once", "two_more_at_once")


@attrs.frozen(kw_only=True)
class Workload:
    """Model traffic of one class.

    Attributes:
        name: Name of the class.
        load_share: Share of the load of the `calm` scenario.
        prompt_tokens: Mean number of input tokens.
        output_tokens: Mean number of output tokens.
        streaming: Whether answers are streamed.
    """

    name: str
    load_share: float
    prompt_tokens: int
    output_tokens: int
    streaming: bool


@attrs.frozen(kw_only=True)
class Deployment:
    """Deployment of one of the two organisations, at its current size.

    Attributes:
        name: Name of the organisation.
        data_centres: Names of its data centres.
        network_delay_s: One-way delay between data centres.
        classes: Its classes; the first serves the plain route.
        workloads: Its model traffic, in the order of the tiers.
    """

    name: str
    data_centres: tuple[str, ...]
    network_delay_s: float
    classes: tuple[RequestClass, ...]
    workloads: tuple[Workload, ...]


def _make_class(
    name: str, tier: int, floor_share: float, **targets: float
) -> RequestClass:
    return RequestClass(
        name=name,
        tier=tier,
        floor_share=floor_share,
        targets=Targets(**targets),
    )


DEPLOYMENTS = (
    Deployment(
        name="mwangaza",
        data_centres=("westlands", "industrial", "upperhill", "embakasi"),
        network_delay_s=0.0015,
        classes=(
            _make_class("bookings", 1, 0.02, whole_answer_s=2.0),
            _make_class(
                "queries", 1, 0.02, first_token_s=0.5, between_tokens_s=0.049
            ),
            _make_class("proposals", 2, 0.05, whole_answer_s=45.0),
            _make_class("summaries", 3, 0.05, whole_answer_s=15.0),
        ),
        workloads=(
            Workload(
                name="queries",
                load_share=0.3,
                prompt_tokens=600,
                output_tokens=150,
                streaming=True,
            ),
            Workload(
                name="proposals",
                load_share=0.5,
                prompt_tokens=3000,
                output_tokens=450,
                streaming=False,
            ),
            Workload(
                name="summaries",
                load_share=0.2,
                prompt_tokens=800,
                output_tokens=60,
                streaming=False,
            ),
        ),
    ),
    Deployment(
        name="switchback",
        data_centres=("asheville", "atlanta", "chattanooga", "roanoke"),
        network_delay_s=0.0005,
        classes=(
            _make_class("signups", 1, 0.02, whole_answer_s=2.0),
            _make_class(
                "chat", 1, 0.02, first_token_s=0.5, between_tokens_s=0.03
            ),
            _make_class(
                "plans", 2, 0.05, first_token_s=3.0, between_tokens_s=0.05
            ),
            _make_class("tags", 3, 0.05, whole_answer_s=10.0),
        ),
        workloads=(
            Workload(
                name="chat",
                load_share=0.45,
                prompt_tokens=500,
                output_tokens=120,
                streaming=True,
            ),
            Workload(
                name="plans",
                load_share=0.4,
                prompt_tokens=2500,
                output_tokens=400,
                streaming=True,
            ),
            Workload(
                name="tags",
                load_share=0.15,
                prompt_tokens=700,
                output_tokens=30,
                streaming=False,
            ),
        ),
    ),
)


@attrs.frozen(kw_only=True)
class Arrival:
    """One request, including properties that entries can't know yet.

    Attributes:
        at_s: Arrival time, in seconds from the start of the run.
        request_id: Id of the request.
        class_name: Class of the request.
        workspace: Workspace of the request.
        prompt_tokens: Input tokens.
        output_tokens: Output tokens of the whole answer; 0 for requests to
            the plain service.
        prefix_digests: Prefix digests of the prompt.
        streaming: Whether the answer is streamed.
        idempotent: Whether it may run twice.
        entry_choice: Random number that selects the entry.
        disconnects_after_s: Time until the caller disconnects; 0 if it
            doesn't.
        run_time_s: Running time of a request to the plain service.
    """

    at_s: float
    request_id: str
    class_name: str
    workspace: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_digests: tuple[str, ...] = ()
    streaming: bool = False
    idempotent: bool = True
    entry_choice: int = 0
    disconnects_after_s: float = 0.0
    run_time_s: float = 0.0


@attrs.frozen(kw_only=True)
class Scenario:
    """One run: a deployment and the faults injected into it.

    Attributes:
        deployment: Deployment that the scenario runs on.
        name: Name of the scenario.
        faults: Injected faults, a subset of `FAULTS`.
        seed: Seed of all random numbers.
    """

    deployment: Deployment
    name: str
    faults: tuple[str, ...]
    seed: int

    def make_generator(self, purpose: str) -> random.Random:
        """Return a random generator seeded separately for each purpose."""
        name = f"{self.seed}/{self.deployment.name}/{self.name}/{purpose}"
        return random.Random(name)


def make_scenarios(seed: int) -> list[Scenario]:
    """Return all scenarios of both deployments for one seed."""
    scenarios = []
    for deployment in DEPLOYMENTS:
        for name in SCENARIOS:
            faults: tuple[str, ...] = (name,) if name in FAULTS else ()
            if name.startswith("two"):
                generator = random.Random(f"{seed}/{deployment.name}/{name}")
                faults = tuple(generator.sample(FAULTS, 2))
            scenarios.append(
                Scenario(
                    deployment=deployment, name=name, faults=faults, seed=seed
                )
            )
    return scenarios


def make_configuration(deployment: Deployment) -> Configuration:
    """Return the configuration of a deployment."""
    upstreams = []
    for index in range(6):
        is_spot = index >= 3
        data_centre = deployment.data_centres[min(index, 3)]
        upstreams.append(
            Upstream(
                name=f"model-{index}",
                url=f"http://127.0.0.1:{index + 1}",
                data_centre=data_centre,
                model=MODEL,
                price_per_hour=0.3 if is_spot else 1.0,
                reclaimable=is_spot,
            )
        )
    for index, data_centre in enumerate(deployment.data_centres):
        upstreams.append(
            Upstream(
                name=f"plain-{index}",
                url=f"http://127.0.0.1:{index + 10}",
                data_centre=data_centre,
                service="orders",
                slots=4,
                price_per_hour=0.1,
            )
        )
    class_names = tuple(workload.name for workload in deployment.workloads)
    workspaces = [
        Workspace(
            name=f"w{index}",
            keys=(KeyDigest(key_id=f"k{index}", sha256=f"k{index}"),),
            classes=class_names,
            default_class=class_names[0],
            weight=3.0 if index < 3 else 1.0,
            routes=(PLAIN_PREFIX,),
        )
        for index in range(10)
    ]
    plain_route = Route(
        prefix=PLAIN_PREFIX,
        service="orders",
        request_class=deployment.classes[0].name,
    )
    return Configuration(
        classes_by_name={c.name: c for c in deployment.classes},
        workspaces_by_name={w.name: w for w in workspaces},
        routes_by_prefix={PLAIN_PREFIX: plain_route},
        upstreams_by_name={u.name: u for u in upstreams},
        data_centres=deployment.data_centres,
    )


def make_arrivals(
    scenario: Scenario, configuration: Configuration
) -> list[Arrival]:
    """Return all requests of a run, ordered by arrival time."""
    generator = scenario.make_generator("arrivals")
    capacity = sum(
        u.tokens_per_s
        for u in configuration.upstreams_by_name.values()
        if u.model
    )
    arrivals: list[Arrival] = []
    workloads = scenario.deployment.workloads
    for workload in workloads:
        rate = (
            CALM_LOAD_RATIO
            * workload.load_share
            * capacity
            / workload.output_tokens
        )
        times = _draw_poisson_times(generator, rate, 0.0, DURATION_S)
        arrivals += [_draw_arrival(generator, workload, t) for t in times]
    lower_tier_workload = workloads[1 + generator.randrange(len(workloads) - 1)]
    burst_workloads = {
        "burst_low": lower_tier_workload,
        "burst_top": workloads[0],
    }
    for name, workload in burst_workloads.items():
        if name in scenario.faults:
            rate = BURST_LOAD_RATIO * capacity / workload.output_tokens
            times = _draw_poisson_times(
                generator, rate, FAULT_START_S, FAULT_END_S
            )
            arrivals += [_draw_arrival(generator, workload, t) for t in times]
    if "greedy" in scenario.faults:
        workload = generator.choice(workloads)
        rate = GREEDY_LOAD_RATIO * capacity / workload.output_tokens
        times = _draw_poisson_times(generator, rate, FAULT_START_S, FAULT_END_S)
        arrivals += [_draw_arrival(generator, workload, t, "w9") for t in times]
    plain_class_name = scenario.deployment.classes[0].name
    for at_s in _draw_poisson_times(
        generator, PLAIN_REQUESTS_PER_S, 0.0, DURATION_S
    ):
        arrivals.append(_draw_plain_arrival(generator, plain_class_name, at_s))
    arrivals.sort(key=lambda a: a.at_s)
    return [attrs.evolve(a, request_id=f"r{i}") for i, a in enumerate(arrivals)]


def _draw_poisson_times(
    generator: random.Random, rate: float, first_s: float, end_s: float
) -> list[float]:
    times = []
    at_s = first_s + generator.expovariate(rate)
    while at_s < end_s:
        times.append(at_s)
        at_s += generator.expovariate(rate)
    return times


def _draw_workspace(generator: random.Random) -> str:
    return generator.choices([f"w{i}" for i in range(10)], [3] * 3 + [1] * 7)[0]


def _draw_arrival(
    generator: random.Random,
    workload: Workload,
    at_s: float,
    workspace_name: str = "",
) -> Arrival:
    workspace = workspace_name or _draw_workspace(generator)
    output_tokens = workload.output_tokens * generator.lognormvariate(
        -0.125, 0.5
    )
    prompt_tokens = workload.prompt_tokens * generator.uniform(0.5, 1.5)
    shared_prefix = f"{workspace}/{workload.name}"
    disconnects = generator.random() < CALLER_DISCONNECT_RATIO
    return Arrival(
        at_s=at_s,
        request_id="",
        class_name=workload.name,
        workspace=workspace,
        prompt_tokens=int(prompt_tokens),
        output_tokens=max(5, int(output_tokens)),
        prefix_digests=(
            shared_prefix,
            f"{shared_prefix}/{generator.randrange(5)}",
        ),
        streaming=workload.streaming,
        entry_choice=generator.randrange(1 << 30),
        disconnects_after_s=generator.uniform(0.1, 3.0) if disconnects else 0.0,
    )


def _draw_plain_arrival(
    generator: random.Random, class_name: str, at_s: float
) -> Arrival:
    return Arrival(
        at_s=at_s,
        request_id="",
        class_name=class_name,
        workspace=_draw_workspace(generator),
        idempotent=generator.random() < 0.3,
        entry_choice=generator.randrange(1 << 30),
        run_time_s=generator.uniform(0.05, 0.3),
    )
