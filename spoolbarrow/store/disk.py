"""A member's disk: term, vote, snapshot and log in one SQLite file, each `Ready` in one transaction.

SQLite (the standard library's) cuts what a crash tore off and tells a page that is damaged;
`synchronous=FULL` has each transaction on disk before `save` returns. A file of another version or program is
refused as it is.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from spoolbarrow.errors import Problem
from spoolbarrow.store.raft import Entry, HardState, Ready, Saved, Snapshot

APPLICATION = 0x5B_A9_20_77  # marks files of this program
VERSION = 1
TABLES = """
create table hard (one integer primary key check (one = 1), term integer, vote text);
create table snapshot (one integer primary key check (one = 1), place integer, term integer, data blob);
create table log (place integer primary key, term integer, data blob);
"""
# Apart, since files written before lives were kept have none of it: such a member has known of no life yet.
LIVES = "create table if not exists lives (name text primary key, life integer)"


class DiskError(Problem):
    """A store member's file can't be used, or not any more: what was saved before stays as it is."""

    status = 2
    where = "the file"
    remedy = "Make room for the file and let this user write it, then start the member again."


class DiskDamaged(DiskError):
    """A store member's file is damaged, or can't be opened."""

    remedy = (
        "Restore it from a backup, or move it away and start the member anew, as docs/operators/store.md says"
        " for a member that is lost."
    )


class DiskForeign(DiskError):
    """A store member's file is of another program or version."""

    remedy = "Name the directory of this member's file, or run the version of the program that wrote it."


class Disk:
    """One member's file; DiskError where it is foreign, damaged, or can't be opened."""

    def __init__(self, path: Path, name: str) -> None:
        self.path = path
        fresh = not path.exists()
        try:
            self._file = sqlite3.connect(path, isolation_level=None, timeout=0.0)
            self._file.execute("pragma locking_mode=exclusive")
            self._file.execute("pragma synchronous=full")
            if fresh:
                self._begin()
            else:
                self._check()
            self._file.execute(LIVES)
        except sqlite3.Error as error:
            raise DiskDamaged(f"{path}: {error}; restore it from a backup, or begin {name} anew") from error

    def _begin(self) -> None:
        self._file.executescript(
            f"begin; pragma application_id={APPLICATION}; pragma user_version={VERSION}; {TABLES} commit;"
        )

    def _check(self) -> None:
        mark = self._file.execute("pragma application_id").fetchone()[0]
        version = self._file.execute("pragma user_version").fetchone()[0]
        if mark != APPLICATION:
            raise DiskForeign(f"{self.path}: not a file of this program")
        if version != VERSION:
            raise DiskForeign(f"{self.path}: version {version}, this program reads {VERSION}")
        found = self._file.execute("pragma integrity_check(1)").fetchone()[0]
        if found != "ok":
            raise DiskDamaged(f"{self.path}: damaged: {found}; restore it from a backup")

    def load(self) -> Saved:
        """What a member begins from."""
        try:
            hard = self._file.execute("select term, vote from hard").fetchone()
            snapshot = self._file.execute("select place, term, data from snapshot").fetchone()
            log = self._file.execute("select place, term, data from log order by place").fetchall()
            lives = self._file.execute("select name, life from lives").fetchall()
        except sqlite3.Error as error:
            raise DiskError(f"{self.path}: {error}") from error
        return Saved(
            HardState(*hard) if hard else HardState(),
            Snapshot(*snapshot) if snapshot else Snapshot(),
            tuple(Entry(*row) for row in log),
            dict(lives),
        )

    def save(self, ready: Ready) -> None:
        """All that must be on disk before its messages leave; DiskError, and nothing of it is saved."""
        written = (ready.hard_state, ready.incarnations, ready.snapshot, ready.truncate_from)
        if all(part is None for part in written) and not ready.entries:
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
                its = ready.snapshot
                run("replace into snapshot values (1, ?, ?, ?)", (its.index, its.term, its.data))
                run("delete from log where place <= ?", (its.index,))
            rows = [(entry.index, entry.term, entry.data) for entry in ready.entries]
            self._file.executemany("insert into log values (?, ?, ?)", rows)
            run("commit")
        except sqlite3.Error as error:
            if self._file.in_transaction:
                run("rollback")
            raise DiskError(f"{self.path}: {error}") from error

    def allow(self, pages: int) -> None:
        """Let the file grow to so many pages at most."""
        self._file.execute(f"pragma max_page_count={pages}")

    def close(self) -> None:
        """End."""
        self._file.close()
