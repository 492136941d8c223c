"""Encode what a host knows of prompts under which upstreams end.

It is part of each heartbeat, and a datagram of its own when something is new.
"""

from typing import Any
from typing import cast

import msgpack

from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.crash_knowledge import CrashReport
from shallotfold._gateway.deciding.crash_knowledge import HoldReport

# First field of the datagram; heartbeats begin with a number.
MESSAGE_TYPE = "prompt_crashes"


def knowledge_fields(knowledge: CrashKnowledge) -> tuple[Any, ...]:
    """Return the fields of a message."""
    return (
        [
            (
                report.upstream,
                report.age_s,
                report.part_ids,
                report.answer_begun,
            )
            for report in knowledge.reports
        ],
        [
            (hold.part_ids, hold.age_s, hold.stored, hold.tried)
            for hold in knowledge.holds
        ],
        dict(knowledge.answer_ages_s_by_part),
    )


def read_knowledge(fields: Any) -> CrashKnowledge:
    """Return what a peer knows.

    Raises:
        ValueError: The fields aren't those of a peer's message.
    """
    try:
        reports, holds, answer_ages_s_by_part = fields
        return CrashKnowledge(
            reports=[
                CrashReport(
                    str(upstream),
                    _age_s(age_s),
                    _part_ids(part_ids),
                    answer_begun=bool(answer_begun),
                )
                for upstream, age_s, part_ids, answer_begun in reports
            ],
            holds=[
                HoldReport(
                    _part_ids(part_ids),
                    _age_s(age_s),
                    stored=bool(stored),
                    tried=bool(tried),
                )
                for part_ids, age_s, stored, tried in holds
            ],
            answer_ages_s_by_part={
                str(part_id): _age_s(age_s)
                for part_id, age_s in answer_ages_s_by_part.items()
            },
        )
    except (ValueError, TypeError, AttributeError) as error:
        raise ValueError(f"not a message of crashes: {error}") from error


def encode_knowledge(sender: str, knowledge: CrashKnowledge) -> bytes:
    """Encode a datagram of host `sender`."""
    return cast(
        bytes,
        msgpack.packb((MESSAGE_TYPE, sender, *knowledge_fields(knowledge))),
    )


def decode_knowledge(data: bytes) -> tuple[str, CrashKnowledge] | None:
    """Decode a datagram; return `None` if it is of another type.

    Returns:
        The sender and what it knows.

    Raises:
        ValueError: The datagram is damaged.
    """
    fields: Any = msgpack.unpackb(data, strict_map_key=False)
    if not isinstance(fields, list) or fields[:1] != [MESSAGE_TYPE]:
        return None
    if len(fields) < 2:
        raise ValueError("a message of crashes without a sender")
    return str(fields[1]), read_knowledge(fields[2:])


def _age_s(value: Any) -> float:
    """Return an age; a negative one would outlast newer knowledge."""
    return max(0.0, float(value))


def _part_ids(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise TypeError(f"parts are a {type(value).__name__}")
    return tuple(str(part_id) for part_id in value)
