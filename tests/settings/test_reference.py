import pathlib

from shallotfold._settings.entry import EntrySettings
from shallotfold._settings.reference import list_settings
from shallotfold._settings.reference import render_reference

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "SETTINGS.md"


def test_page_is_generated_from_the_code() -> None:
    assert render_reference() == PAGE.read_text()


def test_nested_tables_are_listed_by_dotted_key() -> None:
    keys = {row.key for row in list_settings(EntrySettings)}
    assert {"host", "platform.store_url", "attempts.keepalive_s"} <= keys
