"""Claim idempotency keys before requests are dispatched."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.requests import grant_requests
from shallotfold._entry.requests import limits
from shallotfold._entry.requests import termination
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

RETRY_AFTER_S = 1.0


def on_claimed(
    state: EntryState, event: events.ClaimSucceeded
) -> list[effects.Effect]:
    """Dispatch a request whose idempotency key was claimed."""
    if event.request_id in state.requests.abandoned_claims:
        state.requests.abandoned_claims.discard(event.request_id)
        return [
            effects.SettleClaim(
                request_id=event.request_id, outcome=Outcome.NOT_RUN
            )
        ]
    open_request = state.requests.open_by_id.get(event.request_id)
    if open_request is None or open_request.phase is not Phase.CLAIMING:
        return []
    return grant_requests.request_grant(state, open_request, event.now_s)


def on_claim_failed(
    state: EntryState, event: events.ClaimFailed
) -> list[effects.Effect]:
    """Answer a request whose idempotency key could not be claimed."""
    state.requests.abandoned_claims.discard(event.request_id)
    open_request = state.requests.open_by_id.get(event.request_id)
    if open_request is None or open_request.phase is not Phase.CLAIMING:
        return []
    del state.requests.open_by_id[event.request_id]
    limits.settle_charge(state, open_request.workspace, 0.0, event.now_s)
    if event.answer is not None:
        return [
            effects.ReplayAnswer(
                request_id=event.request_id, answer=event.answer
            )
        ]
    return termination.refusal_effects(
        event.request_id, claim_refusal(event.reason)
    )


def claim_or_request_grant(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> list[effects.Effect]:
    """Claim the idempotency key of a request, or request a grant at once."""
    if not open_request.needs_claim:
        return grant_requests.request_grant(state, open_request, now_s)
    open_request.phase = Phase.CLAIMING
    request = open_request.request
    return [
        effects.ClaimIdempotencyKey(
            request_id=request.request_id,
            workspace=open_request.workspace,
            idempotency_key=request.idempotency_key,
            body_sha256=request.body_sha256,
        )
    ]


def claim_refusal(reason: str) -> Refusal:
    """Return the refusal for a claim that failed."""
    code = RefusalCode[reason]
    if code is RefusalCode.UPSTREAM_FAILED:
        return Refusal(
            code=code,
            message="The first run has an unknown outcome; check it there.",
            outcome=Outcome.UNKNOWN,
        )
    if code is RefusalCode.IN_PROGRESS:
        return Refusal(
            code=code,
            message="The first run is under way; repeat for its outcome.",
            outcome=Outcome.UNKNOWN,
            retry_after_s=RETRY_AFTER_S,
        )
    if code is RefusalCode.KEY_REUSED:
        return Refusal(
            code=code,
            message="The idempotency key was used with another body.",
        )
    return Refusal(
        code=code,
        message=(
            "The idempotency key can't be claimed now, so this request was "
            "not run; repeat it with the same key."
        ),
        retry_after_s=RETRY_AFTER_S,
    )
