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
    upstream_leaving=b"server-leaving",
    upstream_limit=b"server-limit",
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
    forwarded=frozenset(
        {b"output-length-hint", b"response-signature", b"weight-versions"}
    ),
)

READY_PATH = b"/shallotfold/readiness"
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
UPSTREAMS_PREFIX = "servers/"

STORE_GET_PATH = "/shallotfold/kv-key"
STORE_RANGE_PATH = "/shallotfold/kv-range"
STORE_WATCH_PATH = "/shallotfold/kv-watch"
STORE_TRANSACTION_PATH = "/shallotfold/kv-txn"
STORE_GRANT_LEASE_PATH = "/shallotfold/kv-lease"
STORE_RENEW_LEASE_PATH = "/shallotfold/kv-keep"
STORE_REVOKE_LEASE_PATH = "/shallotfold/kv-lease-end"

STORE_ERA_HEADER = b"store-era"

DUTY_HOLDER_HEADER = b"Duty-Holder"
FENCING_TOKEN_HEADER = b"Fencing-Token"
USAGE_PATH = "/usage"
SCALING_PATH = "/scaling"
