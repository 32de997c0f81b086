"""Writes files of zstd frames that survive a crash, rotates them by size and age, and removes the oldest.

Owns the current file of a directory. It is written as `NAME.part` and renamed once it is complete and synced.
Each write is a frame of its own, so a crash damages at most the last frame, and those before it can be read.
Unfinished files of an earlier run are renamed to `.torn` and kept like the others. Everything here may block:
the serving process calls it in a thread.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import zstandard

PART_SUFFIX, TORN_SUFFIX = ".part", ".torn"
ZSTD_MAGIC = b"\x28\xb5\x2f\xfd"  # first bytes of a zstd frame (RFC 8878, section 3.1.1)


class Spool:
    """The files of one directory with one suffix; raises OSError if the disk fails."""

    def __init__(self, directory: Path, suffix: str, max_files: int) -> None:
        self._directory, self._suffix, self.max_files = directory, suffix, max_files
        self._compressor = zstandard.ZstdCompressor(level=3)
        self._file: int | None = None
        self._path = directory
        self._count = 0
        self.size_bytes = 0  # of the current file
        self.opened_ms = 0.0  # Unix time

    @property
    def is_open(self) -> bool:
        """Whether there is a current file."""
        return self._file is not None

    def append(self, data: bytes) -> None:
        """Write one frame, to a new file if there is none."""
        if self._file is None:
            self._count += 1
            self.opened_ms = time.time() * 1000.0
            timestamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime(self.opened_ms / 1000))
            self._path = (
                self._directory / f"{timestamp}-{os.getpid()}-{self._count:05d}{self._suffix}{PART_SUFFIX}"
            )
            self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o640)
            self.size_bytes = 0
        frame = self._compressor.compress(data)
        while frame:
            written = os.write(self._file, frame)
            self.size_bytes += written
            frame = frame[written:]

    def complete(self) -> None:
        """Sync and rename the current file; the oldest files beyond `max_files` are removed."""
        if self._file is None:
            return
        os.fsync(self._file)
        os.close(self._file)
        self._file = None
        os.rename(self._path, self._path.with_suffix(""))
        suffixes = (self._suffix, self._suffix + TORN_SUFFIX)
        files = sorted(path for path in self._directory.iterdir() if path.name.endswith(suffixes))
        for old in files[: -self.max_files]:
            old.unlink(missing_ok=True)

    def abandon(self) -> None:
        """Set aside the current file after a failed write."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
            self._path.rename(self._path.with_suffix(TORN_SUFFIX))

    def set_aside_leftovers(self) -> None:
        """Set aside unfinished files of earlier runs, but not those of a process that is still running."""
        for part in self._directory.glob(f"*{self._suffix}{PART_SUFFIX}"):
            owner = part.name.split("-")[1]
            is_running = owner.isdigit() and Path(f"/proc/{owner}").exists() and int(owner) != os.getpid()
            if not is_running:
                part.rename(part.with_suffix(TORN_SUFFIX))


def read_spool_file(path: Path) -> tuple[bytes, bool]:
    """Decompress a file up to its last whole frame; also returns whether it is torn.

    A file without zstd frames is returned as it is.
    """
    raw = path.read_bytes()
    if not raw.startswith(ZSTD_MAGIC):
        return raw, False
    decompressor, content = zstandard.ZstdDecompressor(), bytearray()
    while raw:
        frame = decompressor.decompressobj()
        try:
            chunk = frame.decompress(raw)
        except zstandard.ZstdError:
            return bytes(content), True
        if not frame.eof:
            return bytes(content), True  # the contents of a torn frame may be incomplete
        content += chunk
        raw = frame.unused_data
    return bytes(content), False
