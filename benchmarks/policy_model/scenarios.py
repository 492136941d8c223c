"""Describe the deployments, their traffic and their faults."""

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
PLAIN = "/orders/"
ENTRIES_PER_DATA_CENTRE = 2
DURATION_S = 40.0
FAULT_S = 12.0
FAULT_END_S = 30.0
CALM_LOAD = 0.55
BURST_LOAD = 3.0
GREEDY_LOAD = 2.0
PLAIN_PER_S = 6.0
LEAVING_CALLERS = 0.01
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
    """How requests of one class look.

    Attributes:
        name: Name of the class.
        load: Share of the calm load.
        prompt_tokens: Mean input.
        output_tokens: Mean output.
        streaming: Whether answers are streamed.
    """

    name: str
    load: float
    prompt_tokens: int
    output_tokens: int
    streaming: bool


@attrs.frozen(kw_only=True)
class Deployment:
    """One of the two organisations at its size of today.

    Attributes:
        name: Its name.
        data_centres: Names of its data centres.
        between_s: One-way delay between data centres.
        classes: Its classes; the first serves the plain route.
        workloads: Its model traffic, in the order of the tiers.
    """

    name: str
    data_centres: tuple[str, ...]
    between_s: float
    classes: tuple[RequestClass, ...]
    workloads: tuple[Workload, ...]


def _class(
    name: str, tier: int, floor: float, **targets: float
) -> RequestClass:
    return RequestClass(
        name=name, tier=tier, floor_share=floor, targets=Targets(**targets)
    )


DEPLOYMENTS = (
    Deployment(
        name="mwangaza",
        data_centres=("westlands", "industrial", "upperhill", "embakasi"),
        between_s=0.0015,
        classes=(
            _class("bookings", 1, 0.02, whole_answer_s=2.0),
            _class(
                "queries", 1, 0.02, first_token_s=0.5, between_tokens_s=0.049
            ),
            _class("proposals", 2, 0.05, whole_answer_s=45.0),
            _class("summaries", 3, 0.05, whole_answer_s=15.0),
        ),
        workloads=(
            Workload(
                name="queries",
                load=0.3,
                prompt_tokens=600,
                output_tokens=150,
                streaming=True,
            ),
            Workload(
                name="proposals",
                load=0.5,
                prompt_tokens=3000,
                output_tokens=450,
                streaming=False,
            ),
            Workload(
                name="summaries",
                load=0.2,
                prompt_tokens=800,
                output_tokens=60,
                streaming=False,
            ),
        ),
    ),
    Deployment(
        name="switchback",
        data_centres=("asheville", "atlanta", "chattanooga", "roanoke"),
        between_s=0.0005,
        classes=(
            _class("signups", 1, 0.02, whole_answer_s=2.0),
            _class("chat", 1, 0.02, first_token_s=0.5, between_tokens_s=0.03),
            _class("plans", 2, 0.05, first_token_s=3.0, between_tokens_s=0.05),
            _class("tags", 3, 0.05, whole_answer_s=10.0),
        ),
        workloads=(
            Workload(
                name="chat",
                load=0.45,
                prompt_tokens=500,
                output_tokens=120,
                streaming=True,
            ),
            Workload(
                name="plans",
                load=0.4,
                prompt_tokens=2500,
                output_tokens=400,
                streaming=True,
            ),
            Workload(
                name="tags",
                load=0.15,
                prompt_tokens=700,
                output_tokens=30,
                streaming=False,
            ),
        ),
    ),
)


@attrs.frozen(kw_only=True)
class Arrival:
    """One request of the workload, with what only the future tells.

    Attributes:
        at_s: When it arrives.
        request_id: Its id.
        class_name: Its class.
        workspace: Its workspace.
        prompt_tokens: Input tokens.
        output_tokens: Output tokens of the whole answer; 0 for plain ones.
        digests: Prefix digests of the prompt.
        streaming: Whether the answer is streamed.
        idempotent: Whether it may run twice.
        entry: Random number that chooses its entry.
        leaves_after_s: When the caller leaves; 0 if it stays.
        fixed_s: Running time of a plain request.
    """

    at_s: float
    request_id: str
    class_name: str
    workspace: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    digests: tuple[str, ...] = ()
    streaming: bool = False
    idempotent: bool = True
    entry: int = 0
    leaves_after_s: float = 0.0
    fixed_s: float = 0.0


@attrs.frozen(kw_only=True)
class Scenario:
    """One run: who, what traffic, and which faults.

    Attributes:
        deployment: The organisation.
        name: Name of the scenario.
        faults: Faults that happen, out of `FAULTS`.
        seed: Seed of everything random.
    """

    deployment: Deployment
    name: str
    faults: tuple[str, ...]
    seed: int

    def random(self, purpose: str) -> random.Random:
        """Return a generator of its own for each purpose."""
        name = f"{self.seed}/{self.deployment.name}/{self.name}/{purpose}"
        return random.Random(name)


def make_scenarios(seed: int) -> list[Scenario]:
    """Return all scenarios of both deployments for one seed."""
    made = []
    for deployment in DEPLOYMENTS:
        for name in SCENARIOS:
            faults: tuple[str, ...] = (name,) if name in FAULTS else ()
            if name.startswith("two"):
                generator = random.Random(f"{seed}/{deployment.name}/{name}")
                faults = tuple(generator.sample(FAULTS, 2))
            made.append(
                Scenario(
                    deployment=deployment, name=name, faults=faults, seed=seed
                )
            )
    return made


def make_configuration(deployment: Deployment) -> Configuration:
    """Return what the operators of a deployment declare."""
    upstreams = []
    for index in range(6):
        cheap = index >= 3
        data_centre = deployment.data_centres[min(index, 3)]
        upstreams.append(
            Upstream(
                name=f"model-{index}",
                url=f"http://127.0.0.1:{index + 1}",
                data_centre=data_centre,
                model=MODEL,
                price_per_hour=0.3 if cheap else 1.0,
                reclaimable=cheap,
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
    names = tuple(workload.name for workload in deployment.workloads)
    workspaces = [
        Workspace(
            name=f"w{index}",
            keys=(KeyDigest(key_id=f"k{index}", sha256=f"k{index}"),),
            classes=names,
            default_class=names[0],
            weight=3.0 if index < 3 else 1.0,
            routes=(PLAIN,),
        )
        for index in range(10)
    ]
    plain = Route(
        prefix=PLAIN,
        service="orders",
        request_class=deployment.classes[0].name,
    )
    return Configuration(
        classes_by_name={c.name: c for c in deployment.classes},
        workspaces_by_name={w.name: w for w in workspaces},
        routes_by_prefix={PLAIN: plain},
        upstreams_by_name={u.name: u for u in upstreams},
        data_centres=deployment.data_centres,
    )


def make_arrivals(
    scenario: Scenario, configuration: Configuration
) -> list[Arrival]:
    """Return all requests of a run in the order of their arrival."""
    generator = scenario.random("arrivals")
    capacity = sum(
        u.tokens_per_s
        for u in configuration.upstreams_by_name.values()
        if u.model
    )
    arrivals: list[Arrival] = []
    workloads = scenario.deployment.workloads
    for workload in workloads:
        rate = CALM_LOAD * workload.load * capacity / workload.output_tokens
        times = _times(generator, rate, 0.0, DURATION_S)
        arrivals += [_arrival(generator, workload, t) for t in times]
    lower = workloads[1 + generator.randrange(len(workloads) - 1)]
    bursts = {"burst_low": lower, "burst_top": workloads[0]}
    for name, workload in bursts.items():
        if name in scenario.faults:
            rate = BURST_LOAD * capacity / workload.output_tokens
            times = _times(generator, rate, FAULT_S, FAULT_END_S)
            arrivals += [_arrival(generator, workload, t) for t in times]
    if "greedy" in scenario.faults:
        workload = generator.choice(workloads)
        rate = GREEDY_LOAD * capacity / workload.output_tokens
        times = _times(generator, rate, FAULT_S, FAULT_END_S)
        arrivals += [_arrival(generator, workload, t, "w9") for t in times]
    plain = scenario.deployment.classes[0].name
    for at_s in _times(generator, PLAIN_PER_S, 0.0, DURATION_S):
        arrivals.append(_plain_arrival(generator, plain, at_s))
    arrivals.sort(key=lambda a: a.at_s)
    return [attrs.evolve(a, request_id=f"r{i}") for i, a in enumerate(arrivals)]


def _times(
    generator: random.Random, rate: float, first_s: float, end_s: float
) -> list[float]:
    times = []
    at_s = first_s + generator.expovariate(rate)
    while at_s < end_s:
        times.append(at_s)
        at_s += generator.expovariate(rate)
    return times


def _workspace(generator: random.Random) -> str:
    return generator.choices([f"w{i}" for i in range(10)], [3] * 3 + [1] * 7)[0]


def _arrival(
    generator: random.Random, workload: Workload, at_s: float, name: str = ""
) -> Arrival:
    workspace = name or _workspace(generator)
    output = workload.output_tokens * generator.lognormvariate(-0.125, 0.5)
    prompt = workload.prompt_tokens * generator.uniform(0.5, 1.5)
    history = f"{workspace}/{workload.name}"
    leaves = generator.random() < LEAVING_CALLERS
    return Arrival(
        at_s=at_s,
        request_id="",
        class_name=workload.name,
        workspace=workspace,
        prompt_tokens=int(prompt),
        output_tokens=max(5, int(output)),
        digests=(history, f"{history}/{generator.randrange(5)}"),
        streaming=workload.streaming,
        entry=generator.randrange(1 << 30),
        leaves_after_s=generator.uniform(0.1, 3.0) if leaves else 0.0,
    )


def _plain_arrival(
    generator: random.Random, class_name: str, at_s: float
) -> Arrival:
    return Arrival(
        at_s=at_s,
        request_id="",
        class_name=class_name,
        workspace=_workspace(generator),
        idempotent=generator.random() < 0.3,
        entry=generator.randrange(1 << 30),
        fixed_s=generator.uniform(0.05, 0.3),
    )
