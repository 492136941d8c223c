import json
import logging

from loguru import logger
import pytest

from shallotfold._runtime.logs import configure_logs
from shallotfold._settings.common import LogSettings


def test_json_records_are_one_line_with_bound_fields(
    capsys: pytest.CaptureFixture[str],
) -> None:
    configure_logs(LogSettings(format="json"), host="h1", data_centre="a")
    logger.bind(request_id="r1").info("two\nlines {}", "{x}")
    logging.getLogger("other").warning("from %s", "elsewhere")
    first, second = map(json.loads, capsys.readouterr().err.splitlines())
    assert first["message"] == "two\nlines {x}"
    assert (first["request_id"], first["host"]) == ("r1", "h1")
    assert first["data_centre"] == "a"
    assert second["message"] == "from elsewhere"
    assert second["level"] == "WARNING"


def test_tracebacks_contain_no_values(
    capsys: pytest.CaptureFixture[str],
) -> None:
    configure_logs(LogSettings())
    secret = "sk-" + "very-secret"
    try:
        len(secret) / 0
    except ZeroDivisionError:
        logger.opt(exception=True).error("failed")
    assert secret not in capsys.readouterr().err
