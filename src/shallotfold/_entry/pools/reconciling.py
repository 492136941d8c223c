"""Reconcile pools with the running attempts that entries announce."""

from shallotfold._entry import effects
from shallotfold._entry.membership import membership
from shallotfold._entry.pools import granting
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_state import LOWEST_TIER
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.pool_state import RunningGrant
from shallotfold._wire import grant_messages

UNCONFIRMED_TIMEOUT_S = 16.0
ENDED_RETENTION_S = 20.0
ANNOUNCEMENT_DELAY_S = 1.0


def reconcile(
    state: EntryState,
    host: str,
    message: grant_messages.RunningAnnounced,
    now_s: float,
) -> list[effects.Effect]:
    """Reconcile a pool with the running attempts that an entry announced."""
    pool = state.pools.pool(message.pool)
    announced = set()
    for attempt in message.attempts:
        key = (attempt.request_id, attempt.attempt)
        announced.add(key)
        known = pool.running_by_attempt.get(key)
        if known is not None:
            known.last_confirmed_s = now_s
            known.preemptible = attempt.preemptible
        elif key not in pool.ended_s_by_attempt:
            pool.queue.remove(key)
            pool.add_running(
                key, _grant_from_announcement(state, host, attempt, now_s)
            )
    for key, running in list(pool.running_by_attempt.items()):
        overdue = now_s - running.granted_s > ANNOUNCEMENT_DELAY_S
        if running.host == host and overdue and key not in announced:
            pool.end_running(key, now_s)
    return granting.grant_waiting(state, pool, now_s)


def _grant_from_announcement(
    state: EntryState,
    host: str,
    attempt: grant_messages.RunningAttempt,
    now_s: float,
) -> RunningGrant:
    classes = state.configuration.current.classes_by_name
    request_class = classes.get(attempt.class_name)
    return RunningGrant(
        host=host,
        class_name=attempt.class_name,
        tier=request_class.tier if request_class else LOWEST_TIER,
        workspace=attempt.workspace,
        weight=1.0,
        upstream=attempt.upstream,
        prompt_tokens=0,
        cost=0.0,
        granted_s=now_s,
        last_confirmed_s=now_s,
        preemptible=attempt.preemptible,
    )


def drop_stale(state: EntryState, pool: Pool, now_s: float) -> None:
    """Drop requests and attempts of lost entries, and expired records."""
    live = membership.live_entries(state)
    for key, waiting in list(pool.queue.waiting_by_attempt.items()):
        if waiting.host not in live:
            pool.queue.remove(key)
    for key, running in list(pool.running_by_attempt.items()):
        if (
            running.host not in live
            or now_s - running.last_confirmed_s > UNCONFIRMED_TIMEOUT_S
        ):
            pool.end_running(key, now_s)
    for key, ended_s in list(pool.ended_s_by_attempt.items()):
        if now_s - ended_s > ENDED_RETENTION_S:
            del pool.ended_s_by_attempt[key]
