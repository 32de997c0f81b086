"""Files that are whole or known not to be: zstd frames, rotated by size and age, the oldest removed.

Owns the directory's file under way. It is written as `NAME.part` and renamed once it is complete and on the
disk. Each write is a frame of its own, so a crash tears the last frame at most, and what is before it can be
read. Leftover parts of an earlier run are renamed `.torn` and kept like the others. Everything here may
block: in the serving process it is called in a thread.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import zstandard

PART, TORN = ".part", ".torn"
MAGIC = b"\x28\xb5\x2f\xfd"  # a zstd frame's first bytes (RFC 8878, section 3.1.1)


class Spool:
    """The files of one directory with one ending; OSError where the disk fails."""

    def __init__(self, directory: Path, ending: str, max_files: int) -> None:
        self._directory, self._ending, self.max_files = directory, ending, max_files
        self._packer = zstandard.ZstdCompressor(level=3)
        self._file: int | None = None
        self._path = directory
        self._count = 0
        self.size_bytes = 0  # bytes of the file under way
        self.opened_ms = 0.0  # Unix time

    @property
    def is_open(self) -> bool:
        """Whether a file is under way."""
        return self._file is not None

    def append(self, data: bytes) -> None:
        """Write one frame, to a new file where none is under way."""
        if self._file is None:
            self._count += 1
            self.opened_ms = time.time() * 1000.0
            stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime(self.opened_ms / 1000))
            self._path = self._directory / f"{stamp}-{os.getpid()}-{self._count:05d}{self._ending}{PART}"
            self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o640)
            self.size_bytes = 0
        frame = self._packer.compress(data)
        while frame:
            done = os.write(self._file, frame)
            self.size_bytes += done
            frame = frame[done:]

    def complete(self) -> None:
        """The file under way is whole: on the disk, and under its name; the oldest over `max_files` go."""
        if self._file is None:
            return
        os.fsync(self._file)
        os.close(self._file)
        self._file = None
        os.rename(self._path, self._path.with_suffix(""))
        endings = (self._ending, self._ending + TORN)
        kept = sorted(path for path in self._directory.iterdir() if path.name.endswith(endings))
        for old in kept[: -self.max_files]:
            old.unlink(missing_ok=True)

    def abandon(self) -> None:
        """Put a file aside that could not be written on."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
            self._path.rename(self._path.with_suffix(TORN))

    def set_aside_leftovers(self) -> None:
        """Put aside what an earlier run left unfinished; another one's that still runs is left alone."""
        for part in self._directory.glob(f"*{self._ending}{PART}"):
            owner = part.name.split("-")[1]
            runs = owner.isdigit() and Path(f"/proc/{owner}").exists() and int(owner) != os.getpid()
            if not runs:
                part.rename(part.with_suffix(TORN))


def read_spool_file(path: Path) -> tuple[bytes, bool]:
    """A file's bytes, unpacked as far as whole frames go, and whether it is torn; plain files as they are."""
    raw = path.read_bytes()
    if not raw.startswith(MAGIC):
        return raw, False
    unpacker, unpacked = zstandard.ZstdDecompressor(), bytearray()
    while raw:
        frame = unpacker.decompressobj()
        try:
            piece = frame.decompress(raw)
        except zstandard.ZstdError:
            return bytes(unpacked), True
        if not frame.eof:
            return bytes(unpacked), True  # what a torn frame held is not trusted to be whole
        unpacked += piece
        raw = frame.unused_data
    return bytes(unpacked), False
