"""Enforce the limits of workspaces across the fleet.

The ledger of a limited workspace is kept by one entry, which rendezvous hashing
chooses. Entries report to it what they admitted, and it replies with what the
others admitted. Between two replies an entry admits at most its share of the
remainder, so the fleet exceeds a limit by at most one request per active entry,
plus the first allowance of entries that the ledger did not know yet.
"""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.membership import membership
from shallotfold._entry.pools import ownership
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.limits_state import WINDOW_S
from shallotfold._entry.state.limits_state import WorkspaceUse
from shallotfold._model.configuration import Limits
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode
from shallotfold._wire import grant_messages

SYNC_INTERVAL_S = 1.0
MIN_RETRY_AFTER_S = 1.0


def admit(
    state: EntryState, workspace: Workspace, tokens: float, now_s: float
) -> Refusal | None:
    """Charge a request to its workspace, or return the refusal."""
    limits = workspace.limits
    if limits == Limits():
        return None
    use = _workspace_use(state, workspace.name)
    if now_s - use.synced_s > SYNC_INTERVAL_S:
        _renew_allowances(state, use, limits, now_s)
    if (
        use.request_allowance < 1.0
        or use.running_allowance < 1.0
        or use.token_allowance <= 0.0
    ):
        return _refusal(use, limits, now_s)
    use.request_allowance -= 1.0
    use.running_allowance -= 1.0
    use.token_allowance -= tokens
    use.requests.add(1.0, now_s)
    use.tokens.add(tokens, now_s)
    use.running += 1
    return None


def settle_charge(
    state: EntryState, workspace: str, surplus_tokens: float, now_s: float
) -> None:
    """End a charged request; `surplus_tokens` is actual minus charged."""
    use = state.limits.uses_by_workspace.get(workspace)
    if use is not None and use.running > 0:
        use.running -= 1
        use.running_allowance += 1.0
        use.tokens.add(surplus_tokens, now_s)


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Record a report in the ledger, or apply the ledger's totals."""
    message = event.message
    if isinstance(message, grant_messages.LimitUsed):
        return _record_report(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.LimitTotal):
        use = state.limits.uses_by_workspace.get(message.workspace)
        workspace = state.configuration.current.workspaces_by_name.get(
            message.workspace
        )
        if use is not None and workspace is not None:
            use.used_by_others = message
            _renew_allowances(state, use, workspace.limits, event.now_s)
    return []


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Report the local use of each workspace to its ledger."""
    if event.now_s - state.limits.synced_s < SYNC_INTERVAL_S:
        return []
    state.limits.synced_s = event.now_s
    new_effects: list[effects.Effect] = []
    for name, use in list(state.limits.uses_by_workspace.items()):
        requests = use.requests.total(event.now_s)
        tokens = use.tokens.total(event.now_s)
        if requests < 1.0 and not use.running:
            del state.limits.uses_by_workspace[name]
            continue
        report = grant_messages.LimitUsed(
            workspace=name,
            requests=requests,
            tokens=tokens,
            running=use.running,
        )
        ledger_host = ownership.owner_of(state, f"limits/{name}")
        new_effects.append(effects.SendToPeer(host=ledger_host, message=report))
    return new_effects


def _workspace_use(state: EntryState, workspace: str) -> WorkspaceUse:
    return state.limits.uses_by_workspace.setdefault(workspace, WorkspaceUse())


def _renew_allowances(
    state: EntryState, use: WorkspaceUse, limits: Limits, now_s: float
) -> None:
    others = use.used_by_others
    share = 1.0 / len(membership.live_entries(state))
    if others is not None:
        share = 1.0 / (1 + others.reporters)
    use.synced_s = now_s
    use.request_allowance = _allowance(
        limits.requests_per_minute,
        use.requests.total(now_s) + (others.requests if others else 0.0),
        share,
    )
    use.token_allowance = _allowance(
        limits.tokens_per_minute,
        use.tokens.total(now_s) + (others.tokens if others else 0.0),
        share,
    )
    use.running_allowance = _allowance(
        limits.concurrency,
        use.running + (others.running if others else 0),
        share,
    )


def _allowance(limit: int | None, used: float, share: float) -> float:
    if limit is None:
        return float("inf")
    remaining = limit - used
    return max(1.0, remaining * share) if remaining >= 1.0 else 0.0


def _refusal(use: WorkspaceUse, limits: Limits, now_s: float) -> Refusal:
    per_minute = limits.requests_per_minute
    wait_s = MIN_RETRY_AFTER_S
    if per_minute is not None and use.request_allowance < 1.0:
        wait_s = max(MIN_RETRY_AFTER_S, WINDOW_S / max(1, per_minute))
    if use.token_allowance <= 0.0:
        wait_s = max(wait_s, WINDOW_S - now_s % WINDOW_S)
    return Refusal(
        code=RefusalCode.RATE_LIMITED,
        message="The workspace has reached its limit; repeat later.",
        retry_after_s=wait_s,
    )


def _record_report(
    state: EntryState,
    host: str,
    report: grant_messages.LimitUsed,
    now_s: float,
) -> list[effects.Effect]:
    ledger = state.limits.ledgers_by_workspace.setdefault(report.workspace, {})
    ledger[host] = (now_s, report)
    for name, (received_s, _) in list(ledger.items()):
        if now_s - received_s > WINDOW_S:
            del ledger[name]
    others = [
        (1.0 - (now_s - at_s) / WINDOW_S, other)
        for name, (at_s, other) in ledger.items()
        if name != host
    ]
    live = membership.live_entries(state)
    total = grant_messages.LimitTotal(
        workspace=report.workspace,
        requests=sum(weight * other.requests for weight, other in others),
        tokens=sum(weight * other.tokens for weight, other in others),
        running=sum(
            other.running
            for name, (_, other) in ledger.items()
            if name != host and name in live
        ),
        reporters=sum(name in live for name in ledger if name != host),
    )
    return [effects.SendToPeer(host=host, message=total)]
