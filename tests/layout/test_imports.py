import ast
import pathlib

import pytest

import shallotfold

SOURCE = pathlib.Path(shallotfold.__file__).parent
# A package may import from those before it; the modules beside the packages
# wire everything together, except for those that all packages may import.
PACKAGES_BY_PROGRAM = {
    "_entry": (
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
    ),
    "_gateway": (
        "core",
        "http",
        "deciding",
        "duties",
        "serving",
        "peers",
        "following",
    ),
}
SHARED_MODULES_BY_PROGRAM = {"_entry": ("effects", "events"), "_gateway": ()}
PACKAGES = [
    (program, package)
    for program, packages in PACKAGES_BY_PROGRAM.items()
    for package in packages
]


def imported_names(path: pathlib.Path, package: str) -> set[str]:
    """Return the modules and packages directly in `package` that are used."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module == package:
            names |= {alias.name for alias in node.names}
        elif node.module.startswith(f"{package}."):
            names.add(node.module.removeprefix(f"{package}.").split(".")[0])
    return names


@pytest.mark.parametrize(("program", "package"), PACKAGES)
def test_package_imports_only_from_those_before_it(
    program: str, package: str
) -> None:
    packages = PACKAGES_BY_PROGRAM[program]
    allowed = {
        *packages[: packages.index(package) + 1],
        *SHARED_MODULES_BY_PROGRAM[program],
    }
    for path in (SOURCE / program / package).glob("*.py"):
        found = imported_names(path, f"shallotfold.{program}")
        assert found <= allowed, path.name


@pytest.mark.parametrize("program", PACKAGES_BY_PROGRAM)
def test_all_packages_are_listed(program: str) -> None:
    found = {p.parent.name for p in (SOURCE / program).glob("*/__init__.py")}
    assert found == set(PACKAGES_BY_PROGRAM[program])


@pytest.mark.parametrize(("program", "package"), PACKAGES)
def test_modules_of_a_package_import_in_one_direction(
    program: str, package: str
) -> None:
    paths = {p.stem: p for p in (SOURCE / program / package).glob("*.py")}
    imported_by_module = {
        name: imported_names(path, f"shallotfold.{program}.{package}")
        & (paths.keys() - {name})
        for name, path in paths.items()
    }
    while imported_by_module:
        free = [n for n, found in imported_by_module.items() if not found]
        assert free, f"circle among {sorted(imported_by_module)}"
        for name in free:
            del imported_by_module[name]
        for found in imported_by_module.values():
            found.difference_update(free)
