import ast
import pathlib

import pytest

import shallotfold

SOURCE = pathlib.Path(shallotfold.__file__).parent
# A package may import only from those listed before it. The modules next to the
# packages wire everything together, except the shared ones below, which all
# packages may import.
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
    """Return the direct members of `package` that a module imports."""
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
        imported = imported_names(path, f"shallotfold.{program}")
        assert imported <= allowed, path.name


@pytest.mark.parametrize("program", PACKAGES_BY_PROGRAM)
def test_all_packages_are_listed(program: str) -> None:
    packages = {p.parent.name for p in (SOURCE / program).glob("*/__init__.py")}
    assert packages == set(PACKAGES_BY_PROGRAM[program])


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
        independent = [
            n for n, names in imported_by_module.items() if not names
        ]
        assert independent, f"import cycle among {sorted(imported_by_module)}"
        for name in independent:
            del imported_by_module[name]
        for names in imported_by_module.values():
            names.difference_update(independent)
