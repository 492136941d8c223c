import base64
import pathlib

import aiohttp

from shallotfold._entry import effects
from shallotfold._entry.operators import status_page
from shallotfold._entry.operators.attainment import Attainment
from shallotfold._entry.operators.attainment import Tally
from shallotfold._entry.state.catalog import Catalog
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.pool_state import RunningGrant
from shallotfold._entry.state.upstream_health import UpstreamHealth
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._wire.grant_messages import GrantRequest
from tests.entry import served_entry as s
from tests.entry.operators.test_operator_server import OPERATOR_KEY
from tests.entry.operators.test_operator_server import SETTINGS

EVIL = '<script>alert("1")</script>\'&'


def basic_authorization(user: str, password: str) -> str:
    pair = f"{user}:{password}".encode()
    return f"Basic {base64.b64encode(pair).decode()}"


def make_configuration(*names: str) -> Configuration:
    targets = Targets(whole_answer_s=2.0)
    return Configuration(
        classes_by_name={
            name: RequestClass(name=name, tier=1, targets=targets)
            for name in names
        }
    )


def whole_answer_time(name: str, value_s: float) -> effects.TimeMetric:
    return effects.TimeMetric(
        name=f"class.{name}.whole_answer_s", value_s=value_s
    )


def render(state: EntryState, attainment: Attainment) -> str:
    return status_page.render_page(state, attainment, 100.0, ready=True)


def make_queued_request(tier: int) -> QueuedRequest:
    request = GrantRequest(
        pool="mine",
        request_id="r1",
        attempt=1,
        class_name="chat",
        workspace="north",
        prompt_tokens=1,
        output_tokens=1,
        waited_s=0.0,
    )
    return QueuedRequest(
        host="e1",
        request=request,
        tier=tier,
        cost=1.0,
        weight=1.0,
        expires_s=200.0,
    )


def make_running_grant(tier: int) -> RunningGrant:
    return RunningGrant(
        host="e1",
        class_name="chat",
        tier=tier,
        workspace="north",
        weight=1.0,
        upstream="m1",
        prompt_tokens=1,
        cost=1.0,
        granted_s=0.0,
        last_confirmed_s=0.0,
        preemptible=False,
    )


def test_page_shows_status_to_a_browser(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with (
            s.start_upstreams(s.answer_completion) as [fake],
            s.serve_entry(
                tmp_path, {"m1": fake.url}, operator=SETTINGS
            ) as served,
            aiohttp.ClientSession(
                headers={
                    "Authorization": basic_authorization("anyone", OPERATOR_KEY)
                }
            ) as browser,
        ):
            async with served.client.post(
                f"{served.url}/v1/chat/completions", json=s.CHAT
            ) as answer:
                assert answer.status == 200
            url = f"http://{served.entry.operators.address}/operator/"
            async with browser.get(url) as response:
                assert response.status == 200
                assert response.content_type == "text/html"
                policy = response.headers["Content-Security-Policy"]
                page = await response.text()
        assert policy.startswith("default-src 'none'; style-src 'sha256-")
        assert "unsafe" not in policy
        row = "<td>chat</td><td>whole_answer_s</td><td>1</td><td>1</td>"
        assert f"{row}<td>100.0%</td><td><svg" in page
        assert "<td>m1</td><td>a</td><td>small</td>" in page
        assert "<td>Configuration version</td><td>1</td>" in page
        for secret in (OPERATOR_KEY, SETTINGS.key_sha256, s.KEY, "upstream-s"):
            assert secret not in page
        assert "<script" not in page

    s.run(main())


def test_page_requires_the_operator_key(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with (
            s.serve_entry(tmp_path, {}, operator=SETTINGS) as served,
            aiohttp.ClientSession() as browser,
        ):
            url = f"http://{served.entry.operators.address}/operator/"
            wrong = basic_authorization(OPERATOR_KEY, "wrong")
            for value in (
                "",
                wrong,
                "Basic ?",
                "Basic",
                "Basic /w==",
                "Bearer x",
            ):
                async with browser.get(
                    url, headers={"Authorization": value}
                ) as response:
                    assert response.status == 401
                    challenge = response.headers["WWW-Authenticate"]
                    assert challenge.startswith("Basic ")
                    assert "Configuration" not in await response.text()

    s.run(main())


def test_names_are_escaped_in_html() -> None:
    state = EntryState(host=EVIL, data_centre=EVIL, incarnation=1)
    upstream = Upstream(name=EVIL, url=EVIL, data_centre=EVIL, model=EVIL)
    state.pools.catalog = Catalog(upstreams_by_name={EVIL: upstream})
    state.pools.pools_by_name[EVIL] = Pool(name=EVIL, owned=True)
    attainment = Attainment()
    attainment.record_time(
        whole_answer_time(EVIL, 1.0), make_configuration(EVIL), 100.0
    )
    refusal = effects.CountMetric(name=f"requests.refused.{EVIL}")
    attainment.record_count(refusal, 100.0)
    page = render(state, attainment)
    assert "<script" not in page
    # Title, heading, data centre, class, code, pool, upstream in 3 cells.
    assert page.count("&lt;script&gt;alert(&quot;1&quot;)") == 9


def test_page_shows_queues_of_owned_pools_by_tier() -> None:
    state = EntryState(host="e1", data_centre="a", incarnation=1)
    for name, owned in (("mine", True), ("other", False)):
        pool = state.pools.pools_by_name[name] = Pool(name=name, owned=owned)
        pool.running_by_attempt["r0", 1] = make_running_grant(tier=2)
        for number, tier in enumerate((1, 3, 3)):
            pool.queue.waiting_by_attempt[f"r{number}", 1] = (
                make_queued_request(tier)
            )
    page = render(state, Attainment())
    for tier, waits, runs in ((1, 1, 0), (2, 0, 1), (3, 2, 0)):
        cells = f"<td>{tier}</td><td>{waits}</td><td>{runs}</td>"
        assert f"<td>mine</td>{cells}" in page
    assert "other" not in page


def test_page_shows_the_health_of_upstreams() -> None:
    state = EntryState(host="e1", data_centre="a", incarnation=1)
    names = ("closed", "gone", "new", "open", "tested")
    state.pools.catalog = Catalog(
        upstreams_by_name={
            name: Upstream(name=name, url="", data_centre="a", model="small")
            for name in names
        },
        leaving=frozenset({"gone"}),
    )
    state.pools.health_by_upstream = {
        "closed": UpstreamHealth(failures=2, ejected_until_s=103.0),
        "gone": UpstreamHealth(),
        "open": UpstreamHealth(),
        "tested": UpstreamHealth(slow=True, probing=True),
    }
    page = render(state, Attainment())
    for shown in (
        "closed for 3.0 s, 2 failures in a row",
        "leaving",
        "not judged",
        "open",
        "probing, slow",
    ):
        assert f"<td>{shown}</td>" in page


def test_attainment_counts_by_minute_and_drops_old_minutes() -> None:
    attainment = Attainment()
    configuration = make_configuration("chat")
    for now_s, value_s in ((0.0, 1.0), (30.0, 2.5), (61.0, 2.0)):
        attainment.record_time(
            whole_answer_time("chat", value_s), configuration, now_s
        )
    attainment.record_time(
        effects.TimeMetric(name="class.chat.first_token_s", value_s=1.0),
        configuration,
        61.0,
    )
    attainment.record_time(
        whole_answer_time("unknown", 1.0), configuration, 61.0
    )
    [row] = attainment.rows(61.0)
    assert row.minutes[-2:] == (Tally(2, 1), Tally(1, 1))
    assert row.total == Tally(3, 2)
    [row] = attainment.rows(600.0)
    assert row.total == Tally(1, 1)
    assert attainment.rows(660.0) == ()


def test_attainment_is_bounded() -> None:
    attainment = Attainment(max_rows=2)
    configuration = make_configuration("a", "b", "c")
    for minute in range(100):
        for name in ("a", "b", "c"):
            now_s = 60.0 * minute
            attainment.record_time(
                whole_answer_time(name, 1.0), configuration, now_s
            )
    assert len(attainment._minutes_by_number) == 10
    assert [row.key.class_name for row in attainment.rows(now_s)] == ["a", "b"]
    assert attainment.omitted(now_s) == 10


def test_share_with_a_missed_target_is_not_shown_as_100_percent() -> None:
    state = EntryState(host="e1", data_centre="a", incarnation=1)
    attainment = Attainment()
    for value_s in (*[1.0] * 9999, 3.0):
        attainment.record_time(
            whole_answer_time("chat", value_s),
            make_configuration("chat"),
            100.0,
        )
    assert "<td>99.9%</td>" in render(state, attainment)
