"""Choose what a host tells its peers of crashes, within a budget of bytes.

When upstreams end together, requests break off at all hosts and each host tells
all others, so that the bytes grow with the square of the number of hosts.
"""

from collections.abc import Hashable
import math

import attrs

from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.crash_knowledge import CrashReport
from shallotfold._gateway.deciding.crash_knowledge import HoldReport

# To all peers together; the smallest link of a host has 625,000.
CRASH_BYTES_PER_S = 20_000
# Unused budget that is saved, so that the first news are sent at once.
MAX_SAVED_BYTES = 40_000
# Heartbeats repeat what may have been lost, and leave this much for news.
RESERVED_FOR_NEWS_BYTES = 20_000
# Of one message to one peer.
MAX_KNOWLEDGE_BYTES = 16_384
# Encoded sizes without the traits, rounded up.
_MESSAGE_BYTES = 48
_REPORT_BYTES = 48
_HOLD_BYTES = 24
_ANSWER_BYTES = 12
_TRAIT_BYTES = 3


@attrs.frozen
class _Item:
    """A part of what a host knows; `key` tells whether it was sent before."""

    key: Hashable
    size: int
    content: HoldReport | CrashReport | tuple[str, float]


@attrs.define
class CrashNews:
    """Splits what a host knows of crashes over its messages."""

    _saved_bytes: float = MAX_SAVED_BYTES
    _updated_s: float = -math.inf
    _send_count_by_key: dict[Hashable, int] = attrs.field(factory=dict)

    def select_news(
        self, knowledge: CrashKnowledge, now_s: float, recipients: int
    ) -> CrashKnowledge:
        """Return what hasn't been sent yet and may be sent now.

        Args:
            knowledge: All that the host knows.
            now_s: Time on the boot clock.
            recipients: Number of peers that get the message.
        """
        self._refill(now_s)
        items = [
            item
            for item in self._items(knowledge, now_s)
            if not self._send_count_by_key[item.key]
        ]
        return self._select(items, self._saved_bytes, recipients)

    def select_for_heartbeat(
        self, knowledge: CrashKnowledge, now_s: float, recipients: int
    ) -> CrashKnowledge:
        """Return what was sent least often; arguments as for `select_news`."""
        self._refill(now_s)
        items = sorted(
            self._items(knowledge, now_s),
            key=lambda item: self._send_count_by_key[item.key],
        )
        return self._select(
            items, self._saved_bytes - RESERVED_FOR_NEWS_BYTES, recipients
        )

    def news_delay_s(
        self, knowledge: CrashKnowledge, now_s: float, recipients: int
    ) -> float | None:
        """Return the time until more news may be sent; `None`: there are none.

        Arguments as for `select_news`.
        """
        self._refill(now_s)
        for item in self._items(knowledge, now_s):
            if not self._send_count_by_key[item.key]:
                needed_bytes = (item.size + _MESSAGE_BYTES) * recipients
                missing_bytes = (
                    min(needed_bytes, MAX_SAVED_BYTES) - self._saved_bytes
                )
                return max(0.0, missing_bytes / CRASH_BYTES_PER_S)
        return None

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._saved_bytes = min(
            MAX_SAVED_BYTES, self._saved_bytes + elapsed_s * CRASH_BYTES_PER_S
        )

    def _items(self, knowledge: CrashKnowledge, now_s: float) -> list[_Item]:
        """Return what is known, the most important first.

        Send counts of what is no longer known are dropped.
        """
        items = [
            _Item(
                (hold.traits, hold.trials),
                _HOLD_BYTES + _traits_bytes(hold.traits),
                hold,
            )
            for hold in knowledge.holds
        ]
        items += [
            # A later answer may end what an earlier one doesn't.
            _Item(
                (trait, int(now_s - age_s)),
                _ANSWER_BYTES + _traits_bytes((trait,)),
                (trait, age_s),
            )
            for trait, age_s in knowledge.answer_ages_s_by_trait.items()
        ]
        items += [
            _Item(
                (report.upstream, report.traits),
                _REPORT_BYTES + _traits_bytes(report.traits),
                report,
            )
            for report in knowledge.reports
        ]
        self._send_count_by_key = {
            item.key: self._send_count_by_key.get(item.key, 0) for item in items
        }
        return items

    def _select(
        self, items: list[_Item], budget_bytes: float, recipients: int
    ) -> CrashKnowledge:
        if not items or not recipients:
            return CrashKnowledge()
        limit = min(MAX_KNOWLEDGE_BYTES, budget_bytes / recipients)
        # In a very large fleet not even one item fits into the budget.
        is_first_allowed = self._saved_bytes >= MAX_SAVED_BYTES
        size = _MESSAGE_BYTES
        selected: list[_Item] = []
        for item in items:
            if size + item.size > limit and (selected or not is_first_allowed):
                break
            size += item.size
            selected.append(item)
            self._send_count_by_key[item.key] += 1
        if selected:
            self._saved_bytes -= size * recipients
        contents = [item.content for item in selected]
        return CrashKnowledge(
            reports=[c for c in contents if isinstance(c, CrashReport)],
            holds=[c for c in contents if isinstance(c, HoldReport)],
            answer_ages_s_by_trait=dict(
                c for c in contents if isinstance(c, tuple)
            ),
        )


def _traits_bytes(traits: tuple[str, ...]) -> int:
    return sum(len(trait.encode()) + _TRAIT_BYTES for trait in traits)
