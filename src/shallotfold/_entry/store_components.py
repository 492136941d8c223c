"""Make the components of an entry that write to the store."""

import time

from loguru import logger

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.serving.exchanges import Exchanges
from shallotfold._entry.serving.shell import Component
from shallotfold._entry.serving.shell import EntryShell
from shallotfold._entry.store.claim_runner import ClaimRunner
from shallotfold._entry.store.usage_flusher import UsageFlusher
from shallotfold._services.http_store import HttpStore
from shallotfold._settings.entry import EntrySettings


def make_store_components(
    shell: EntryShell, settings: EntrySettings, exchanges: Exchanges
) -> list[Component]:
    """Make the components that claim idempotency keys and flush usage.

    Without a platform there is no store: claims then fail, and usage is
    treated as written so that the entry can drain.
    """
    if settings.platform is None:
        logger.warning("no [platform] in the settings: usage is not reported")
        shell.register(
            effects.FlushUsage,
            lambda effect: shell.deliver(
                events.UsageFlushed(
                    now_s=time.monotonic(),
                    sequence=effect.sequence,
                    closed_before=effect.closed_before,
                )
            ),
        )
        return []
    store = HttpStore(settings.platform.store_url)
    claims = ClaimRunner(store, shell.deliver, exchanges.recorded_answer)
    shell.register(effects.ClaimIdempotencyKey, claims.claim)
    shell.register(effects.SettleClaim, claims.settle)
    return [store, UsageFlusher(shell, store), claims]
