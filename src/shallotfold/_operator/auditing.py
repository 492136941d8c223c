"""Record the changes of operators in the audit trail."""

from collections.abc import Iterator
from collections.abc import Sequence
import re
import time

from loguru import logger

from shallotfold._fleet.audit import AuditChange
from shallotfold._fleet.audit import AuditRecord
from shallotfold._fleet.audit import append_with_retries
from shallotfold._fleet.manifest import Submission
from shallotfold._model.differences import Change
from shallotfold._services.ports import Store

MAX_APPEND_ATTEMPTS = 4

_KEYS_PATH = re.compile(r"workspaces_by_name\.(?P<workspace>.+)\.keys")


async def record_submission(
    store: Store,
    version: int,
    changes: Sequence[Change],
    *,
    who: str,
    why: str,
) -> None:
    """Append one record for the version and one for each changed key list.

    Record ids are derived from the version, so a repeated call adds nothing.
    A record that can't be written is logged. The version is in force even so,
    and `missing_records` recovers the record from the manifest's history.
    """
    audit_changes = _audit_changes(version, changes, who, why)
    records = [
        AuditRecord(
            record_id=f"configuration/{version}/{index}",
            at_s=time.time(),
            change=change,
        )
        for index, change in enumerate(audit_changes)
    ]
    for record in records:
        if not await append_with_retries(store, record, MAX_APPEND_ATTEMPTS):
            logger.warning(
                "Version {} was accepted, but audit record {} was not written",
                version,
                record.record_id,
            )


def missing_records(
    history: Sequence[Submission], records: Sequence[AuditRecord]
) -> list[AuditRecord]:
    """Return records of accepted versions that the audit trail lacks."""
    recorded_ids = {record.record_id for record in records}
    return [
        AuditRecord(
            record_id=f"configuration/{submission.version}/0",
            at_s=submission.submitted_s,
            change=AuditChange(
                kind="configuration",
                who=submission.who,
                why=submission.why,
                what=f"version/{submission.version}",
                before=f"version {submission.version - 1}",
                after="; ".join(submission.changed),
            ),
        )
        for submission in history
        if f"configuration/{submission.version}/0" not in recorded_ids
    ]


def _audit_changes(
    version: int, changes: Sequence[Change], who: str, why: str
) -> Iterator[AuditChange]:
    yield AuditChange(
        kind="configuration",
        who=who,
        why=why,
        what=f"version/{version}",
        before=f"version {version - 1}",
        after="; ".join(change.path for change in changes),
    )
    for change in changes:
        match = _KEYS_PATH.fullmatch(change.path)
        if match:
            yield AuditChange(
                kind="key",
                who=who,
                why=why,
                what=f"keys/{match['workspace']}",
                before=_find_key_ids(change.before),
                after=_find_key_ids(change.after),
            )


def _find_key_ids(keys_json: str) -> str:
    """Return the key ids in a list of key digests."""
    return ", ".join(re.findall(r'"key_id": "([^"]*)"', keys_json))
