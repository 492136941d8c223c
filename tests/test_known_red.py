"""`make test` ended red on a fresh clone: only `.ci/run` knew known faults."""

import pathlib

import pytest

from tests import known_red

pytest_plugins = ["pytester"]

SUITE = """
import pytest

def test_sound(): pass
def test_known(): assert False
@pytest.mark.parametrize("n", [1, 2])
def test_known_cases(n): assert n == 1
def test_mended(): pass
"""
CONFTEST = """
from tests import known_red

known_red.PATH = __import__("pathlib").Path(__file__).parent / "KNOWN-RED.txt"
from tests.conftest import pytest_collection_modifyitems
from tests.conftest import pytest_terminal_summary
"""
ENTRIES = """\
test_suite.py::test_known | command | seen | 1
test_suite.py::test_known_cases[2] | command | seen | 1
test_suite.py::test_mended | command | seen | 1
review/1 | review/1/run.sh | seen | 2
"""


@pytest.fixture
def suite(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch
) -> pytest.Pytester:
    root = pathlib.Path(known_red.__file__).parents[1]
    monkeypatch.setenv("PYTHONPATH", str(root))
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_suite=SUITE)
    (pytester.path / "KNOWN-RED.txt").write_text(ENTRIES)
    return pytester


def test_known_faults_run_and_are_printed(suite: pytest.Pytester) -> None:
    result = suite.runpytest_subprocess()
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=2, xfailed=2, xpassed=1)
    result.stdout.fnmatch_lines(
        [
            "known fault, failed: test_suite.py::test_known",
            "known fault, failed: test_suite.py::test_known_cases*2*",
            "known fault, passed: test_suite.py::test_mended",
        ]
    )


def test_other_failures_fail_the_run(suite: pytest.Pytester) -> None:
    suite.makepyfile(test_other="def test_new(): assert False")
    result = suite.runpytest_subprocess()
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=2, xfailed=2, xpassed=1, failed=1)


def test_case_that_isn_t_named_fails_the_run(suite: pytest.Pytester) -> None:
    text = ENTRIES.replace("test_known_cases[2]", "test_known_cases[1]")
    (suite.path / "KNOWN-RED.txt").write_text(text)
    result = suite.runpytest_subprocess()
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_entry_of_no_test_fails_a_whole_run(suite: pytest.Pytester) -> None:
    """A renamed test would lose its entry unnoticed."""
    text = ENTRIES + "test_suite.py::test_renamed | command | seen | 1\n"
    (suite.path / "KNOWN-RED.txt").write_text(text)
    result = suite.runpytest_subprocess()
    assert result.ret != pytest.ExitCode.OK
    result.stderr.fnmatch_lines(["*test_renamed*"])


def test_lines_for_readers_name_no_test() -> None:
    assert set(known_red.read_entries(ENTRIES)) == {
        "test_suite.py::test_known",
        "test_suite.py::test_known_cases[2]",
        "test_suite.py::test_mended",
    }
