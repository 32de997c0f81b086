"""Tests experiments: no run is repeated or lost after a kill, comparisons are paired, charts show results."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from spoolbarrow import router
from spoolbarrow.cli import run
from spoolbarrow.lab import charts
from spoolbarrow.lab.compare import compare
from spoolbarrow.lab.experiment import ResultTable, jobs, read_experiment, run_experiment, run_job
from spoolbarrow.lab.scenario import ScenarioError

SCENARIO = """
name = "tiny"
length_s = 3.0
engines = 3
[classes.ask]
aim_ms = 1000.0
deadline_ms = 4000.0
[[troubles]]
name = "hang"
begin_s = 1.0
length_s = 1.0
"""
EXPERIMENT = """
name = "pairs"
scenarios = ["tiny.toml"]
seeds = [1, 2, 3, 4, 5]
policies = ["random", "oracle"]
[grid]
"load.per_engine" = [2.0, 6.0]
"""


@pytest.fixture
def place(tmp_path: Path) -> Path:
    (tmp_path / "tiny.toml").write_text(SCENARIO)
    (tmp_path / "pairs.toml").write_text(EXPERIMENT)
    return tmp_path


def run_all(place: Path) -> Path:
    """Execute all runs in this process."""
    table = ResultTable(place / "out")
    for job in jobs(read_experiment(place / "pairs.toml"), place):
        table.append(run_job(job))
    return place / "out"


def test_a_kill_loses_nothing_and_nothing_runs_twice(place: Path) -> None:
    found = read_experiment(place / "pairs.toml")
    table = ResultTable(place / "out")
    some = list(jobs(found, place))[:7]
    for job in some:
        table.append(run_job(job))
    with table.journal.open("ab") as journal:
        journal.write(b'{"key":"torn')  # killed in the middle of a line
    progress: list[tuple[int, int]] = []
    assert run_experiment(found, place, place / "out", 1, lambda done, of: progress.append((done, of))) == 13
    assert progress[0] == (7, 20) and progress[-1] == (20, 20)
    assert not table.journal.exists() and len(table.rows()) == 20
    assert run_experiment(found, place, place / "out", 1, lambda done, of: None) == 0


def test_each_constant_value_is_a_run_of_its_own(place: Path) -> None:
    default = router.PREFILL_TOKENS_PER_MS
    (place / "pairs.toml").write_text(
        'name = "c"\nscenarios = ["tiny.toml"]\nseeds = [1]\n[constants]\nREAD_RATE = [12.0, 3.0]\n'
    )
    rows = [run_job(job) for job in jobs(read_experiment(place / "pairs.toml"), place)]
    assert len({row["key"] for row in rows}) == 2 and default == router.PREFILL_TOKENS_PER_MS
    assert [orjson.loads(row["constants"])["READ_RATE"] for row in rows] == [12.0, 3.0]


@pytest.mark.parametrize(
    "line, key",
    [("policies = ['none']", "policies"), ("[constants]\nNONE = [1.0]", "constants"), ("odd = 1", "odd")],
)
def test_an_invalid_experiment_names_the_key(place: Path, line: str, key: str) -> None:
    (place / "bad.toml").write_text(f'name = "b"\nscenarios = ["tiny.toml"]\n{line}\n')
    with pytest.raises(ScenarioError, match=key):
        read_experiment(place / "bad.toml")


def test_comparisons_are_paired(place: Path) -> None:
    out = run_all(place)
    found = compare(f"{out}:policy=random", f"{out}:policy=oracle", "worth")
    assert found.pairs == 10 and found.low <= found.difference <= found.high
    assert found.difference == pytest.approx(found.of_b - found.of_a)
    same = compare(str(out), str(out), "worth")
    assert same.pairs == 20 and same.verdict == "no difference shown"
    few = compare(f"{out}:seed=1,policy=random", f"{out}:seed=1,policy=oracle", "worth")
    assert few.verdict.startswith("not enough pairs")
    with pytest.raises(ScenarioError, match="nobody"):
        compare(f"{out}:policy=nobody", str(out), "worth")


def test_less_is_better_for_latencies(place: Path) -> None:
    table = ResultTable(place / "out")
    for seed in range(6):
        for policy, late in (("a", 100.0), ("b", 150.0)):
            table.append(
                {"key": f"{seed}{policy}", "scenario": "s", "settings": "", "constants": "", "policy": policy,
                 "seed": seed, "first_token_ms_p50": late + seed, "worth": late}
            )  # fmt: skip
    a, b = f"{place / 'out'}:policy=a", f"{place / 'out'}:policy=b"
    assert compare(a, b, "first_token_ms_p50").verdict == "B is worse"
    assert compare(a, b, "worth").verdict == "B is better"


def test_charts_show_faults_and_are_reproducible(place: Path) -> None:
    rows = ResultTable(run_all(place)).rows()
    one, other = charts.charts(rows), charts.charts(rows)
    assert one == other and "timeline-tiny-oracle" in one and "worth-against-per_engine" in one
    assert "hang" in one["timeline-tiny-random"]
    page = charts.write(rows, place / "page", "a & b")[-1].read_text()
    assert "a &amp; b" in page and page.count("<svg") == len(one)


def test_the_commands_print_their_results(place: Path, capsys: pytest.CaptureFixture[str]) -> None:
    out = str(run_all(place))
    assert run(["lab", "compare", f"{out}:policy=oracle", f"{out}:policy=random"]) in (0, 1)
    assert "10 pairs" in capsys.readouterr().out
    assert run(["lab", "compare", out, f"{out}:colour=red"]) == 2
    assert run(["lab", "simulate", str(place / "tiny.toml"), "--policy", "none"]) == 2
    assert run(["lab", "simulate", str(place / "tiny.toml"), "--set", "engines=0"]) == 2
    assert "engines" in capsys.readouterr().err
    assert run(["lab", "run", str(place / "tiny.toml"), "--set", "engines=2"]) == 0
    assert "worth" in capsys.readouterr().out
