import io
import pathlib
import runpy

import pytest

from shallotfold import operator
from shallotfold._model import serialization

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize("name", ["mwangaza", "switchback"])
def test_example_prints_a_valid_configuration(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    runpy.run_path(str(EXAMPLES / f"{name}.py"), run_name="__main__")
    document = capsys.readouterr().out.encode()
    configuration = serialization.load_configuration(document)
    models = [u for u in configuration.upstreams_by_name.values() if u.model]
    assert len(models) == 6
    assert len(configuration.data_centres) == 4


def test_second_declaration_of_a_name_is_refused() -> None:
    builder = operator.ConfigurationBuilder()
    builder.add_class("chat", tier=1)
    with pytest.raises(operator.UsageError, match="rename one"):
        builder.add_class("chat", tier=2)


def test_unknown_option_error_lists_the_allowed_options() -> None:
    builder = operator.ConfigurationBuilder()
    with pytest.raises(operator.UsageError, match="floor_share"):
        builder.add_class("chat", tier=1, flor=0.1)


def test_all_contradictions_are_reported_together() -> None:
    builder = operator.ConfigurationBuilder()
    undeclared = operator.DataCentre("nowhere")
    builder.add_class("chat", tier=9)
    builder.add_model_upstream(
        "m1", data_centre=undeclared, model="small", url="http://127.0.0.1:1"
    )
    with pytest.raises(operator.InvalidInputError) as caught:
        builder.print(io.StringIO())
    assert len(caught.value.faults) == 2


def test_new_key_hides_its_secret() -> None:
    key = operator.new_key("leader")
    assert key.secret not in repr(key)
    assert operator.digest_key("leader", key.secret) == key.digest


def test_short_key_is_refused() -> None:
    with pytest.raises(operator.UsageError, match="new_key"):
        operator.digest_key("leader", "short")
