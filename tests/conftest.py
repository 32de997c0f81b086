"""Tests that are known to be red: `KNOWN-RED.txt` at the repository's root, three lines at most, or no file.

A line is `TEST_ID | cause | issue`. Such a test is run, may fail, and is printed with its line at the end of
every run. Whatever else the file says fails the run: a line of another form, a fourth one, an id that no test
has, and a test that passes: its line is to go.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE, MOST = "KNOWN-RED.txt", 3
FORM = "TEST_ID | cause | issue"
KNOWN = pytest.StashKey[dict[str, str]]()


def read(text: str) -> dict[str, str]:
    """Each line by its test's id; pytest.UsageError where one can't be used."""
    known: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.rsplit(" | ", 2)]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise pytest.UsageError(f"{FILE}: line {number} is not `{FORM}`: {line!r}")
        if parts[0] in known:
            raise pytest.UsageError(f"{FILE}: line {number} names {parts[0]} again")
        known[parts[0]] = line.strip()
    if len(known) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(known)} lines, {MOST} are allowed: mend one first")
    return known


def pytest_configure(config: pytest.Config) -> None:
    file = config.rootpath / FILE
    config.stash[KNOWN] = read(file.read_text()) if file.exists() else {}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Before any are deselected: a listed test that should be among them and is not has no such id."""
    items_by_id = {item.nodeid: item for item in items}
    for name, line in config.stash[KNOWN].items():
        item = items_by_id.get(name)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{FILE}: {line}", strict=True))
        elif _collected(config, config.rootpath / name.partition("::")[0]):
            raise pytest.UsageError(f"{FILE}: no test has the id {name}")


def _collected(config: pytest.Config, file: Path) -> bool:
    """Whether all of a file's tests were asked for, or there is no such file."""
    asked = [config.invocation_params.dir / arg for arg in config.args if "::" not in arg]
    return not file.exists() or any(one == file or one in file.parents for one in asked)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    known = config.stash[KNOWN]
    if known:
        terminalreporter.section(f"known to be red ({FILE})")
        for line in known.values():
            terminalreporter.write_line(line)
