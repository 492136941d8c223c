"""Read the gateway's settings from the platform's settings file."""

import json
import pathlib
from typing import Any

from shallotfold._errors import Fault
from shallotfold._errors import InvalidInputError
from shallotfold._gateway.core.settings import DEFAULT_REGISTRATION_INTERVAL_S
from shallotfold._gateway.core.settings import GatewaySettings
from shallotfold._settings.addresses import Address
from shallotfold._settings.addresses import parse_address

SETTINGS_VARIABLE = "SHALLOTFOLD_CONFIG"
_MS_PER_S = 1000.0
# Among the active contracts where upstreams are overloaded at times.
LOAD_CONTRACT = "pressure"
MAX_MIB = 1_048_576
MAX_REGISTRATION_INTERVAL_MS = 3_600_000


def load_platform_settings(path: pathlib.Path) -> GatewaySettings:
    """Load the settings file.

    Raises:
        InvalidInputError: The file can't be read, or a required field is
            missing or invalid.
    """
    try:
        content = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise _invalid(path, "(file)", error, "a readable JSON file") from error
    return _decode(path, content)


def _decode(path: pathlib.Path, content: Any) -> GatewaySettings:
    key = "(file)"

    def read_value(*keys: str) -> Any:
        nonlocal key
        key = ".".join(keys)
        value = content
        for name in keys:
            value = value[name]
        return value

    def read_address(*keys: str) -> Address:
        return parse_address(str(read_value(*keys)))

    def read_optional_number(
        *keys: str, minimum: float, maximum: float
    ) -> float | None:
        nonlocal key
        key = ".".join(keys)
        return _find_number(content, keys, minimum, maximum)

    try:
        return GatewaySettings(
            host=str(read_value("NodeName")),
            data_centre=str(read_value("Zone")),
            data_centres=tuple(read_value("Zones")),
            ip=str(read_value("IpAddress")),
            caller_address=read_address("ListenAddresses", "Frontend"),
            ready_address=read_address("ListenAddresses", "Ready"),
            # Only hosts call what the platform names the control plane.
            peer_address=read_address("ListenAddresses", "ControlPlane"),
            peer_port=int(read_value("InternalPortRange")[0]),
            seed_ips=tuple(
                parse_address(str(seed)).ip for seed in read_value("SeedNodes")
            ),
            store_address=read_address("Platform", "Address"),
            duties_address=read_address("CloudApi", "Address"),
            retry_ratio=float(
                read_value("ContractParameters", "RetryBudgetRatio")
            ),
            retry_extra=float(
                read_value("ContractParameters", "RetryBudgetExtra")
            ),
            retry_window_s=float(
                read_value("ContractParameters", "BudgetWindowS")
            ),
            grace_period_s=float(
                read_value("ContractParameters", "GracePeriodS")
            ),
            lease_s=float(read_value("ContractParameters", "LeaseDurationMs"))
            / _MS_PER_S,
            usage_window_s=float(
                read_value("ContractParameters", "UsageWindowS")
            ),
            usage_lateness_s=float(
                read_value("ContractParameters", "UsageLatenessS")
            ),
            region_by_data_centre={
                str(zone): str(region)
                for zone, region in read_value("Zones").items()
            },
            registration_interval_s=_to_seconds(
                read_optional_number(
                    "HeartbeatIntervalMs",
                    minimum=0,
                    maximum=MAX_REGISTRATION_INTERVAL_MS,
                ),
                DEFAULT_REGISTRATION_INTERVAL_S,
            ),
            is_first_start=bool(content.get("Bootstrap", False)),
            follows_evacuations=(
                "EvacuationMs" in content.get("ContractParameters", ())
            ),
            controls_load=LOAD_CONTRACT in content.get("ActiveContracts", ()),
            memory_limit_mib=_to_whole(
                read_optional_number(
                    "Limits", "MemoryLimitMb", minimum=1, maximum=MAX_MIB
                )
            ),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise _invalid(
            path, key, error, "a value that the platform writes"
        ) from error


def _find_number(
    content: Any, keys: tuple[str, ...], minimum: float, maximum: float
) -> float | None:
    """Return a number at a path of keys; `None`: there is none.

    Raises:
        ValueError or TypeError: The value is no number, or out of range.
    """
    value = content
    for name in keys:
        value = (value or {}).get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not minimum <= float(value) <= maximum:
        raise ValueError(value)
    return float(value)


def _to_seconds(duration_ms: float | None, default_s: float) -> float:
    return default_s if duration_ms is None else duration_ms / _MS_PER_S


def _to_whole(number: float | None) -> int | None:
    return None if number is None else int(number)


def _invalid(
    path: pathlib.Path, key: str, error: Exception, allowed: str
) -> InvalidInputError:
    fault = Fault(
        source=str(path),
        key=key,
        found=repr(error),
        allowed=allowed,
        remedy="Start the process with the file that the platform writes.",
    )
    return InvalidInputError([fault])
