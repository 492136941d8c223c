"""Collect the types of messages that entries send each other.

Each module of messages lists its own; `ALL_MESSAGES` joins them for the codec.
"""

from shallotfold._wire import control_messages
from shallotfold._wire import grant_messages
from shallotfold._wire import usage_messages

ALL_MESSAGES: tuple[type, ...] = (
    *grant_messages.MESSAGES,
    *control_messages.MESSAGES,
    *usage_messages.MESSAGES,
)

PeerMessage = (
    grant_messages.GrantMessage
    | control_messages.ControlMessage
    | usage_messages.UsageMessage
)
