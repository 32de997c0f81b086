"""Errors that reach an operator each have their own class, an entry on the operators' page, and a remedy.

`python -m tests.test_errors` regenerates the page.
"""

from __future__ import annotations

import ast
import importlib
import pickle
import pkgutil
from collections.abc import Iterator
from pathlib import Path

import pytest

import spoolbarrow
from spoolbarrow.admin.calls import CallFault
from spoolbarrow.config import ConfigError
from spoolbarrow.errors import Problem
from spoolbarrow.net.diagnostics import DIAGNOSTICS, Diagnostic
from spoolbarrow.store.faults import StoreFault

ROOT = Path(spoolbarrow.__file__).parent
PAGE = ROOT.parent / "docs/operators/errors.md"
BARE_ERRORS = {"Exception", "KeyError", "RuntimeError", "TypeError", "ValueError"}
HEAD = """# Errors: for operators

Generated from the code by `python -m tests.test_errors`; do not edit it by hand. An error says what happened,
at which key, file or place, and what you can do: `remedy` in a log line and in a response of the control
listener or of a store member, the second line of a command's output.

"""
TABLES: tuple[tuple[type[Problem], str, str, str], ...] = (
    (Diagnostic, "In the log", "event | level", "Log lines of a request's attempts do not carry the remedy."),
    (
        CallFault,
        "Responses of the control listener",
        "error | HTTP",
        "Also: 409 if files are invalid or can't be adopted, 503 `NoRoom`, 500 `InternalError`, all below.",
    ),
    (StoreFault, "Responses of store members", "error | HTTP", ""),
    (Problem, "Commands and configurations", "error | exit status", "2: invalid input, 1: failure."),
)


def subclasses_of(kind: type[Problem]) -> Iterator[type[Problem]]:
    for error_class in kind.__subclasses__():
        yield error_class
        yield from subclasses_of(error_class)


def all_errors() -> list[type[Problem]]:
    for module in pkgutil.walk_packages([str(ROOT)], "spoolbarrow."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    return sorted(
        set(subclasses_of(Problem)), key=lambda error_class: (error_class.__module__, error_class.__name__)
    )


def format_row(kind: type[Problem]) -> str:
    if issubclass(kind, Diagnostic):
        columns = f"`{kind.event}` | {kind.level}"
    else:
        answers = issubclass(kind, (CallFault, StoreFault))
        columns = f"{kind.__name__} | {getattr(kind, 'answer' if answers else 'status')}"
    meaning = " ".join((kind.__doc__ or "").split("\n\n")[0].split())
    return f"| {columns} | {meaning} | {kind.where or 'none'} | {kind.remedy} |"


def render_page() -> str:
    kinds, text = all_errors(), HEAD
    for base, title, columns, note in TABLES:
        members = [
            error_class
            for error_class in kinds
            if issubclass(error_class, base) and not _is_base(error_class)
        ]
        kinds = [error_class for error_class in kinds if error_class not in members]
        text += f"## {title}\n\n{note}\n\n" if note else f"## {title}\n\n"
        text += f"| {columns} | meaning | place | remedy |\n| --- | --- | --- | --- | --- |\n"
        text += "\n".join(format_row(error_class) for error_class in members) + "\n\n"
    return text.rstrip() + "\n"


def _is_base(kind: type[Problem]) -> bool:
    """Whether a class is only the base of a table's classes."""
    return kind in {base for base, *_ in TABLES}


def test_the_page_matches_the_code() -> None:
    assert PAGE.read_text() == render_page(), "run `python -m tests.test_errors` and read what changed"


@pytest.mark.parametrize("kind", all_errors(), ids=lambda kind: kind.__name__)
def test_each_error_has_a_meaning_and_a_remedy(kind: type[Problem]) -> None:
    assert kind.__doc__ and kind.__doc__.split("\n")[0].endswith(".") and kind.status in (1, 2)
    if not _is_base(kind):
        assert kind.remedy != Problem.remedy and kind.remedy.endswith(".") and "\n" not in kind.remedy
        assert ". " not in kind.remedy and "|" not in kind.remedy  # one sentence, one table cell


def test_no_bare_error_is_raised() -> None:
    raised = [
        f"{path.relative_to(ROOT)}: {node.exc.func.id}"
        for path in ROOT.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Raise)
        and isinstance(node.exc, ast.Call)
        and isinstance(node.exc.func, ast.Name)
        and node.exc.func.id in BARE_ERRORS
    ]
    assert raised == []


def test_each_diagnostic_event_has_one_class() -> None:
    assert len(DIAGNOSTICS) == len(list(subclasses_of(Diagnostic)))  # one event per class
    written = "\n".join(path.read_text() for path in ROOT.rglob("*.py") if path.name != "diagnostics.py")
    assert [event for event in DIAGNOSTICS if f'"{event}"' not in written] == []


def test_an_error_keeps_its_place_and_remedy_when_pickled() -> None:
    error = ConfigError("log.level", "no such level", "Take another.")
    assert str(error) == str(ConfigError("log.level: no such level")) == "log.level: no such level"
    assert ConfigError("log.level: no such level").place == error.place == "log.level"
    unpickled = pickle.loads(pickle.dumps(error))  # as between processes of the lab
    assert (str(unpickled), unpickled.place, unpickled.detail, unpickled.remedy) == (
        "log.level: no such level", "log.level", "no such level", "Take another."
    )  # fmt: skip
    assert ConfigError("no place").place == "" and ConfigError("a: b").remedy == ConfigError.remedy


if __name__ == "__main__":
    PAGE.write_text(render_page())
