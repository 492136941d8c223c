"""Encode what responses to a host said about the limits of upstreams.

It is part of each heartbeat, and a datagram of its own when something is new.
"""

from collections.abc import Sequence
import math
from typing import Any
from typing import cast

import msgpack

from shallotfold._gateway.deciding.named_limits import MAX_NAMED_RATE
from shallotfold._gateway.deciding.named_limits import LimitStatement

# First field of the datagram; heartbeats begin with a number.
MESSAGE_TYPE = "upstream_limits"


def statement_fields(
    statements: Sequence[LimitStatement], now_s: float
) -> list[tuple[Any, ...]]:
    """Return the fields of a message; times become ages."""
    return [
        (
            statement.upstream,
            statement.started_ms,
            statement.rate if math.isfinite(statement.rate) else None,
            now_s - statement.sent_s,
            now_s - statement.received_s,
        )
        for statement in statements
    ]


def read_statements(fields: Any, now_s: float) -> list[LimitStatement]:
    """Return what a peer was told.

    Raises:
        ValueError: The fields aren't those of a peer's message.
    """
    try:
        return [
            LimitStatement(
                upstream=str(upstream),
                started_ms=int(started_ms),
                rate=math.inf if rate is None else _rate(rate),
                sent_s=now_s - _age_s(sent_age_s),
                received_s=now_s - _age_s(received_age_s),
            )
            for upstream, started_ms, rate, sent_age_s, received_age_s in fields
        ]
    except (ValueError, TypeError, OverflowError) as error:
        raise ValueError(f"not a message of limits: {error}") from error


def encode_statements(
    sender: str, statements: Sequence[LimitStatement], now_s: float
) -> bytes:
    """Encode a datagram of host `sender`."""
    return cast(
        bytes,
        msgpack.packb(
            (MESSAGE_TYPE, sender, statement_fields(statements, now_s))
        ),
    )


def decode_statements(
    data: bytes, now_s: float
) -> tuple[str, list[LimitStatement]] | None:
    """Decode a datagram; return `None` if it is of another type.

    Returns:
        The sender and what it was told.

    Raises:
        ValueError: The datagram is damaged.
    """
    fields: Any = msgpack.unpackb(data, strict_map_key=False)
    if not isinstance(fields, list) or fields[:1] != [MESSAGE_TYPE]:
        return None
    if len(fields) < 3:
        raise ValueError("a message of limits without statements")
    return str(fields[1]), read_statements(fields[2], now_s)


def read_demand(fields: Any) -> dict[str, float]:
    """Return the requests a second that a peer announced, by service.

    Raises:
        ValueError: The fields aren't those of a peer's message.
    """
    try:
        return {str(service): _rate(rate) for service, rate in fields.items()}
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a demand: {error}") from error


def _rate(value: Any) -> float:
    rate = float(value)
    if not 0.0 <= rate <= MAX_NAMED_RATE:
        raise ValueError(f"{rate} isn't a rate")
    return rate


def _age_s(value: Any) -> float:
    """Return an age; a negative one would outlast newer statements."""
    age_s = float(value)
    if not math.isfinite(age_s):
        raise ValueError(f"{age_s} isn't an age")
    return max(0.0, age_s)
