"""The log: what is written, and that a blocked reader does not block the program."""

from __future__ import annotations

import os
import select
import threading
from collections.abc import Iterator

import gevent
import orjson
import pytest

from spoolbarrow.net.log import Log
from tests.router_harness import wait_until


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def read_lines(reader: int) -> list[dict[str, object]]:
    return [orjson.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_lines_of_an_enabled_level_are_written_in_order(pipe: tuple[int, int]) -> None:
    log = Log(pipe[1])
    log.configure("warning")
    for event in ("started", "reset", "unexpected"):  # info, warning, error
        log.write(event, {"n": 1})
    assert [(line["event"], line["level"]) for line in read_lines(pipe[0])] == [
        ("reset", "warning"),
        ("unexpected", "error"),
    ]


def test_text_format_keeps_a_value_on_one_line(pipe: tuple[int, int]) -> None:
    log = Log(pipe[1])
    log.configure(format="text")
    log.write("reset", {"why": "two words\nand a line", "endpoint": "e0", "status": 500})
    text = os.read(pipe[0], 4096).decode()
    assert text.endswith(" endpoint=e0 status=500\n") and text.count("\n") == 1
    assert "reset" in text and '"two words\\nand a line"' in text and " warning " in text


def test_a_blocked_reader_loses_lines_that_are_counted(pipe: tuple[int, int]) -> None:
    log = Log(pipe[1], buffer_bytes=20_000)
    log.start()
    wide = "x" * 9000  # longer than one write
    written = 400
    for n in range(written):
        log.write("request", {"n": n, "wide": wide if n % 50 == 0 else ""})
        gevent.sleep(0)  # the writer runs until the pipe is full, and never blocks this loop
    assert log._held <= 20_000
    got = b""
    while b"log_dropped" not in got or not got.endswith(b"\n"):
        if select.select([pipe[0]], [], [], 0)[0]:
            got += os.read(pipe[0], 1 << 16)
        gevent.sleep(0.01)
        log.write("started", {})
    lines = [orjson.loads(line) for line in got.splitlines()]
    kept = [line["n"] for line in lines if line["event"] == "request"]
    (dropped,) = [line["lines"] for line in lines if line["event"] == "log_dropped"]
    assert kept == sorted(kept) and kept[0] == 0
    assert dropped >= written - len(kept) > 0
    log.stop()


def test_buffered_lines_are_written_at_the_end(pipe: tuple[int, int]) -> None:
    log = Log(pipe[1])
    log.start()
    for n in range(3000):  # more than a pipe holds
        log.write("request", {"n": n})
    got: list[bytes] = []

    def read() -> None:
        while not got or not got[-1].endswith(b"end"):
            got.append(os.read(pipe[0], 1 << 16))

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    log.stop()
    os.write(pipe[1], b"end")
    reader.join()
    text = b"".join(got).removesuffix(b"end")
    assert [orjson.loads(line)["n"] for line in text.splitlines()] == list(range(3000))


def test_a_log_without_a_reader_does_not_raise(pipe: tuple[int, int]) -> None:
    reader, writer = os.pipe()
    log = Log(writer)
    os.close(reader)
    log.write("started", {})
    log.start()
    log.write("started", {})
    wait_until(lambda: not log._lines)
    log.stop()
    os.close(writer)
