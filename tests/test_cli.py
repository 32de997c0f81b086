"""The command line and the operator's file, as an operator meets them."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from gevent import socket

from spoolbarrow import __version__, config, operator
from spoolbarrow.cli import COMMANDS, main
from tests.stage import LISTEN, Client, make_config, until

ROOT = Path(__file__).resolve().parent.parent


def written(path: Path, text: str) -> dict[str, str]:
    path.write_text(text)
    return {operator.VARIABLE: str(path)}


def call(*arguments: str) -> tuple[int, str]:
    done = CliRunner().invoke(main, arguments, standalone_mode=False)
    status = done.return_value if isinstance(done.return_value, int) else done.exit_code
    return status, done.output


@pytest.mark.parametrize("name", COMMANDS)
def test_each_command_explains_itself(name: str) -> None:
    status, output = call(name, "--help")
    assert status == 0 and output.startswith("Usage:")
    assert name in call("--help")[1]


def test_version_and_completion() -> None:
    assert __version__ in call("version")[1]
    assert "_SPOOLBARROW_COMPLETE" in call("completion", "bash")[1]


def test_check_prints_every_fault_of_both_files_with_its_key(tmp_path: Path) -> None:
    raw = make_config([], limits={"sockets": "many", "memory_mb": "much"}, options={"odd_ms": 1})
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(raw))
    written(tmp_path / "operator.toml", '[log]\nlevel = "loud"\nsize = 3\n[odd]\n')
    status, output = call(
        "check", "--config", str(tmp_path / "config.json"), "--operator", str(tmp_path / "operator.toml")
    )
    said = [line.partition(": ")[2].partition(":")[0] for line in output.splitlines()]
    assert status == 2
    assert said == ["limits.memory_mb", "limits.sockets", "options.odd_ms", "odd", "log.size", "log.level"]


def test_check_of_sound_files(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(make_config([])))
    status, output = call(
        "check", "--config", str(tmp_path / "config.json"), "--operator", str(ROOT / "deploy/operator.toml")
    )
    assert (status, output) == (0, "no faults\n")


@pytest.mark.parametrize("text", ["[log", "log = 3", '[log]\nlevel = "\xff"', "[log]\nlevel = 1"])
def test_a_faulty_operators_file_is_an_error_of_one_line(text: str, tmp_path: Path) -> None:
    with pytest.raises(config.ConfigError) as fault:
        operator.load(written(tmp_path / "o.toml", text))
    assert str(fault.value).startswith(("SPOOLBARROW_OPERATOR: ", "log")) and "\n" not in str(fault.value)


def test_the_environment_overrides_the_file(tmp_path: Path) -> None:
    environment = written(tmp_path / "o.toml", '[log]\nlevel = "error"\nformat = "text"\n')
    assert operator.load(environment).log == operator.LogTable("error", "text")
    assert operator.load({**environment, "SPOOLBARROW_LOG_LEVEL": "debug"}).log.level == "debug"
    assert operator.load({}) == operator.Operator() and not operator.named({})


def test_serve_takes_flags_loads_no_command_line_and_reads_the_operators_file_again(tmp_path: Path) -> None:
    raw = make_config([])
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(raw))
    file = tmp_path / "operator.toml"
    written(file, '[log]\nlevel = "info"\n')
    run = [sys.executable, "-m", "spoolbarrow", "serve", "--config", str(tmp_path / "config.json")]
    run += ["--operator", str(file), "--log-format", "text"]
    port = int(raw["listen"].rpartition(":")[2])
    with subprocess.Popen(run, cwd=ROOT, stderr=subprocess.PIPE, text=True) as router:
        assert router.stderr is not None
        try:
            until(lambda: not socket.socket().connect_ex((LISTEN, port)))
            while "started" not in (line := router.stderr.readline()):
                assert line
            assert line.split()[1:3] == ["info", "started"] and "name=n0" in line  # as for people
            maps = Path(f"/proc/{router.pid}/cmdline").read_bytes().split(b"\0")
            assert maps[1:3] == [b"-m", b"spoolbarrow"] and b"serve" not in maps
            file.write_text("[log]\nlevel = 3\n")
            router.send_signal(signal.SIGHUP)
            while "reload_failed" not in (line := router.stderr.readline()):
                assert line
            assert "log.level" in line
            assert Client(port).send(b"GET /up HTTP/1.1\r\n\r\n").answer().status == 503
            file.write_text('[log]\nlevel = "warning"\n')
            router.send_signal(signal.SIGHUP)
            router.send_signal(signal.SIGTERM)
            assert "draining" not in router.stderr.read()
            until(lambda: router.poll() is not None)
            assert router.returncode == 0
        finally:
            router.kill()


def test_serving_imports_no_command_line() -> None:
    unwanted = (
        "{'click', 'tomllib', 'spoolbarrow.operator', 'spoolbarrow.failover', 'spoolbarrow.net.failover', "
        "'spoolbarrow.agree', 'spoolbarrow.net.agreement', 'spoolbarrow.fleet', 'spoolbarrow.net.follow'}"
    )
    code = f"import spoolbarrow.serve, sys; print({unwanted} & set(sys.modules))"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.strip() == "set()"
