"""The import contract: which parts of oakmux may import which, and no import cycles.

Imports for type checkers and inside functions count too. Imports that still break the contract
are listed as known exceptions; a test fails as soon as an exception is no longer needed.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SUBSYSTEMS = ("agents", "api", "autoscaling", "leadership", "peers", "scheduling")

# (importer, imported) pairs that still break the layers.
KNOWN_LAYER_BREAKS: set[tuple[str, str]] = set()


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


MODULES = {module_name(path): path for path in sorted((ROOT / "oakmux").rglob("*.py"))}


def imported_names(module: str, source: str) -> Iterator[str]:
    """Yield the full dotted names that a module's source imports, at any place in it."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{module} has a relative import in line {node.lineno}"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def resolve(name: str) -> str:
    """Return the oakmux module that contains a dotted name, or the name itself."""
    parts = name.split(".")
    for length in range(len(parts), 0, -1):
        if (module := ".".join(parts[:length])) in MODULES:
            return module
    return name


def import_graph() -> dict[str, set[str]]:
    """Return the imports of each module: oakmux modules, and full names of others."""
    return {
        module: {resolve(name) for name in imported_names(module, path.read_text())} - {module}
        for module, path in MODULES.items()
    }


GRAPH = import_graph()


def within(module: str, *packages: str) -> bool:
    return any(module == package or module.startswith(package + ".") for package in packages)


def is_forbidden(importer: str, imported: str) -> bool:
    """Whether an import breaks the layers; they are checked from the lowest to the highest."""
    subsystems = [f"oakmux.core.{part}" for part in SUBSYSTEMS]
    if within(imported, "tests", "tools"):
        return True
    if within(importer, "oakmux.constants"):
        return within(imported, "oakmux") and not within(imported, "oakmux.constants")
    if within(importer, "oakmux.task_status"):
        return within(imported, "oakmux")
    if within(importer, "oakmux.settings"):
        return not within(imported, "oakmux.constants") and within(imported, "oakmux")
    if within(importer, "oakmux.core"):
        if within(
            imported, "oakmux.transport", "oakmux.service", "oakmux.cli", "oakmux.schedules"
        ):
            return True
        if importer == "oakmux.core.controller":
            return False
        if imported == "oakmux.core.controller":
            return True
        # Records and modules that all subsystems share are below the subsystems.
        return not within(importer, *subsystems) and within(imported, *subsystems)
    if within(importer, "oakmux.codec", "oakmux.transport"):
        return within(
            imported,
            "oakmux.service",
            "oakmux.cli",
            "oakmux.schedules",
            "oakmux.core.controller",
            *subsystems,
        )
    if within(importer, "oakmux.service"):
        return within(imported, "oakmux.cli")
    return False


def import_cycles(graph: dict[str, set[str]]) -> set[frozenset[str]]:
    """Return the strongly connected components of more than one module (Tarjan)."""
    order: dict[str, int] = {}
    lowest: dict[str, int] = {}
    stack: list[str] = []
    found: set[frozenset[str]] = set()

    def visit(module: str) -> None:
        order[module] = lowest[module] = len(order)
        stack.append(module)
        for other in sorted(graph[module] & graph.keys()):
            if other not in order:
                visit(other)
                lowest[module] = min(lowest[module], lowest[other])
            elif other in stack:
                lowest[module] = min(lowest[module], order[other])
        if lowest[module] == order[module]:
            at = stack.index(module)
            component = frozenset(stack[at:])
            del stack[at:]
            if len(component) > 1:
                found.add(component)

    for module in sorted(graph):
        if module not in order:
            visit(module)
    return found


def layer_breaks() -> set[tuple[str, str]]:
    return {
        (importer, imported)
        for importer, names in GRAPH.items()
        for imported in names
        if is_forbidden(importer, imported)
    }


def test_the_import_graph_is_read():
    assert len(MODULES) > 50
    assert "oakmux.core.controller" in GRAPH["oakmux.service"]
    assert "oakmux.core.context" in GRAPH["oakmux.core.controller"]


def test_no_module_imports_against_the_layers():
    assert layer_breaks() - KNOWN_LAYER_BREAKS == set()


def test_every_known_layer_break_is_still_needed():
    assert KNOWN_LAYER_BREAKS - layer_breaks() == set()


def test_there_are_no_import_cycles():
    assert import_cycles(GRAPH) == set()


@pytest.mark.parametrize(
    ("importer", "imported"),
    [
        ("oakmux.core.state.replica", "oakmux.core.agents.manager"),
        ("oakmux.core.scheduling.binding", "oakmux.core.controller"),
        ("oakmux.core.controller", "oakmux.transport.http_client"),
        ("oakmux.core.api.jobs", "oakmux.service"),
        ("oakmux.core.context", "oakmux.cli"),
        ("oakmux.schedules.api", "tools.bench"),
        ("oakmux.service", "tests.fakes"),
        ("oakmux.transport.http_client", "oakmux.core.controller"),
        ("oakmux.constants", "oakmux.settings"),
    ],
)
def test_the_contract_forbids(importer, imported):
    assert is_forbidden(importer, imported)


def test_import_cycles_are_found_and_chains_are_not_reported():
    assert import_cycles({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}) == {frozenset("abc")}
    assert import_cycles({"a": {"b", "os"}, "b": {"c"}, "c": set()}) == set()


def test_imports_for_type_checkers_and_inside_functions_count():
    source = "if TYPE_CHECKING:\n    from oakmux import cli\ndef f():\n    import oakmux.service\n"
    assert set(imported_names("x", source)) == {"oakmux.cli", "oakmux.service"}
