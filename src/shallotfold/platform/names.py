"""Define the platform's headers, paths and store keys."""

from shallotfold._gateway.core.wire_names import HeaderNames

HEADERS = HeaderNames(
    request_id=b"attempt-id",
    key=b"x-api-key",
    deadline=b"deadline-remaining",
    workspace=b"tenant-name",
    expected_upstream=b"expected-instance",
    priority=b"request-priority",
    not_run=b"not-executed",
    upstream_load=b"instance-load",
    last_event=b"last-event-id",
    model=b"model-name",
    token_counts=b"token-counts",
    prompt_parts=b"prompt-prefix",
    reserved=frozenset(
        {
            b"expected-version",
            b"cache-retention",
            b"cache-pin-duration",
            b"kv-fetch",
            b"kv-from",
            b"kv-cache-replica",
            b"duty-holder",
            b"fencing-token",
        }
    ),
)

READY_PATH = b"/shallotfold/readiness"
CONFIGURATION_KEY = "op/config"
UPSTREAMS_PREFIX = "servers/"

STORE_GET = "/shallotfold/kv-key"
STORE_RANGE = "/shallotfold/kv-range"
STORE_WATCH = "/shallotfold/kv-watch"
STORE_TRANSACTION = "/shallotfold/kv-txn"
STORE_LEASE = "/shallotfold/kv-lease"
STORE_RENEW = "/shallotfold/kv-keep"
STORE_END_LEASE = "/shallotfold/kv-lease-end"

DUTY_HOLDER = b"Duty-Holder"
FENCING = b"Fencing-Token"
USAGE = "/usage"
SCALING = "/scaling"
