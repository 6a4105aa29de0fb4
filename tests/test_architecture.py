"""Import rules: which parts of the project each part may import, as in `docs/architecture.md`."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "myrtlespar"

# The parts that each part may import. `net.codec` is a part of its own, a pure one that encodes and decodes messages.
ALLOWED: dict[str, set[str]] = {
    "errors": set(),
    "policy": {"errors"},
    "resource_limits": set(),
    "exchange": set(),
    "state_machines": {"errors", "exchange", "policy"},
    "membership": {"errors"},
    "quota": {"errors"},
    "runtime": {"errors", "state_machines"},
    "admin": {"errors"},
    "config": {"errors", "policy", "resource_limits"},
    "coordinator": {"admin", "errors", "exchange", "policy", "runtime", "state_machines"},
    "request_coordinator": {
        "admin",
        "coordinator",
        "errors",
        "exchange",
        "policy",
        "resource_limits",
        "runtime",
        "state_machines",
    },
    "handover": {"errors", "exchange", "policy", "request_coordinator", "runtime"},
    "net.codec": {"errors", "membership", "policy", "quota"},
    "net": {
        "admin",
        "config",
        "errors",
        "exchange",
        "membership",
        "net.codec",
        "policy",
        "quota",
        "request_coordinator",
        "resource_limits",
        "runtime",
        "state_machines",
    },
    "fleet": {"config", "errors", "membership", "net", "net.codec", "policy", "quota", "runtime"},
    "server": {
        "admin",
        "config",
        "errors",
        "exchange",
        "fleet",
        "handover",
        "net",
        "policy",
        "request_coordinator",
        "resource_limits",
        "runtime",
        "state_machines",
    },
    "simulator_adapter": {"errors", "policy"},
    "fakes": {"errors", "net.codec"},
    "fault_proxy": {"errors"},
    "fleet_tests": {"errors", "fakes", "fault_proxy", "membership", "net.codec", "quota"},
    "simulation": {"errors", "fault_proxy", "fleet_tests", "membership", "net.codec", "quota"},
    "model_checker": {
        "errors",
        "exchange",
        "fakes",
        "handover",
        "membership",
        "policy",
        "quota",
        "server",  # to run the program with a mutation by `python -m`
        "state_machines",
    },
    "cli": {"config", "errors", "fakes", "fleet", "fleet_tests", "model_checker", "quota", "server", "simulation"},
    "__main__": {"cli", "runtime", "server"},
    "": {"policy"},  # the package itself exports Policy and Settings
}
PURE_PARTS = ("policy", "state_machines", "membership", "quota", "net.codec", "admin", "exchange", "errors")
IMPURE_MODULES = {"gevent", "socket", "select", "threading", "subprocess", "time", "datetime", "secrets", "signal"}
RANDOM_TYPE_ONLY = {"Random"}  # only the type, for a random source passed in by the caller


def modules() -> list[Path]:
    """Return the paths of all modules of the package."""
    return sorted(PACKAGE.rglob("*.py"))


def module_name(path: Path) -> str:
    """Return the dotted name of a module below the package."""
    return ".".join(path.relative_to(PACKAGE).with_suffix("").parts).removesuffix("__init__").rstrip(".")


MODULE_NAMES = {module_name(path) for path in modules()}


def part_of(module: str) -> str:
    """Return the part that a module belongs to."""
    if module.startswith("net.codec"):
        return "net.codec"
    return module.partition(".")[0]


def typing_only(tree: ast.Module) -> set[int]:
    """Return the ids of the nodes below `if TYPE_CHECKING`, which are not executed at run time."""
    return {
        id(inner)
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test)
        for inner in ast.walk(node)
    }


def imports(path: Path) -> Iterator[tuple[str, list[str]]]:
    """Yield each imported module with the names imported from it, also from statements inside functions."""
    tree = ast.parse(path.read_text())
    skipped = typing_only(tree)
    for node in ast.walk(tree):
        if id(node) in skipped:
            continue
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, []
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: relative import"
            yield node.module or "", [alias.name for alias in node.names]


def project_imports(path: Path) -> Iterator[str]:
    """Yield the names below the package of the project's modules that a module imports."""
    for module, names in imports(path):
        root, _, below = module.partition(".")
        if root != "myrtlespar":
            continue
        submodules = [f"{below}.{name}".lstrip(".") for name in names]
        yield from [name for name in submodules if name in MODULE_NAMES] or [below]


@pytest.mark.parametrize("path", modules(), ids=module_name)
def test_a_module_imports_only_parts_that_its_own_part_may_know(path: Path) -> None:
    part = part_of(module_name(path))
    for imported in project_imports(path):
        other = part_of(imported)
        assert other in ALLOWED[part] | {part}, f"{module_name(path)} imports {imported}"


def test_the_rules_have_no_cycle() -> None:
    order: list[str] = []
    while len(order) < len(ALLOWED):
        ready = [part for part, below in ALLOWED.items() if part not in order and below <= set(order)]
        assert ready, f"a cycle among {sorted(set(ALLOWED) - set(order))}"
        order += ready


def test_every_part_has_its_rule() -> None:
    assert {part_of(name) for name in MODULE_NAMES} == set(ALLOWED)


@pytest.mark.parametrize(
    "path", [path for path in modules() if part_of(module_name(path)) in PURE_PARTS], ids=module_name
)
def test_a_pure_part_imports_no_clock_socket_or_random_source(path: Path) -> None:
    for module, names in imports(path):
        assert module.partition(".")[0] not in IMPURE_MODULES, f"{module_name(path)} imports {module}"
        if module == "random":
            assert set(names) == RANDOM_TYPE_ONLY, f"{module_name(path)} imports {names} of random"
