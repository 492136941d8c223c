"""Read the platform's settings file into settings of the gateway."""

import json
import pathlib
from typing import Any

from shallotfold._errors import Fault
from shallotfold._errors import InvalidInputError
from shallotfold._gateway.core.settings import GatewaySettings
from shallotfold._settings.addresses import Address
from shallotfold._settings.addresses import parse_address

SETTINGS_VARIABLE = "SHALLOTFOLD_CONFIG"
_MS_PER_S = 1000.0


def load_platform_settings(path: pathlib.Path) -> GatewaySettings:
    """Load the settings file.

    Raises:
        InvalidInputError: It can't be read, or fields that are needed are
            missing or of another type.
    """
    try:
        content = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise _invalid(path, "(file)", error, "a readable JSON file") from error
    return _decode(path, content)


def _decode(path: pathlib.Path, content: Any) -> GatewaySettings:
    key = "(file)"

    def pick(*keys: str) -> Any:
        nonlocal key
        key = ".".join(keys)
        value = content
        for name in keys:
            value = value[name]
        return value

    def address(*keys: str) -> Address:
        return parse_address(str(pick(*keys)))

    try:
        return GatewaySettings(
            host=str(pick("NodeName")),
            data_centre=str(pick("Zone")),
            data_centres=tuple(pick("Zones")),
            ip=str(pick("IpAddress")),
            caller_address=address("ListenAddresses", "Frontend"),
            ready_address=address("ListenAddresses", "Ready"),
            # Nobody but hosts calls what the platform names a control plane.
            peer_address=address("ListenAddresses", "ControlPlane"),
            peer_port=int(pick("InternalPortRange")[0]),
            seed_ips=tuple(
                parse_address(str(seed)).ip for seed in pick("SeedNodes")
            ),
            store_address=address("Platform", "Address"),
            duties_address=address("CloudApi", "Address"),
            retry_ratio=float(pick("ContractParameters", "RetryBudgetRatio")),
            retry_extra=float(pick("ContractParameters", "RetryBudgetExtra")),
            retry_window_s=float(pick("ContractParameters", "BudgetWindowS")),
            grace_period_s=float(pick("ContractParameters", "GracePeriodS")),
            lease_s=float(pick("ContractParameters", "LeaseDurationMs"))
            / _MS_PER_S,
            usage_window_s=float(pick("ContractParameters", "UsageWindowS")),
            usage_lateness_s=float(
                pick("ContractParameters", "UsageLatenessS")
            ),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise _invalid(path, key, error, "the platform's own value") from error


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
