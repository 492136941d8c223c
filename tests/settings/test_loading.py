import pathlib

import attrs
import pytest

from shallotfold import InvalidInputError
from shallotfold._settings.addresses import Address
from shallotfold._settings.common import LogSettings
from shallotfold._settings.loading import load_settings


@attrs.frozen(kw_only=True)
class Sample:
    host: str
    port: Address
    ratio: float = 0.5
    names: tuple[str, ...] = ()
    log: LogSettings = attrs.field(factory=LogSettings)


def load(tmp_path: pathlib.Path, text: str) -> Sample:
    path = tmp_path / "sample.toml"
    path.write_text(text)
    return load_settings(path, Sample)


def test_values_and_defaults_are_loaded(tmp_path: pathlib.Path) -> None:
    sample = load(tmp_path, 'host = "a"\nport = "127.0.0.1:80"\nratio = 1\n')
    assert sample == Sample(host="a", port=Address("127.0.0.1", 80), ratio=1.0)


def test_all_faults_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    text = (
        'port = "example:80"\nratoi = 2\nnames = "x"\n'
        '[log]\nformat = "xml"\nlevel = 3\n'
    )
    with pytest.raises(InvalidInputError) as caught:
        load(tmp_path, text)
    fault_by_key = {fault.key: fault for fault in caught.value.faults}
    assert set(fault_by_key) == {
        "host",
        "port",
        "ratoi",
        "names",
        "log.format",
        "log.level",
    }
    assert fault_by_key["ratoi"].remedy == "Did you mean ratio?"


def test_error_for_a_missing_file_contains_the_remedy(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(InvalidInputError, match="--settings"):
        load_settings(tmp_path / "none.toml", Sample)
