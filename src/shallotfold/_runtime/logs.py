"""Send all log records of a process to standard error through loguru."""

from __future__ import annotations

import json
import logging
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

    from shallotfold._settings.common import LogSettings

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}\n{exception}"
)


def configure_logs(
    settings: LogSettings, *, host: str = "", data_centre: str = ""
) -> None:
    """Configure logging with the format and level of the settings.

    Args:
        settings: Format and level.
        host: Name of this host, added to every record.
        data_centre: Data centre of this host, added to every record.
    """
    logger.remove()
    logger.configure(extra={"host": host, "data_centre": data_centre})
    # With diagnose=False tracebacks show no values, so keys are not logged.
    logger.add(
        sys.stderr,
        level=settings.level,
        format=_json_format if settings.format == "json" else _TEXT_FORMAT,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LoguruHandler()], level=0, force=True)


def _json_format(record: Record) -> str:
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        "module": record["name"],
        **{k: v for k, v in record["extra"].items() if k != "json_line"},
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    record["extra"]["json_line"] = json.dumps(fields, default=str)
    return "{extra[json_line]}\n"


class _LoguruHandler(logging.Handler):
    """Forward records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        level: str | int = record.levelno
        if record.levelname in ("DEBUG", "INFO", "WARNING", "ERROR"):
            level = record.levelname
        logger.opt(depth=6, exception=record.exc_info).log(
            level, "{}", record.getMessage()
        )
