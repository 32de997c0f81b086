"""Limits on the size and layout of the decision module, set by the auditor."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_router_is_within_its_size_and_line_length() -> None:
    nodes = list(ast.walk(ast.parse((ROOT / "spoolbarrow" / "router.py").read_text())))
    assert sum(isinstance(node, ast.stmt) for node in nodes) <= 684 and len(nodes) <= 9_960
    for path in ROOT.glob("spoolbarrow/*.py"):
        assert max(len(line) for line in path.read_text().splitlines() or [""]) <= 110, path


def test_router_names_its_interface_first() -> None:
    assert "interface.py" in (ROOT / "spoolbarrow" / "router.py").read_text().splitlines()[0]
