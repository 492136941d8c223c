import ast
import pathlib
import re

from shallotfold._runtime.metric_names import METRICS
from shallotfold._runtime.metric_names import render_page

ROOT = pathlib.Path(__file__).parents[2]


def used_names() -> set[str]:
    """Return the metric names in all effects, with placeholders as `*`."""
    names = set()
    for path in (ROOT / "src/shallotfold/_entry").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            if ast.unparse(node.func) not in (
                "effects.CountMetric",
                "effects.TimeMetric",
            ):
                continue
            for keyword in node.keywords:
                if keyword.arg == "name":
                    text = ast.unparse(keyword.value).lstrip("f").strip("'\"")
                    names.add(re.sub(r"\{[^}]*\}", "*", text))
    return names


def test_page_is_generated_from_the_table() -> None:
    assert (ROOT / "docs/METRICS.md").read_text() == render_page()


def test_every_metric_of_the_entry_is_documented() -> None:
    documented = {re.sub(r"[A-Z]+", "*", metric.name) for metric in METRICS}
    assert used_names()
    assert used_names() <= documented
