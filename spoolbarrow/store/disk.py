"""Persistent state of a store member: term, vote, snapshot and log in one SQLite file.

Each `Ready` is saved in one transaction. SQLite (the standard library's) rolls back what a crash left
incomplete and detects damaged pages; with `synchronous=FULL`, each transaction is on disk before `save`
returns. A file of another version or program is refused and left unchanged.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from spoolbarrow.errors import Problem
from spoolbarrow.store.raft import Entry, HardState, Ready, Saved, Snapshot

APPLICATION_ID = 0x5B_A9_20_77  # marks files of this program
VERSION = 1
TABLES = """
create table hard (one integer primary key check (one = 1), term integer, vote text);
create table snapshot (one integer primary key check (one = 1), place integer, term integer, data blob);
create table log (place integer primary key, term integer, data blob);
"""
# A separate table, since files of earlier versions don't have it: their members know no incarnations yet.
INCARNATIONS_TABLE = "create table if not exists lives (name text primary key, life integer)"


class DiskError(Problem):
    """A store member's file can't be used, or no longer; what was saved before is unchanged."""

    status = 2
    where = "the file"
    remedy = "Make room for the file and give this user write access to it, then restart the member."


class DiskDamaged(DiskError):
    """A store member's file is damaged, or can't be opened."""

    remedy = (
        "Restore it from a backup, or move it away and start the member anew, as docs/operators/store.md"
        " describes for a lost member."
    )


class DiskForeign(DiskError):
    """A store member's file belongs to another program or version."""

    remedy = "Give the directory of this member's file, or run the version of the program that wrote it."


class Disk:
    """One member's file; raises DiskError if it is foreign or damaged, or can't be opened."""

    def __init__(self, path: Path, name: str) -> None:
        self.path = path
        is_new = not path.exists()
        try:
            self._file = sqlite3.connect(path, isolation_level=None, timeout=0.0)
            self._file.execute("pragma locking_mode=exclusive")
            self._file.execute("pragma synchronous=full")
            if is_new:
                self._create()
            else:
                self._check()
            self._file.execute(INCARNATIONS_TABLE)
        except sqlite3.Error as error:
            raise DiskDamaged(
                f"{path}: {error}; restore it from a backup, or start {name} without it"
            ) from error

    def _create(self) -> None:
        self._file.executescript(
            f"begin; pragma application_id={APPLICATION_ID}; pragma user_version={VERSION}; {TABLES} commit;"
        )

    def _check(self) -> None:
        application_id = self._file.execute("pragma application_id").fetchone()[0]
        version = self._file.execute("pragma user_version").fetchone()[0]
        if application_id != APPLICATION_ID:
            raise DiskForeign(f"{self.path}: not a file of this program")
        if version != VERSION:
            raise DiskForeign(f"{self.path}: version {version}, this program reads {VERSION}")
        found = self._file.execute("pragma integrity_check(1)").fetchone()[0]
        if found != "ok":
            raise DiskDamaged(f"{self.path}: damaged: {found}; restore it from a backup")

    def load(self) -> Saved:
        """The saved state to start the member from."""
        try:
            hard_state = self._file.execute("select term, vote from hard").fetchone()
            snapshot = self._file.execute("select place, term, data from snapshot").fetchone()
            log = self._file.execute("select place, term, data from log order by place").fetchall()
            incarnations = self._file.execute("select name, life from lives").fetchall()
        except sqlite3.Error as error:
            raise DiskError(f"{self.path}: {error}") from error
        return Saved(
            HardState(*hard_state) if hard_state else HardState(),
            Snapshot(*snapshot) if snapshot else Snapshot(),
            tuple(Entry(*row) for row in log),
            dict(incarnations),
        )

    def save(self, ready: Ready) -> None:
        """Save what must be on disk before messages are sent; after a DiskError, nothing is saved."""
        parts = (ready.hard_state, ready.incarnations, ready.snapshot, ready.truncate_from)
        if all(part is None for part in parts) and not ready.entries:
            return
        run = self._file.execute
        try:
            run("begin immediate")
            if ready.hard_state is not None:
                run("replace into hard values (1, ?, ?)", (ready.hard_state.term, ready.hard_state.vote))
            if ready.incarnations is not None:
                self._file.executemany("replace into lives values (?, ?)", ready.incarnations.items())
            if ready.truncate_from is not None:
                run("delete from log where place >= ?", (ready.truncate_from,))
            if ready.snapshot is not None:
                snapshot = ready.snapshot
                run(
                    "replace into snapshot values (1, ?, ?, ?)",
                    (snapshot.index, snapshot.term, snapshot.data),
                )
                run("delete from log where place <= ?", (snapshot.index,))
            rows = [(entry.index, entry.term, entry.data) for entry in ready.entries]
            self._file.executemany("insert into log values (?, ?, ?)", rows)
            run("commit")
        except sqlite3.Error as error:
            if self._file.in_transaction:
                run("rollback")
            raise DiskError(f"{self.path}: {error}") from error

    def limit_pages(self, pages: int) -> None:
        """Limit the size of the file, in SQLite pages."""
        self._file.execute(f"pragma max_page_count={pages}")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
