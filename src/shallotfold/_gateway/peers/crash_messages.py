"""Encode what a host knows of requests under which upstreams end.

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
                report.traits,
                report.answer_begun,
            )
            for report in knowledge.reports
        ],
        [
            (hold.traits, hold.age_s, hold.stored, hold.trials)
            for hold in knowledge.holds
        ],
        dict(knowledge.answer_ages_s_by_trait),
    )


def read_knowledge(fields: Any) -> CrashKnowledge:
    """Return what a peer knows.

    Raises:
        ValueError: The fields aren't those of a peer's message.
    """
    try:
        reports, holds, answer_ages_s_by_trait = fields
        return CrashKnowledge(
            reports=[
                CrashReport(
                    str(upstream),
                    _age_s(age_s),
                    _traits(traits),
                    answer_begun=bool(answer_begun),
                )
                for upstream, age_s, traits, answer_begun in reports
            ],
            holds=[
                HoldReport(
                    _traits(traits),
                    _age_s(age_s),
                    stored=bool(stored),
                    # Earlier builds send whether there was one.
                    trials=max(0, int(trials)),
                )
                for traits, age_s, stored, trials in holds
            ],
            answer_ages_s_by_trait={
                str(trait): _age_s(age_s)
                for trait, age_s in answer_ages_s_by_trait.items()
            },
        )
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
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


def _traits(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise TypeError(f"parts are a {type(value).__name__}")
    return tuple(str(trait) for trait in value)
