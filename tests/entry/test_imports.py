import ast
import pathlib

import pytest

import shallotfold._entry

ROOT = pathlib.Path(shallotfold._entry.__file__).parent
PACKAGE = "shallotfold._entry"
# A package may import from those before it; modules beside the packages wire
# everything together, except for the two that everybody may import.
PACKAGES = (
    "state",
    "membership",
    "pools",
    "usage",
    "requests",
    "reducing",
    "serving",
    "operators",
    "peers",
    "store",
)
SHARED_MODULES = ("effects", "events")


def imported_parts(path: pathlib.Path) -> set[str]:
    """Return the parts of the entry that a module imports from."""
    parts = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module == PACKAGE:
            parts |= {alias.name for alias in node.names}
        elif node.module.startswith(f"{PACKAGE}."):
            parts.add(node.module.removeprefix(f"{PACKAGE}.").split(".")[0])
    return parts


@pytest.mark.parametrize("package", PACKAGES)
def test_package_imports_only_from_those_before_it(package: str) -> None:
    allowed = {*PACKAGES[: PACKAGES.index(package) + 1], *SHARED_MODULES}
    for path in (ROOT / package).glob("*.py"):
        assert imported_parts(path) <= allowed, path.name


def test_all_packages_are_listed() -> None:
    found = {path.parent.name for path in ROOT.glob("*/__init__.py")}
    assert found == set(PACKAGES)


@pytest.mark.parametrize("package", PACKAGES)
def test_modules_of_a_package_import_in_one_direction(package: str) -> None:
    names = {path.stem for path in (ROOT / package).glob("*.py")}
    imported_by_module = {}
    for name in names:
        tree = ast.parse((ROOT / package / f"{name}.py").read_text())
        imported = set()
        for node in ast.walk(tree):
            if not isinstance(node, ast.ImportFrom) or node.module is None:
                continue
            if node.module == f"{PACKAGE}.{package}":
                imported |= {alias.name for alias in node.names}
            elif node.module.startswith(f"{PACKAGE}.{package}."):
                imported.add(node.module.rsplit(".", 1)[1])
        imported_by_module[name] = imported & names
    while imported_by_module:
        free = [n for n, found in imported_by_module.items() if not found]
        assert free, f"circle among {sorted(imported_by_module)}"
        for name in free:
            del imported_by_module[name]
        for found in imported_by_module.values():
            found.difference_update(free)
