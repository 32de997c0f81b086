"""Checks imports between modules: no cycles, even for annotations, and net/ never imports its observers."""

from __future__ import annotations

import ast
import subprocess
import sys
from graphlib import TopologicalSorter
from pathlib import Path

import spoolbarrow

ROOT = Path(spoolbarrow.__file__).parent
REQUEST_PATH = ("serve.py", "reload.py", "subsystems.py", "handover.py", "router.py", "interface.py")
OBSERVERS = {"version_monitor", "failover", "connection_handover", "pool_split"}  # attached from above


def import_graph() -> dict[str, set[str]]:
    """Every module of the program with the modules it imports, at run time or for annotations only."""
    paths = {
        ".".join(path.relative_to(ROOT.parent).with_suffix("").parts).removesuffix(".__init__"): path
        for path in ROOT.rglob("*.py")
    }
    graph: dict[str, set[str]] = {name: set() for name in paths}
    for name, path in paths.items():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                full_names = [f"{node.module}.{one.name}" for one in node.names]
                graph[name] |= {one if one in paths else node.module for one in full_names} & paths.keys()
            elif isinstance(node, ast.Import):
                graph[name] |= {one.name for one in node.names} & paths.keys()
    return graph


def test_imports_have_no_cycles() -> None:
    order = list(TopologicalSorter(import_graph()).static_order())  # raises CycleError for a cycle
    errors, host, serve = (order.index(f"spoolbarrow.{name}") for name in ("errors", "net.host", "serve"))
    assert errors < host < serve


def test_observed_modules_do_not_import_their_observers() -> None:
    graph = import_graph()
    observers = {f"spoolbarrow.net.{name}" for name in OBSERVERS}
    inside = {name: imported for name, imported in graph.items() if name.startswith("spoolbarrow.net.")}
    assert {name for name, imported in inside.items() if imported & observers} == set()
    assert not graph["spoolbarrow.net.version_monitor"] & {"spoolbarrow.net.host", "spoolbarrow.net.inbound"}


def test_serving_loads_no_library_that_takes_much_of_the_least_memory() -> None:
    large = ("_hashlib", "_ssl", "asyncio")
    code = f"import sys, spoolbarrow.serve; print(*[m for m in {large} if m in sys.modules])"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert output.stdout.strip() == ""


MAX_LINES = 400  # lines of a module that handles requests
# Modules that are longer, and may not grow: each has several responsibilities, and is to be split.
EXCEPTIONS = {
    "net/host.py": 499,  # the loop, the table of requests, and each action
}
# Statements, and syntax nodes in all, of a module that is bounded whatever its layout; to become a package.
MAX_NODES = {"router.py": (684, 9_960)}


def test_modules_that_handle_requests_stay_within_their_length() -> None:
    paths = [*(ROOT / "net").glob("*.py"), *(ROOT / name for name in REQUEST_PATH)]
    texts = {str(path.relative_to(ROOT)): path.read_text() for path in paths}
    lines = {name: len(text.splitlines()) for name, text in texts.items()}
    too_long = {name: n for name, n in lines.items() if n > EXCEPTIONS.get(name, MAX_LINES)}
    assert too_long.keys() <= MAX_NODES.keys()
    for name, (max_statements, max_nodes) in MAX_NODES.items():
        nodes = list(ast.walk(ast.parse(texts[name])))
        assert sum(isinstance(node, ast.stmt) for node in nodes) <= max_statements, name
        assert len(nodes) <= max_nodes, name
    not_needed = {name for name in (*EXCEPTIONS, *MAX_NODES) if lines[name] <= MAX_LINES}
    assert not_needed == set(), "this exception is not needed"
