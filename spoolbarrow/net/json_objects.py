"""Splits a byte stream into JSON objects and the empty lines between them; performs no I/O.

An object may span lines, arrives in pieces of any size and ends with its closing bracket. It is not decoded.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from spoolbarrow.net.http1 import HttpError

_MARKS = re.compile(rb'[{}\[\]"\\\n]')
_OPEN, _CLOSE, _QUOTE, _ESCAPE, _LINE = b"{[", b"}]", ord('"'), ord("\\"), ord("\n")


class JsonObjectSplitter:
    """Splits a stream into JSON objects of at most `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._pending = b""  # of an unfinished object, or of a line without an object
        self._depth = self._skip = 0  # open brackets; bytes to skip in the next data because of an escape
        self._in_text = False
        self._ended = False  # an object ended on this line, so its line end is no empty line

    def end(self) -> None:
        """Handle the end of the stream; HttpError 502 if it is inside an object."""
        if self._depth:
            raise HttpError(502, "an object that is torn")

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each complete object, and b"" for each empty line between objects.

        Raises HttpError 502 for other data or too long an object, after yielding what is complete before it.
        The iterator must be exhausted before the next call.
        """
        start = 0
        skip, self._skip = self._skip, 0
        for match in _MARKS.finditer(data):
            place = match.start()
            if place < skip:
                continue
            mark = data[place]
            if self._in_text:
                if mark == _ESCAPE:
                    skip = place + 2
                elif mark == _QUOTE:
                    self._in_text = False
            elif mark in _OPEN:
                if not self._depth:
                    self._require_blank(data[start:place])
                    start = place
                self._depth += 1
            elif self._depth:
                if mark == _QUOTE:
                    self._in_text = True
                elif mark in _CLOSE:
                    self._depth -= 1
                    if not self._depth:
                        found = self._pending + data[start : place + 1]
                        self._check_size(len(found))
                        self._pending, start, self._ended = b"", place + 1, True
                        yield found
            elif mark == _LINE:
                self._require_blank(data[start:place])
                empty = not self._ended
                start, self._ended = place + 1, False
                if empty:
                    yield b""
            else:
                raise HttpError(502, "neither an object nor an empty line")
        self._skip = max(0, skip - len(data))
        self._pending += data[start:]
        if not self._depth:
            self._require_blank(b"")
        self._check_size(len(self._pending))

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes:
            raise HttpError(502, "line too long")

    def _require_blank(self, rest: bytes) -> None:
        """Discard blanks outside objects; HttpError 502 for anything else."""
        if (self._pending + rest).strip():
            raise HttpError(502, "neither an object nor an empty line")
        self._pending = b""
