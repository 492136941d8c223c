"""Load headers are read from whole answers and from the heads of streams."""

import pytest

from shallotfold._gateway.serving.response_parsing import ReportedLoad
from shallotfold._gateway.serving.response_parsing import parse_load
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1,8", ReportedLoad(3, 1, None)),
        (b"3, 1", ReportedLoad(3, 1, None)),
        (b"3,1,8,250", ReportedLoad(3, 1, 250)),
        (b"3,1,8, 100 ", ReportedLoad(3, 1, 100)),
        # Some percentages are wrong; the other figures hold.
        (b"3,1,8,0", ReportedLoad(3, 1, None)),
        (b"3,1,8,-5", ReportedLoad(3, 1, None)),
        (b"3,1,8,abc", ReportedLoad(3, 1, None)),
        (b"3,1,8,", ReportedLoad(3, 1, None)),
        (b"3,1,8,99999", ReportedLoad(3, 1, None)),
        (b"3,1,8," + b"9" * 9000, ReportedLoad(3, 1, None)),
        (b"3,1,x,100", None),
        (b"3", None),
        (b"", None),
        (b"9" * 9000 + b",1,8", None),
    ],
)
def test_mistaken_figures_are_ignored(
    value: bytes, expected: ReportedLoad | None
) -> None:
    """More digits than the interpreter converts ended the request."""
    assert parse_load(value) == expected


@pytest.mark.parametrize("is_stream", [True, False])
def test_percentage_of_a_response_reaches_the_dispatcher(
    monkeypatch: pytest.MonkeyPatch, is_stream: bool
) -> None:
    """Engines answer with streams only, whose load header wasn't read."""
    reported: list[int] = []
    backend = Backend(
        lambda _: complete_response(
            b"id: 1\ndata: x\n\n", b"Instance-Load: 1,0,8,250"
        )
    )

    async def scenario(harness: GatewayHarness) -> None:
        harness.gateway.dispatcher.placement.controls_load = True
        path = "/talk/1" if is_stream else "/lookup/1"
        await harness.send(request(path))

    monkeypatch.setattr(
        "shallotfold._gateway.deciding.upstream_speeds.UpstreamSpeeds"
        ".record_reported",
        lambda self, upstream, percent, now_s: reported.append(percent),
    )
    run_scenario([backend], scenario)
    assert reported == [250]
