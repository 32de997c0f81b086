"""Comparing pairs: figures that are known beforehand, verdicts, spools of several routers."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from spoolbarrow.cli import main
from spoolbarrow.shadow import compare as c
from spoolbarrow.shadow.answer_recorder import digest_chain
from spoolbarrow.shadow.render import to_csv, to_html
from spoolbarrow.spool import Spool

KEY = b"k" * 16


def answer(first: float, pace: float, text: str = "one two three", **changes: Any) -> dict[str, Any]:
    times = [first + pace * n for n in range(4)]
    return {
        "outcome": "served",
        "engine": "e",
        "times": times,
        "events": 4,
        "tokens": 4,
        "prompt_tokens": 9,
        "finish": "stop",
        "whole": True,
        "octets": 50,
        "length": len(text),
        "cut": False,
        "words": digest_chain(KEY, text),
        **changes,
    }


def made(number: int, slower: float = 0.0, **copy: Any) -> list[dict[str, Any]]:
    luck, found = random.Random(3), []
    for n in range(number):
        first, pace = luck.gauss(100, 10), luck.gauss(10, 1)
        found.append(
            {
                "time": n,
                "router": "n0",
                "request": str(n),
                "class": ("a", "b")[n % 2],
                "tenant": "acme",
                "prompt_tokens": 500 if n % 4 else 5000,
                "live": answer(first, pace),
                "copy": answer(first * (1 + slower) + luck.gauss(0, 1), pace, **copy),
            }
        )
    return found


def test_a_candidate_that_is_as_good_is_promoted_and_a_slower_one_held() -> None:
    good = c.report(made(400), c.Bounds())
    assert (good.verdict, good.reasons) == ("promote", [])
    everyone = good.groups[0]
    assert everyone.same == everyone.opening == everyone.finish_agree == everyone.length_ratio == 1.0
    assert abs(everyone.first_difference[1]) < 0.01
    assert everyone.live.first_ms["p50"] == pytest.approx(100, rel=0.02)
    assert {g.name for g in good.groups} == {
        "all",
        "class a",
        "class b",
        "tenant acme",
        "under 1000 tokens",
        "under 8000 tokens",
    }
    slow = c.report(made(400, slower=0.2), c.Bounds())
    assert slow.verdict == "hold" and any("first event" in reason for reason in slow.reasons)
    low, middle, high = slow.groups[0].first_difference
    assert low < 0.2 < high or middle == pytest.approx(0.2, abs=0.01)
    assert c.report(made(150), c.Bounds()).verdict == "not enough pairs"
    assert c.report([], c.Bounds()).verdict == "not enough pairs"


def test_failures_other_words_and_bias_hold_a_candidate() -> None:
    failing = made(300) + made(30, outcome="failed", why="deadline", whole=False, times=[])
    found = c.report(failing, c.Bounds())
    assert found.verdict == "hold" and found.failures == {"copy: deadline": 30}
    other = c.report(made(300, text="one two four"), c.Bounds(agree=0.5))
    assert other.verdict == "hold" and other.groups[0].opening == pytest.approx(2 / 3)
    assert other.groups[0].same == 0.0
    few = c.report(made(300), c.Bounds(), {"pressure: lag": 900})
    assert few.verdict == "hold" and "75.0%" in few.reasons[0]
    dead = made(50, outcome="failed", why="gone", whole=False, times=[])
    assert c.report(dead, c.Bounds()).verdict == "hold"  # no pair is needed to see that


def test_texts_are_compared_letter_by_letter_where_they_are_kept() -> None:
    pairs = made(2, text="one two four")
    assert c.report(pairs, c.Bounds()).groups[0].edit is None
    for pair in pairs:
        pair["live"]["text"], pair["copy"]["text"] = "abcd", "abXd"
    assert c.report(pairs, c.Bounds()).groups[0].edit == 0.25


def test_a_page_and_a_table_hold_the_figures_and_nothing_unescaped() -> None:
    pairs = made(250)
    pairs[0]["tenant"] = "<script>"
    found = c.report(pairs, c.Bounds())
    page = to_html(found, pairs)
    assert "<script>" not in page and "&lt;script&gt;" in page and page.count("<svg") == 1
    table = to_csv(found).splitlines()
    assert len(table) == 1 + len(found.groups) and table[0].startswith("name,pairs,compared")


def test_the_command_reads_spools_of_several_routers_and_torn_ones(tmp_path: Path) -> None:
    pairs = made(300)
    for n, place in enumerate(("a", "b")):
        (tmp_path / place).mkdir()
        spool = Spool(tmp_path / place, ".pairs.zst", 5)
        for pair in pairs[n::2]:
            spool.append(orjson.dumps(pair) + b"\n")
        spool.complete()
    log = tmp_path / "log"
    log.write_bytes(
        orjson.dumps(
            {
                "event": "shadow_counts",
                "copied": 300,
                "pairs": 300,
                "pairs_dropped": 0,
                "out": 0,
                "allowance": 1.0,
                "breaker": "closed",
                "dropped": {"requests a second": 7},
            }
        )
        + b'\n{"event":"shadow_counts"'
    )
    words = ["shadow", "report", str(tmp_path / "a"), str(tmp_path / "b"), "--log", str(log)]
    words += ["--html", str(tmp_path / "page.html"), "--csv", str(tmp_path / "table.csv")]
    done = CliRunner().invoke(main, words, standalone_mode=False)
    assert done.return_value == 0 and done.output.startswith("promote: 300 pairs")
    assert "requests a second" in (tmp_path / "page.html").read_text()
    (file,) = (tmp_path / "b").iterdir()
    file.write_bytes(file.read_bytes()[:-5])
    done = CliRunner().invoke(main, words[:4], standalone_mode=False)
    assert "torn" in done.output and "299 pairs" in done.output and done.return_value == 0
    done = CliRunner().invoke(main, ["shadow", "status", str(log)], standalone_mode=False)
    assert done.return_value == 0 and "not copied, requests a second: 7" in done.output
    log.write_bytes(b"")
    assert CliRunner().invoke(main, ["shadow", "status", str(log)], standalone_mode=False).return_value == 1
