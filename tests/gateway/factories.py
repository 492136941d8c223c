"""Build the values that the gateway's tests share."""

from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import SplitShare
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.model import Workspace
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.dispatcher import Dispatcher
from shallotfold._gateway.deciding.placement import Placement
from shallotfold._gateway.deciding.retry_budget import FleetRetryBudget
from shallotfold._model.events import Event

SERVICE = "writers"


def make_route(
    kind: RouteKind = RouteKind.REPEATABLE,
    *,
    name: str = "lookup",
    path_prefix: str = "/lookup/",
    timeout_s: float = 3.0,
    target_s: float = 0.4,
    max_attempts: int = 2,
    public: bool = False,
    reads_prompt: bool = False,
    resumable: bool = False,
    split: tuple[SplitShare, ...] = (SplitShare(SERVICE, 1),),
    allowed_regions: frozenset[str] | None = None,
) -> Route:
    return Route(
        name=name,
        host="shop.example",
        path_prefix=path_prefix,
        kind=kind,
        timeout_s=timeout_s,
        target_s=target_s,
        gap_target_s=0.2,
        split=split,
        allowed_regions=allowed_regions,
        max_attempts=max_attempts,
        public=public,
        reads_prompt=reads_prompt,
        resumable=resumable,
    )


def make_upstream(
    upstream_id: str,
    *,
    port: int = 1,
    slots: int = 8,
    draining: bool = False,
    data_centre: str = "a",
    spot: bool = False,
) -> Upstream:
    return Upstream(
        upstream_id=upstream_id,
        service=SERVICE,
        ip="127.0.0.1",
        port=port,
        data_centre=data_centre,
        slots=slots,
        draining=draining,
        spot=spot,
    )


def make_configuration(
    *routes: Route, version: int = 1, limits: RequestLimits | None = None
) -> GatewayConfiguration:
    return GatewayConfiguration(
        version=version,
        routes=routes or (make_route(),),
        services_by_name={SERVICE: Service(name=SERVICE)},
        workspaces_by_key={"secret": Workspace("north", None)},
        requires_keys=True,
        limits=limits or RequestLimits(),
    )


def make_prompt(key: str = "site-1", *, shared: int = 5000) -> Prompt:
    return Prompt(
        model="m",
        parts=(PromptPart(key, shared), PromptPart("own", 600)),
        prompt_tokens=shared + 600,
        max_output_tokens=100,
    )


class DispatcherHarness:
    """A dispatcher, a manual clock and the effects returned last."""

    def __init__(self, *upstreams: Upstream, extra: float = 100.0) -> None:
        self.now_s = 100.0
        self.dispatcher = Dispatcher(
            Placement(data_centre="a"), FleetRetryBudget(extra=extra)
        )
        self.effects: list[effects.Effect] = []
        self.change_upstreams(*upstreams)

    def change_upstreams(self, *upstreams: Upstream) -> None:
        self.feed(
            events.UpstreamsChanged(
                now_s=self.now_s,
                upstreams_by_id={u.upstream_id: u for u in upstreams},
            )
        )

    def feed(self, event: Event) -> list[effects.Effect]:
        self.effects = self.dispatcher.reduce(event)
        return self.effects

    def arrive(
        self,
        request: int = 1,
        route: Route | None = None,
        *,
        prompt: Prompt | None = None,
        fingerprint: str = "",
        rank: int = 0,
        deadline_s: float = 10.0,
        draw: float = 0.5,
        allowed_regions: frozenset[str] | None = None,
    ) -> list[effects.Effect]:
        return self.feed(
            events.RequestArrived(
                now_s=self.now_s,
                request=request,
                route=route or make_route(),
                service=SERVICE,
                rank=rank,
                prompt=prompt or Prompt(),
                fingerprint=fingerprint,
                deadline_s=self.now_s + deadline_s,
                draw=draw,
                allowed_regions=allowed_regions,
            )
        )

    def advance(self, seconds: float) -> list[effects.Effect]:
        self.now_s += seconds
        return self.feed(events.TimePassed(now_s=self.now_s))

    def sent_upstream_id(self) -> str:
        sends = [e for e in self.effects if isinstance(e, effects.SendAttempt)]
        assert len(sends) == 1, self.effects
        return sends[0].upstream.upstream_id
