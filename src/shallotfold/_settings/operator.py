"""Declare the settings of the operators' command line."""

import attrs


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Settings for reaching a deployment from the command line.

    Attributes:
        store_url: Key-value service, `http://IP:PORT`.
        entry_urls: Operator ports of the entries, `http://IP:PORT` each.
        operator_key_file: File that contains the operator key of the entries;
            empty if only the store is used.
        timeout_s: Timeout of one request.
    """

    store_url: str
    entry_urls: tuple[str, ...] = ()
    operator_key_file: str = ""
    timeout_s: float = 5.0
