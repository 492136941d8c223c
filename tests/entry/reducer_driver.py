"""Drive one entry's reducer without a network."""

from typing import Any

import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import Limits
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Outcome


def make_workspace(name: str, **values: Any) -> Workspace:
    workspace = Workspace(
        name=name,
        keys=(KeyDigest(key_id=name, sha256=name),),
        classes=("chat", "tags"),
        default_class="chat",
        routes=("/orders/",),
    )
    return attrs.evolve(workspace, **values)


def make_upstream(name: str, **values: Any) -> Upstream:
    upstream = Upstream(name=name, url="", data_centre="a", slots=1)
    return attrs.evolve(upstream, **values)


CONFIGURATION = Configuration(
    classes_by_name={
        "chat": RequestClass(
            name="chat", tier=1, targets=Targets(first_token_s=1.0)
        ),
        "tags": RequestClass(
            name="tags",
            tier=3,
            targets=Targets(whole_answer_s=30.0),
            floor_share=0.0,
        ),
        "orders": RequestClass(name="orders", tier=1),
    },
    workspaces_by_name={
        "north": make_workspace("north"),
        "south": make_workspace("south"),
        "small": make_workspace(
            "small", limits=Limits(requests_per_minute=2, concurrency=2)
        ),
    },
    routes_by_prefix={
        "/orders/": Route(
            prefix="/orders/", service="orders", request_class="orders"
        )
    },
    upstreams_by_name={
        "m1": make_upstream("m1", model="one"),
        "a1": make_upstream("a1", model="two"),
        "a2": make_upstream("a2", model="two"),
        "p1": make_upstream("p1", service="orders"),
        "p2": make_upstream("p2", service="orders"),
    },
)


@attrs.define
class Entry:
    """One entry that receives its own messages and records its effects."""

    state: EntryState
    all_effects: list[effects.Effect] = attrs.field(factory=list)
    now_s: float = 1000.0

    def feed(self, event: events.Event) -> list[effects.Effect]:
        """Reduce an event and return the effects that leave the entry."""
        new_effects: list[effects.Effect] = []
        pending = [event]
        while pending:
            for effect in reducer.reduce(self.state, pending.pop(0)):
                if (
                    isinstance(effect, effects.SendToPeer)
                    and effect.host == self.state.host
                ):
                    received = events.PeerMessageReceived(
                        now_s=self.now_s,
                        host=self.state.host,
                        message=effect.message,
                    )
                    pending.append(received)
                else:
                    new_effects.append(effect)
        self.all_effects.extend(new_effects)
        return new_effects

    def arrive(self, request_id: str, **values: Any) -> list[effects.Effect]:
        request = CallerRequest(
            request_id=request_id, key_sha256="north", model="one"
        )
        event = events.RequestArrived(
            now_s=self.now_s,
            request=attrs.evolve(request, **values),
            wall_s=self.now_s,
        )
        return self.feed(event)

    def order(self, request_id: str, **values: Any) -> list[effects.Effect]:
        return self.arrive(
            request_id,
            model="",
            route_prefix="/orders/",
            idempotent=False,
            **values,
        )

    def end(
        self, request_id: str, outcome: Outcome, **values: Any
    ) -> list[effects.Effect]:
        attempt = self.state.requests.open_by_id[request_id].attempt
        event = events.AttemptEnded(
            now_s=self.now_s,
            request_id=request_id,
            attempt=attempt,
            outcome=outcome,
        )
        return self.feed(attrs.evolve(event, **values))

    def progress(self, request_id: str) -> list[effects.Effect]:
        """Forward one more token of the running attempt."""
        event = events.TokensForwarded(
            now_s=self.now_s,
            request_id=request_id,
            attempt=self.state.requests.open_by_id[request_id].attempt,
            count=1,
        )
        return self.feed(event)

    def wait(self, seconds: float) -> list[effects.Effect]:
        """Tick until some time has passed."""
        new_effects: list[effects.Effect] = []
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += 0.05
            tick = events.Tick(now_s=self.now_s, wall_s=0.0, random=0.5)
            new_effects.extend(self.feed(tick))
        return new_effects


def make_entry(configuration: Configuration = CONFIGURATION) -> Entry:
    entry = Entry(EntryState(host="e1", data_centre="a", incarnation=1))
    entry.feed(
        events.ConfigurationRead(
            now_s=entry.now_s,
            version=1,
            configuration=configuration,
            document=b"",
            sha256="",
        )
    )
    return entry


def started(new_effects: list[effects.Effect]) -> list[str]:
    """Return the ids of the requests whose attempts started, in order."""
    return [
        e.request_id for e in new_effects if isinstance(e, effects.StartAttempt)
    ]


def refusals(new_effects: list[effects.Effect]) -> list[effects.RefuseRequest]:
    """Return the refusals in order."""
    return [e for e in new_effects if isinstance(e, effects.RefuseRequest)]
