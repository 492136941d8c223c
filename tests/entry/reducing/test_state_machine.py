"""Drive three entries through reordered, lost and repeated events."""

import collections

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Outcome
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._wire import control_messages
from shallotfold._wire import grant_messages

HOSTS = ("e1", "e2", "e3")
MODELS = ("m1", "m2")
PLAIN = ("p1", "p2")
CLASSES = ("chat", "tags")
START_S = 1000.0
TICK_S = 0.05
SETTLE_TICK_S = 0.25
SETTLE_TICKS = 400

CONFIGURATION = Configuration(
    classes_by_name={
        "chat": RequestClass(
            name="chat", tier=1, targets=Targets(first_token_s=0.5)
        ),
        "tags": RequestClass(
            name="tags", tier=3, targets=Targets(whole_answer_s=10.0)
        ),
        "orders": RequestClass(name="orders", tier=1),
    },
    workspaces_by_name={
        "north": Workspace(
            name="north",
            keys=(KeyDigest(key_id="k1", sha256="aa"),),
            classes=CLASSES,
            default_class="chat",
            routes=("/orders/",),
        )
    },
    routes_by_prefix={
        "/orders/": Route(
            prefix="/orders/", service="orders", request_class="orders"
        )
    },
    upstreams_by_name={
        **{
            name: Upstream(
                name=name, url="", data_centre="a", model="small", slots=2
            )
            for name in MODELS
        },
        **{
            name: Upstream(
                name=name, url="", data_centre="a", service="orders", slots=2
            )
            for name in PLAIN
        },
    },
)


@attrs.define
class ActiveAttempt:
    """An attempt that runs on an upstream."""

    host: str
    request_id: str
    attempt: int


@attrs.define
class RequestRecord:
    """What happened to a request so far."""

    host: str
    request: CallerRequest
    answers: int = 0
    caller_disconnected: bool = False
    may_have_run: bool = False
    claimed: bool = False


class Entries(RuleBasedStateMachine):
    """Entries with a network and upstreams that hypothesis controls."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S
        self.states = {
            host: EntryState(host=host, data_centre="a", incarnation=1)
            for host in HOSTS
        }
        self.messages: list[tuple[str, str, object]] = []
        self.active_attempts: list[ActiveAttempt] = []
        self.ended_attempts: list[ActiveAttempt] = []
        self.records_by_id: dict[str, RequestRecord] = {}
        self.claims: list[str] = []
        self.exited: collections.Counter[str] = collections.Counter()

    @initialize()
    def connect(self) -> None:
        for host in HOSTS:
            self.reduce(
                host,
                events.ConfigurationRead(
                    now_s=self.now_s,
                    version=1,
                    configuration=CONFIGURATION,
                    document=b"",
                    sha256="",
                ),
            )
            self.join(host)

    def join(self, host: str) -> None:
        for peer in HOSTS:
            if peer != host:
                self.reduce(
                    host, events.PeerConnected(now_s=self.now_s, host=peer)
                )

    def reduce(self, host: str, event: events.Event) -> None:
        pending = [event]
        while pending:
            for effect in reducer.reduce(self.states[host], pending.pop(0)):
                if (
                    isinstance(effect, effects.SendToPeer)
                    and effect.host == host
                ):
                    self.check_shedding(host, effect.message)
                    pending.append(
                        events.PeerMessageReceived(
                            now_s=self.now_s, host=host, message=effect.message
                        )
                    )
                else:
                    self.run_effect(host, effect)

    def run_effect(self, host: str, effect: effects.Effect) -> None:
        match effect:
            case effects.SendToPeer():
                self.check_shedding(host, effect.message)
                if isinstance(effect.message, control_messages.Heartbeat):
                    self.deliver_message(host, effect.host, effect.message)
                else:
                    self.messages.append((host, effect.host, effect.message))
            case effects.StartAttempt():
                self.on_start(host, effect)
            case effects.CancelAttempt():
                self.on_cancel(effect)
            case effects.FinishAnswer() | effects.ReplayAnswer():
                self.records_by_id[effect.request_id].answers += 1
            case effects.RefuseRequest():
                self.on_refusal(effect)
            case effects.ClaimIdempotencyKey():
                self.claims.append(effect.request_id)
            case effects.SettleClaim():
                record = self.records_by_id[effect.request_id]
                assert effect.outcome is not Outcome.NOT_RUN or (
                    not record.may_have_run
                )
            case effects.ExitProcess():
                self.exited[host] += 1

    def on_start(self, host: str, effect: effects.StartAttempt) -> None:
        record = self.records_by_id[effect.request_id]
        running = [
            a for a in self.active_attempts if a.request_id == effect.request_id
        ]
        assert not running, "one attempt at a time"
        assert not record.answers, "no work after the final answer"
        if not record.request.idempotent:
            assert not record.may_have_run, "at most once"
            assert record.claimed or not record.request.idempotency_key
        self.active_attempts.append(
            ActiveAttempt(host, effect.request_id, effect.attempt)
        )

    def on_cancel(self, effect: effects.CancelAttempt) -> None:
        for active in list(self.active_attempts):
            if (active.request_id, active.attempt) == (
                effect.request_id,
                effect.attempt,
            ):
                self.active_attempts.remove(active)
                self.ended_attempts.append(active)
                self.records_by_id[effect.request_id].may_have_run = True

    def on_refusal(self, effect: effects.RefuseRequest) -> None:
        record = self.records_by_id[effect.request_id]
        record.answers += 1
        if effect.refusal.outcome is Outcome.NOT_RUN:
            running = [
                a
                for a in self.active_attempts
                if a.request_id == effect.request_id
            ]
            assert not record.may_have_run, (
                "a refusal that says not run is true"
            )
            assert not running, "a refusal that says not run is true"

    def check_shedding(self, host: str, message: object) -> None:
        """A refused request leaves no lower tier running beyond the floor."""
        if not isinstance(message, grant_messages.GrantRefused):
            return
        record = self.records_by_id[message.request_id]
        if record.request.class_name != "chat":
            return
        pool = self.states[host].pools.pools_by_name["model/small#0"]
        leaving = self.states[host].pools.catalog.leaving
        healths = self.states[host].pools.health_by_upstream
        lower = [
            running
            for running in pool.running_by_attempt.values()
            if running.tier > 1
            and not running.uses_floor
            and running.preemption_requested_s < 0.0
            and running.upstream not in leaving
            and healths[running.upstream].limit(2, self.now_s)
        ]
        assert not lower, "no higher tier is shed for a lower one"

    def deliver_message(self, source: str, to: str, message: object) -> None:
        self.reduce(
            to,
            events.PeerMessageReceived(
                now_s=self.now_s,
                host=source,
                message=message,  # type: ignore[arg-type]
            ),
        )

    def tick(self, seconds: float = TICK_S) -> None:
        self.now_s += seconds
        for host in HOSTS:
            self.reduce(
                host,
                events.VersionConfirmed(
                    now_s=self.now_s, version=1, read_started_s=self.now_s
                ),
            )
            self.reduce(
                host,
                events.Tick(now_s=self.now_s, wall_s=self.now_s, random=0.5),
            )

    @rule(
        host=st.sampled_from(HOSTS),
        kind=st.sampled_from(("chat", "tags", "post", "claimed")),
    )
    def arrive(self, host: str, kind: str) -> None:
        model = kind in CLASSES
        request = CallerRequest(
            request_id=f"r{len(self.records_by_id)}",
            key_sha256="aa",
            model="small" if model else "",
            route_prefix="" if model else "/orders/",
            class_name=kind if model else "",
            streaming=kind == "chat",
            idempotent=model,
            idempotency_key="k" if kind == "claimed" else "",
        )
        self.records_by_id[request.request_id] = RequestRecord(host, request)
        self.reduce(
            host,
            events.RequestArrived(
                now_s=self.now_s, request=request, wall_s=self.now_s
            ),
        )

    @precondition(lambda self: self.messages)
    @rule(
        data=st.data(), action=st.sampled_from(("deliver",) * 4 + ("repeat",))
    )
    def deliver(self, data: st.DataObject, action: str) -> None:
        index = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[index]
        if action == "deliver":
            del self.messages[index]
        self.deliver_message(*message)

    @precondition(lambda self: self.messages)
    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        del self.messages[data.draw(st.integers(0, len(self.messages) - 1))]

    @rule(count=st.sampled_from((1, 1, 3, 10, 50)))
    def wait(self, count: int) -> None:
        for _ in range(count):
            self.tick()

    @precondition(lambda self: self.active_attempts)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(Outcome),
        tokens=st.integers(0, 3),
    )
    def end(self, data: st.DataObject, outcome: Outcome, tokens: int) -> None:
        active = data.draw(st.sampled_from(self.active_attempts))
        self.active_attempts.remove(active)
        self.ended_attempts.append(active)
        record = self.records_by_id[active.request_id]
        record.may_have_run |= outcome is not Outcome.NOT_RUN
        if (
            record.request.streaming
            and tokens
            and outcome is not Outcome.NOT_RUN
        ):
            self.reduce(active.host, self.tokens(active, tokens))
        self.reduce(active.host, self.end_of(active, outcome, tokens))

    @precondition(lambda self: self.active_attempts)
    @rule(data=st.data())
    def progress(self, data: st.DataObject) -> None:
        active = data.draw(st.sampled_from(self.active_attempts))
        if self.records_by_id[active.request_id].request.streaming:
            self.reduce(active.host, self.tokens(active, 1))

    @precondition(lambda self: self.ended_attempts)
    @rule(outcome=st.sampled_from(Outcome))
    def end_again(self, outcome: Outcome) -> None:
        active = self.ended_attempts[-1]
        self.reduce(active.host, self.end_of(active, outcome, 1))

    def tokens(self, active: ActiveAttempt, count: int) -> events.Event:
        return events.TokensForwarded(
            now_s=self.now_s,
            request_id=active.request_id,
            attempt=active.attempt,
            count=count,
        )

    def end_of(
        self, active: ActiveAttempt, outcome: Outcome, tokens: int
    ) -> events.Event:
        return events.AttemptEnded(
            now_s=self.now_s,
            request_id=active.request_id,
            attempt=active.attempt,
            outcome=outcome,
            output_tokens=tokens,
        )

    @precondition(lambda self: self.claims)
    @rule(succeeds=st.booleans())
    def claim(self, succeeds: bool) -> None:
        request_id = self.claims.pop(0)
        record = self.records_by_id[request_id]
        if succeeds:
            record.claimed = True
            event: events.Event = events.ClaimSucceeded(
                now_s=self.now_s, request_id=request_id
            )
        else:
            event = events.ClaimFailed(
                now_s=self.now_s, request_id=request_id, reason="IN_PROGRESS"
            )
        self.reduce(record.host, event)

    @precondition(lambda self: self.records_by_id)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        record = data.draw(st.sampled_from(list(self.records_by_id.values())))
        if not record.answers:
            record.caller_disconnected = True
        self.reduce(
            record.host,
            events.CallerDisconnected(
                now_s=self.now_s, request_id=record.request.request_id
            ),
        )

    @rule(host=st.sampled_from(HOSTS), peer=st.sampled_from(HOSTS))
    def disconnect(self, host: str, peer: str) -> None:
        if host != peer:
            self.reduce(
                host, events.PeerDisconnected(now_s=self.now_s, host=peer)
            )

    @rule(host=st.sampled_from(HOSTS), peer=st.sampled_from(HOSTS))
    def connect_again(self, host: str, peer: str) -> None:
        if host != peer:
            self.reduce(host, events.PeerConnected(now_s=self.now_s, host=peer))

    @rule(leaving=st.sets(st.sampled_from(MODELS), max_size=1))
    def list_hosts(self, leaving: set[str]) -> None:
        for host in HOSTS:
            self.reduce(host, self.hosts_listed(leaving))

    def hosts_listed(self, leaving: set[str]) -> events.Event:
        hosts = [
            HostRecord(
                name=name,
                role=HostRole.ENTRY if name in HOSTS else HostRole.UPSTREAM,
                state=HostState.LEAVING if name in leaving else HostState.LIVE,
                data_centre="a",
                address="",
            )
            for name in (*HOSTS, *MODELS, *PLAIN)
        ]
        return events.HostsListed(now_s=self.now_s, hosts=hosts)

    @invariant()
    def one_answer_each(self) -> None:
        for record in self.records_by_id.values():
            assert record.answers <= 1

    def teardown(self) -> None:
        """Reconnect all entries, end all attempts and check for leaks."""
        for host in HOSTS:
            self.join(host)
        while self.claims:
            self.fail_next_claim()
        for _ in range(SETTLE_TICKS):
            self.settle()
        for record in self.records_by_id.values():
            assert record.answers == 1 or record.caller_disconnected
        for state in self.states.values():
            assert not state.requests.open_by_id
            for pool in state.pools.pools_by_name.values():
                assert not pool.running_by_attempt, "slots never leak"
                assert not pool.queue.waiting_by_attempt
        assert not self.active_attempts

    def fail_next_claim(self) -> None:
        request_id = self.claims.pop(0)
        self.reduce(
            self.records_by_id[request_id].host,
            events.ClaimFailed(
                now_s=self.now_s, request_id=request_id, reason="IN_PROGRESS"
            ),
        )

    def settle(self) -> None:
        while self.messages:
            self.deliver_message(*self.messages.pop(0))
        for active in list(self.active_attempts):
            self.active_attempts.remove(active)
            self.reduce(active.host, self.end_of(active, Outcome.RAN, 5))
        self.tick(SETTLE_TICK_S)


TestEntries = Entries.TestCase
