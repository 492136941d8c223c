import json
import pathlib
import re

import pytest

from benchmarks import capacity
from shallotfold._entry.serving.refusals import status_of
from shallotfold._model import requests

ROOT = pathlib.Path(__file__).parents[2]
PROOFS = (ROOT / "docs" / "PROOFS.md").read_text()
NODE_IDS = sorted(set(re.findall(r"(tests/\S+?\.py)::(test_\w+)", PROOFS)))


@pytest.mark.parametrize(("path", "name"), NODE_IDS)
def test_proof_names_a_test_that_exists(path: str, name: str) -> None:
    source = (ROOT / path).read_text()
    assert re.search(rf"def {name}\(", source)


def test_every_promise_has_a_proof() -> None:
    assert len(re.findall(r"^## ", PROOFS, flags=re.MULTILINE)) == 13


def test_capacity_page_matches_the_slopes() -> None:
    measures = json.loads((ROOT / "docs/capacity-slopes.json").read_text())
    page = capacity.render(capacity.Fleet(), capacity.Slopes(measures))
    assert page == (ROOT / "docs/CAPACITY.md").read_text()


def test_callers_page_lists_every_refusal_with_its_status() -> None:
    page = (ROOT / "docs/CALLERS.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \|", page, flags=re.MULTILINE)
    statuses = {
        code.value: str(status_of(code)) for code in requests.RefusalCode
    }
    assert dict(rows) == statuses


def test_links_between_pages_point_to_existing_files() -> None:
    pages = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
    for page in pages:
        for target in re.findall(r"`(docs/[\w/.-]+\.md)`", page.read_text()):
            assert (ROOT / target).exists(), f"{page.name}: {target}"
