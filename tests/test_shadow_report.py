"""Tests the comparison of pairs: known figures, verdicts, spools of several routers."""

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


def make_pairs(number: int, slower: float = 0.0, **copy: Any) -> list[dict[str, Any]]:
    rng, pairs = random.Random(3), []
    for n in range(number):
        first, pace = rng.gauss(100, 10), rng.gauss(10, 1)
        pairs.append(
            {
                "time": n,
                "router": "n0",
                "request": str(n),
                "class": ("a", "b")[n % 2],
                "tenant": "acme",
                "prompt_tokens": 500 if n % 4 else 5000,
                "live": answer(first, pace),
                "copy": answer(first * (1 + slower) + rng.gauss(0, 1), pace, **copy),
            }
        )
    return pairs


def test_an_equal_candidate_is_promoted_and_a_slower_one_held() -> None:
    good = c.report(make_pairs(400), c.Bounds())
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
    slow = c.report(make_pairs(400, slower=0.2), c.Bounds())
    assert slow.verdict == "hold" and any("first event" in reason for reason in slow.reasons)
    low, middle, high = slow.groups[0].first_difference
    assert low < 0.2 < high or middle == pytest.approx(0.2, abs=0.01)
    assert c.report(make_pairs(150), c.Bounds()).verdict == "not enough pairs"
    assert c.report([], c.Bounds()).verdict == "not enough pairs"


def test_failures_different_answers_and_bias_hold_a_candidate() -> None:
    failing = make_pairs(300) + make_pairs(30, outcome="failed", why="deadline", whole=False, times=[])
    report = c.report(failing, c.Bounds())
    assert report.verdict == "hold" and report.failures == {"copy: deadline": 30}
    other = c.report(make_pairs(300, text="one two four"), c.Bounds(agree=0.5))
    assert other.verdict == "hold" and other.groups[0].opening == pytest.approx(2 / 3)
    assert other.groups[0].same == 0.0
    few = c.report(make_pairs(300), c.Bounds(), {"pressure: lag": 900})
    assert few.verdict == "hold" and "75.0%" in few.reasons[0]
    dead = make_pairs(50, outcome="failed", why="gone", whole=False, times=[])
    assert c.report(dead, c.Bounds()).verdict == "hold"  # no complete pair is needed for that


def test_kept_texts_are_compared_by_edit_distance() -> None:
    pairs = make_pairs(2, text="one two four")
    assert c.report(pairs, c.Bounds()).groups[0].edit is None
    for pair in pairs:
        pair["live"]["text"], pair["copy"]["text"] = "abcd", "abXd"
    assert c.report(pairs, c.Bounds()).groups[0].edit == 0.25


def test_the_page_and_the_table_hold_the_figures_and_escape_text() -> None:
    pairs = make_pairs(250)
    pairs[0]["tenant"] = "<script>"
    report = c.report(pairs, c.Bounds())
    page = to_html(report, pairs)
    assert "<script>" not in page and "&lt;script&gt;" in page and page.count("<svg") == 1
    table = to_csv(report).splitlines()
    assert len(table) == 1 + len(report.groups) and table[0].startswith("name,pairs,compared")


def test_the_command_reads_spools_of_several_routers_and_torn_files(tmp_path: Path) -> None:
    pairs = make_pairs(300)
    for n, directory in enumerate(("a", "b")):
        (tmp_path / directory).mkdir()
        spool = Spool(tmp_path / directory, ".pairs.zst", 5)
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
    arguments = ["shadow", "report", str(tmp_path / "a"), str(tmp_path / "b"), "--log", str(log)]
    arguments += ["--html", str(tmp_path / "page.html"), "--csv", str(tmp_path / "table.csv")]
    done = CliRunner().invoke(main, arguments, standalone_mode=False)
    assert done.return_value == 0 and done.output.startswith("promote: 300 pairs")
    assert "requests a second" in (tmp_path / "page.html").read_text()
    (file,) = (tmp_path / "b").iterdir()
    file.write_bytes(file.read_bytes()[:-5])
    done = CliRunner().invoke(main, arguments[:4], standalone_mode=False)
    assert "torn" in done.output and "299 pairs" in done.output and done.return_value == 0
    done = CliRunner().invoke(main, ["shadow", "status", str(log)], standalone_mode=False)
    assert done.return_value == 0 and "not copied, requests a second: 7" in done.output
    log.write_bytes(b"")
    assert CliRunner().invoke(main, ["shadow", "status", str(log)], standalone_mode=False).return_value == 1
