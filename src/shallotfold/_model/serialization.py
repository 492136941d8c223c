"""Convert configurations to canonical JSON and back."""

import hashlib
import json
from typing import Any

import cattrs
from cattrs.preconf.json import make_converter

from shallotfold._errors import Fault
from shallotfold._errors import InvalidInputError
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Workspace

_CONVERTER = make_converter(forbid_extra_keys=True)


def dump_configuration(configuration: Configuration) -> bytes:
    """Return the canonical JSON document of a configuration."""
    content = _CONVERTER.unstructure(configuration)
    return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()


def load_configuration(
    document: bytes, source: str = "configuration"
) -> Configuration:
    """Parse a configuration from JSON.

    Raises:
        InvalidInputError: The document is not JSON or has wrong fields; lists
            all faults.
    """
    try:
        return _CONVERTER.structure(_parse_object(document), Configuration)
    except ValueError as error:
        raise InvalidInputError(
            [
                Fault(
                    source=source,
                    key="document",
                    found=str(error),
                    allowed="a JSON object",
                    remedy="Print it again with the operator library.",
                )
            ]
        ) from error
    except cattrs.BaseValidationError as error:
        raise InvalidInputError(
            [
                Fault(
                    source=source,
                    key=text.rpartition(" @ ")[2],
                    found=text.rpartition(" @ ")[0],
                    allowed="the fields of the configuration model",
                    remedy="Print it again with the operator library.",
                )
                for text in cattrs.transform_error(error, path="$")
            ]
        ) from error


def load_workspaces(document: bytes) -> dict[str, Workspace]:
    """Parse workspaces by name from JSON that was validated before.

    Raises:
        ValueError: The document is not a JSON object.
        cattrs.BaseValidationError: The document has wrong fields.
    """
    return _CONVERTER.structure(_parse_object(document), dict[str, Workspace])


def _parse_object(document: bytes) -> dict[str, Any]:
    try:
        content = json.loads(document)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error
    if not isinstance(content, dict):
        raise ValueError("expected a JSON object")
    return content


def document_sha256(document: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of a document."""
    return hashlib.sha256(document).hexdigest()
