"""Errors that reach an operator: each of a type of its own, each on the operators' page, each with a remedy.

`python -m tests.test_errors` writes the page anew.
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
BARE = {"Exception", "KeyError", "RuntimeError", "TypeError", "ValueError"}
HEAD = """# Errors: for operators

Made from the code by `python -m tests.test_errors`; do not edit it by hand. An error tells what happened, at
which key, file or place, and what you can do: `remedy` in a line of the log and in an answer of the control
listener or of a store member, the second line of a command.

"""
FAMILIES: tuple[tuple[type[Problem], str, str, str], ...] = (
    (Diagnostic, "In the log", "event | level", "Lines of a request's attempts do not carry the remedy."),
    (
        CallFault,
        "Answers of the control listener",
        "error | HTTP",
        "Besides: 409 where files can't be used or adopted, 503 `NoRoom`, 500 `InternalError`, all below.",
    ),
    (StoreFault, "Answers of store members", "error | HTTP", ""),
    (Problem, "Commands and configurations", "error | exit status", "2: faulty, 1: failed."),
)


def below(kind: type[Problem]) -> Iterator[type[Problem]]:
    for one in kind.__subclasses__():
        yield one
        yield from below(one)


def everything() -> list[type[Problem]]:
    for module in pkgutil.walk_packages([str(ROOT)], "spoolbarrow."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    return sorted(set(below(Problem)), key=lambda one: (one.__module__, one.__name__))


def row(kind: type[Problem]) -> str:
    if issubclass(kind, Diagnostic):
        named = f"`{kind.event}` | {kind.level}"
    else:
        answers = issubclass(kind, (CallFault, StoreFault))
        named = f"{kind.__name__} | {getattr(kind, 'answer' if answers else 'status')}"
    meaning = " ".join((kind.__doc__ or "").split("\n\n")[0].split())
    return f"| {named} | {meaning} | {kind.where or 'none'} | {kind.remedy} |"


def page() -> str:
    kinds, text = everything(), HEAD
    for family, title, columns, more in FAMILIES:
        its = [one for one in kinds if issubclass(one, family) and not _heads(one)]
        kinds = [one for one in kinds if one not in its]
        text += f"## {title}\n\n{more}\n\n" if more else f"## {title}\n\n"
        text += f"| {columns} | meaning | place | remedy |\n| --- | --- | --- | --- | --- |\n"
        text += "\n".join(row(one) for one in its) + "\n\n"
    return text.rstrip() + "\n"


def _heads(kind: type[Problem]) -> bool:
    """One that only heads a table."""
    return kind in {family for family, *_ in FAMILIES}


def test_the_page_lists_every_error_as_the_code_has_it() -> None:
    assert PAGE.read_text() == page(), "run `python -m tests.test_errors` and read what changed"


@pytest.mark.parametrize("kind", everything(), ids=lambda kind: kind.__name__)
def test_each_says_what_it_means_and_what_can_be_done(kind: type[Problem]) -> None:
    assert kind.__doc__ and kind.__doc__.split("\n")[0].endswith(".") and kind.status in (1, 2)
    if not _heads(kind):
        assert kind.remedy != Problem.remedy and kind.remedy.endswith(".") and "\n" not in kind.remedy
        assert ". " not in kind.remedy and "|" not in kind.remedy  # one sentence, one cell of a table


def test_no_bare_error_is_raised() -> None:
    bare = [
        f"{path.relative_to(ROOT)}: {node.exc.func.id}"
        for path in ROOT.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Raise)
        and isinstance(node.exc, ast.Call)
        and isinstance(node.exc.func, ast.Name)
        and node.exc.func.id in BARE
    ]
    assert bare == []


def test_what_the_log_calls_trouble_has_one_type_for_each_event() -> None:
    assert len(DIAGNOSTICS) == len(list(below(Diagnostic)))  # each has an event of its own
    written = "\n".join(path.read_text() for path in ROOT.rglob("*.py") if path.name != "diagnostics.py")
    assert [event for event in DIAGNOSTICS if f'"{event}"' not in written] == []


def test_place_and_remedy_travel_with_an_error() -> None:
    told = ConfigError("log.level", "no such level", "Take another.")
    assert str(told) == str(ConfigError("log.level: no such level")) == "log.level: no such level"
    assert ConfigError("log.level: no such level").place == told.place == "log.level"
    again = pickle.loads(pickle.dumps(told))  # as between processes of the lab
    assert (str(again), again.place, again.what, again.remedy) == (
        "log.level: no such level", "log.level", "no such level", "Take another."
    )  # fmt: skip
    assert ConfigError("no place").place == "" and ConfigError("a: b").remedy == ConfigError.remedy


if __name__ == "__main__":
    PAGE.write_text(page())
