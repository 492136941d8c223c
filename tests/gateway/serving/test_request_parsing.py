"""Check which requests count as equal."""

from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.serving.request_parsing import request_fingerprint
from shallotfold.platform.documents import PlatformDialect

NAMES = PlatformDialect().headers


def make_request(
    target: bytes = b"/lookup/1?a=1",
    *headers: tuple[bytes, bytes],
    method: bytes = b"POST",
    body: bytes = b"",
) -> IncomingRequest:
    return IncomingRequest(
        method=method,
        target=target,
        headers=[(b"host", b"shop.example"), *headers],
        original_names=[],
        body=body,
        has_body=bool(body),
        keep_alive=True,
        accepts_chunks=True,
        started_s=0.0,
    )


def fingerprint(
    request: IncomingRequest, workspace: str | None = "north"
) -> str:
    return request_fingerprint(request, NAMES, workspace)


def test_repeat_with_other_headers_is_equal() -> None:
    first = make_request(
        b"/lookup/1", (NAMES.request_id, b"1"), (NAMES.deadline, b"900")
    )
    again = make_request(
        b"/lookup/1", (NAMES.request_id, b"2"), (NAMES.deadline, b"700")
    )
    assert fingerprint(first) == fingerprint(again)


def test_method_path_query_body_and_workspace_tell_requests_apart() -> None:
    fingerprints = [
        fingerprint(make_request()),
        fingerprint(make_request(method=b"PUT")),
        fingerprint(make_request(b"/lookup/2?a=1")),
        fingerprint(make_request(b"/lookup/1?a=2")),
        fingerprint(make_request(body=b"x")),
        fingerprint(make_request(), "south"),
        fingerprint(make_request(), None),
    ]
    assert len(set(fingerprints)) == len(fingerprints)


def test_end_of_one_field_does_not_pass_for_the_next() -> None:
    first = fingerprint(make_request(b"/a", body=b"bc"), "north")
    assert first != fingerprint(make_request(b"/a", body=b"c"), "northb")


def test_prompt_tells_requests_apart_whatever_their_body() -> None:
    fingerprints = {
        fingerprint(
            make_request(b"/talk/1", (NAMES.prompt_parts, parts), body=body)
        )
        for body in (b"", b"text")
        for parts in (b"5c1e:40,91bd:30", b"5c1e:40,e440:30")
    }
    assert len(fingerprints) == 4
