"""Select the headers and query parameters to forward."""

import base64
from collections.abc import Iterable
from collections.abc import Mapping
import urllib.parse

REQUEST_ID = "X-Request-Id"
REQUEST_CLASS = "X-Request-Class"
IDEMPOTENCY_KEY = "Idempotency-Key"
NOT_RUN = "X-Not-Run"
PRIORITY = "X-Priority"

_TO_UPSTREAM = (
    "Accept",
    "Accept-Language",
    "Content-Language",
    "Content-Type",
    "If-Match",
    "If-Modified-Since",
    "If-None-Match",
    "If-Unmodified-Since",
)
_TO_CALLER = (
    "Allow",
    "Cache-Control",
    "Content-Disposition",
    "Content-Encoding",
    "Content-Language",
    "Content-Type",
    "ETag",
    "Last-Modified",
    "Retry-After",
)
_BEARER = "bearer "
_BASIC = "basic "


def bearer_key(headers: Mapping[str, str]) -> str:
    """Return the caller's key; empty without one."""
    value = headers.get("Authorization", "")
    if value[: len(_BEARER)].lower() != _BEARER:
        return ""
    return value[len(_BEARER) :].strip()


def basic_password(headers: Mapping[str, str]) -> str:
    """Return the password of Basic authentication; empty without one."""
    value = headers.get("Authorization", "")
    if value[: len(_BASIC)].lower() != _BASIC:
        return ""
    encoded = value[len(_BASIC) :].strip()
    try:
        pair = base64.b64decode(encoded, validate=True).decode()
    except ValueError:
        return ""
    return pair.partition(":")[2]


def for_upstream(headers: Mapping[str, str], key: str) -> dict[str, str]:
    """Return the caller's headers to forward to an upstream."""
    return _select_headers(headers, _TO_UPSTREAM, key)


def for_caller(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the upstream's headers to forward to a caller."""
    return _select_headers(headers, _TO_CALLER, "")


def strip_query(query: str, key: str) -> str:
    """Return a raw query without the parameters that contain the key."""
    if not key or not query:
        return query
    return "&".join(
        part for part in query.split("&") if not _contains_encoded(part, key)
    )


def contains_key(text: str, key: str) -> bool:
    """Whether text contains the key, plain or percent-encoded."""
    return bool(key) and _contains_encoded(text, key)


def _contains_encoded(text: str, key: str) -> bool:
    if key in text:
        return True
    decoded = text
    for _ in range(3):
        decoded = urllib.parse.unquote_plus(decoded)
        if key in decoded:
            return True
    return key in urllib.parse.unquote(text)


def _select_headers(
    headers: Mapping[str, str], names: Iterable[str], key: str
) -> dict[str, str]:
    selected = {}
    for name in names:
        value = headers.get(name)
        if value is not None and not (key and key in value):
            selected[name] = value
    return selected
