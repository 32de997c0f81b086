"""JSON objects in a stream of bytes, whole ones and the empty lines between them; pure, no I/O.

An object may span lines, come in any pieces, and ends with its last bracket. What it means is left to others.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from spoolbarrow.net.http1 import HttpError

_MARKS = re.compile(rb'[{}\[\]"\\\n]')
_OPEN, _CLOSE, _QUOTE, _ESCAPE, _LINE = b"{[", b"}]", ord('"'), ord("\\"), ord("\n")


class JsonObjectSplitter:
    """Cuts a stream into messages of at most `most` bytes."""

    def __init__(self, max_bytes: int) -> None:
        self._most = max_bytes
        self._pending = b""  # of what has begun, or of a line without one
        self._depth = self._skip = 0  # brackets open; bytes to come that an escape takes with it
        self._in_text = False
        self._ended = False  # an object ended on this line: its end is no empty line

    def end(self) -> None:
        """The stream has ended: HttpError 502 where it did so inside an object."""
        if self._depth:
            raise HttpError(502, "an object that is torn")

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Each object that is whole now, and b"" for each empty line between objects.

        Then, so that what is whole before it is had, HttpError 502 for what is neither or an object that is too
        long. To be gone through to its end before the next call.
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
                    self._blank(data[start:place])
                    start = place
                self._depth += 1
            elif self._depth:
                if mark == _QUOTE:
                    self._in_text = True
                elif mark in _CLOSE:
                    self._depth -= 1
                    if not self._depth:
                        whole = self._pending + data[start : place + 1]
                        self._guard(len(whole))
                        self._pending, start, self._ended = b"", place + 1, True
                        yield whole
            elif mark == _LINE:
                self._blank(data[start:place])
                empty = not self._ended
                start, self._ended = place + 1, False
                if empty:
                    yield b""
            else:
                raise HttpError(502, "neither an object nor an empty line")
        self._skip = max(0, skip - len(data))
        self._pending += data[start:]
        if not self._depth:
            self._blank(b"")
        self._guard(len(self._pending))

    def _guard(self, size: int) -> None:
        if size > self._most:
            raise HttpError(502, "line too long")

    def _blank(self, rest: bytes) -> None:
        """What lies outside objects says nothing, and is not kept."""
        if (self._pending + rest).strip():
            raise HttpError(502, "neither an object nor an empty line")
        self._pending = b""
