"""Who imports whom: no circles, in annotations neither, and nobody in net/ knows what only watches."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import spoolbarrow

ROOT = Path(spoolbarrow.__file__).parent
WAY = ("serve.py", "reload.py", "subsystems.py", "handover.py", "router.py", "interface.py")
OBSERVERS = {
    "version_monitor",
    "failover",
    "connection_handover",
    "pool_split",
}  # of net/: they come in from above


def imports() -> dict[str, set[str]]:
    """Every module of the program with those of them that it names, at run time or for its types alone."""
    paths = {
        ".".join(path.relative_to(ROOT.parent).with_suffix("").parts).removesuffix(".__init__"): path
        for path in ROOT.rglob("*.py")
    }
    found: dict[str, set[str]] = {name: set() for name in paths}
    for name, path in paths.items():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                whole = [f"{node.module}.{one.name}" for one in node.names]
                found[name] |= {one if one in paths else node.module for one in whole} & paths.keys()
            elif isinstance(node, ast.Import):
                found[name] |= {one.name for one in node.names} & paths.keys()
    return found


def test_no_module_imports_itself_by_way_of_others() -> None:
    order = list(TopologicalSorter(imports()).static_order())  # CycleError names a circle
    errors, host, serve = (order.index(f"spoolbarrow.{name}") for name in ("errors", "net.host", "serve"))
    assert errors < host < serve


def test_what_watches_is_known_to_nobody_it_watches() -> None:
    found = imports()
    observers = {f"spoolbarrow.net.{name}" for name in OBSERVERS}
    inside = {name: its for name, its in found.items() if name.startswith("spoolbarrow.net.")}
    assert {name for name, its in inside.items() if its & observers} == set()
    assert not found["spoolbarrow.net.version_monitor"] & {"spoolbarrow.net.host", "spoolbarrow.net.inbound"}


LONGEST = 400  # lines of a module on the way of a request
# Modules that are longer still, and may not grow: each holds more than one job, to be parted next.
LONGER = {
    "net/host.py": 499,  # the loop, the table of requests, and each action
}
# Statements, and syntax nodes in all, of a module that is bounded whatever its layout; to become a package.
NODES = {"router.py": (689, 10_163)}


def test_no_module_on_the_way_of_a_request_grows_without_being_seen() -> None:
    paths = [*(ROOT / "net").glob("*.py"), *(ROOT / name for name in WAY)]
    texts = {str(path.relative_to(ROOT)): path.read_text() for path in paths}
    lines = {name: len(text.splitlines()) for name, text in texts.items()}
    assert {name: n for name, n in lines.items() if n > LONGER.get(name, LONGEST)}.keys() <= NODES.keys()
    for name, (most_statements, most_nodes) in NODES.items():
        nodes = list(ast.walk(ast.parse(texts[name])))
        assert sum(isinstance(node, ast.stmt) for node in nodes) <= most_statements, name
        assert len(nodes) <= most_nodes, name
    without_need = {name for name in (*LONGER, *NODES) if lines[name] <= LONGEST}
    assert without_need == set(), "no exception is needed any more"
