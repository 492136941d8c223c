"""Decode the registrations of upstreams, each only once."""

from collections.abc import Mapping

import attrs

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.metrics import Metrics
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.ports import Dialect

MAX_LOGGED_CHARACTERS = 200


@attrs.frozen
class _DecodedRegistration:
    document: bytes
    upstream: Upstream | None


class RegistrationDecoder:
    """Decodes registrations; ones that are invalid name no upstream.

    Anyone may write them, so that one must not keep others from being read.
    """

    def __init__(self, dialect: Dialect, metrics: Metrics) -> None:
        self._dialect = dialect
        self._metrics = metrics
        self._decoded_by_id: dict[str, _DecodedRegistration] = {}

    def decode(
        self, documents_by_id: Mapping[str, tuple[bytes, int]]
    ) -> dict[str, Upstream]:
        """Return the upstreams that valid registrations name.

        Args:
            documents_by_id: Each upstream's document and its revision.
        """
        decoded_by_id = {}
        for upstream_id, (document, revision) in documents_by_id.items():
            decoded = self._decoded_by_id.get(upstream_id)
            if decoded is None or decoded.document != document:
                decoded = _DecodedRegistration(
                    document, self._decode_one(upstream_id, document, revision)
                )
            decoded_by_id[upstream_id] = decoded
        self._decoded_by_id = decoded_by_id
        return {
            upstream_id: decoded.upstream
            for upstream_id, decoded in decoded_by_id.items()
            if decoded.upstream is not None
        }

    def _decode_one(
        self, upstream_id: str, document: bytes, revision: int
    ) -> Upstream | None:
        try:
            return self._dialect.read_upstream(upstream_id, document)
        except ValueError as error:
            self._metrics.count_invalid_document("registration")
            decision_log.record(
                "registration_ignored",
                upstream=upstream_id,
                revision=revision,
                error=str(error)[:MAX_LOGGED_CHARACTERS],
            )
            return None
