"""The test harness: the list service's queue and faults, engines that crash in slow start, store members.

Parts without I/O are given the time; others wait for events."""

from __future__ import annotations

import json
import math
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from socket import create_connection, socket
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow.lab import fault_script
from spoolbarrow.lab.cluster import Cluster, cluster
from spoolbarrow.lab.cold_engine import ColdEngine, ColdEngineParameters
from spoolbarrow.lab.line_commands import CommandFailed
from spoolbarrow.lab.list_service import MAX_KEPT_CHANGES, Call, Queue, Versions
from spoolbarrow.lab.loopback import router_address, router_at
from spoolbarrow.lab.process import Process

LIFE_S, WAIT_S = 60.0, 20.0

# The queue


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(0, 5)), min_size=1, max_size=40),
    st.floats(1.0, 20.0),
    st.floats(0.0, 0.05),
    st.booleans(),
)
def test_calls_are_processed_in_order_at_the_rate_and_fail_at_the_timeout(
    asked: list[tuple[float, int]], rate: float, line_s: float, looked_at_often: bool
) -> None:
    queue, now, calls, found = Queue(rate, line_s, timeout_s=1.0), 0.0, [], []
    for gap, lines in asked:
        now += gap
        if looked_at_often:
            found += queue.advance(now)
        calls.append(Call("r0", now, lines))
        assert queue.enter(now, calls[-1])
    while (due := queue.next_at()) is not None or len(queue):
        now = max(now, due or now)
        found += queue.advance(now)
    assert {id(one.call) for one in found} == {id(call) for call in calls} and len(found) == len(calls)
    served = sorted((one for one in found if one.call.served), key=lambda one: one.at)
    assert [one.call.came for one in served] == sorted(one.call.came for one in served)
    free = 0.0
    for one in served:
        cost = 1 / rate + line_s * one.call.lines
        # never idle with calls waiting, never two at once
        assert one.at == pytest.approx(max(free, one.call.came) + cost)
        assert max(free, one.call.came) - one.call.came < 1.0 + 1e-9
        free = one.at
    for one in found:
        assert one.call.served or one.at == pytest.approx(one.call.came + 1.0)


def test_a_lost_queue_returns_its_calls_and_works_again() -> None:
    queue = Queue(2.0)
    first, second = Call("r0", 0.0), Call("r1", 0.1)
    for call in (first, second):
        queue.enter(call.came, call)
    assert queue.advance(0.2) == [] and queue.lose() == [first, second] and len(queue) == 0
    queue.enter(0.3, third := Call("r2", 0.3))
    (only,) = queue.advance(9.0)
    assert only.call is third and only.at == pytest.approx(0.8)
    assert queue.longest == 2


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.dictionaries(st.sampled_from("abc"), st.integers(0, 3)), min_size=1, max_size=MAX_KEPT_CHANGES + 9
    )
)
def test_changes_since_a_version_lead_from_it_to_the_newest(lists: list[dict[str, int]]) -> None:
    versions = Versions()
    for index, weights in enumerate(lists, 1):
        versions.publish(index, [{"name": name, "weight": weight} for name, weight in weights.items()])
    newest = {name: {"name": name, "weight": weight} for name, weight in lists[-1].items()}
    for index, weights in enumerate(lists, 1):
        whole, lines = versions.since(index)
        had = {} if whole else {name: {"name": name, "weight": weight} for name, weight in weights.items()}
        for line in lines:
            had[line["name"]] = line
        assert {name: line for name, line in had.items() if line.get("status") != "terminated"} == newest
        assert whole == (index < len(lists) - MAX_KEPT_CHANGES)
    assert versions.since(0) == versions.since(len(lists) + 1) == (True, list(newest.values()))


# The service with its sockets


@contextmanager
def service(folder: Path, rate: float = 0.0) -> Iterator[Process]:
    made = Process("-m", "spoolbarrow.lab.list_service", str(LIFE_S), str(rate), "0", "0.3", stdin=True)
    try:
        publish_list(made, folder, 1, 1)
        yield made
    finally:
        made.end()


def publish_list(made: Process, folder: Path, index: int, count: int) -> None:
    lines = [{"name": f"e{n}", "address": f"@:{7000 + n}"} for n in range(count)]
    (folder / "list.json").write_text(json.dumps({"index": index, "endpoints": lines}))
    made.send_command(f"list {folder / 'list.json'}")


def ask(made: Process, router: int, target: str = "/discovery/hosts") -> socket:
    sock = create_connection((router_address(router), int(made.first_output_line())), WAIT_S)
    sock.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    return sock


def receive_until(sock: socket, end: bytes) -> bytes:
    """Data received up to and including `end`."""
    found = b""
    while end not in found:
        data = sock.recv(65_536)
        assert data, found
        found += data
    return found


def until(true: Callable[[], Any], seconds: float = WAIT_S) -> None:
    end = time.monotonic() + seconds
    while not true():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.02)


WATCH = "/discovery/hosts?stream=1&index=%d"


def test_a_watch_sends_changes_unless_muted_and_each_router_gets_its_own_addresses(
    tmp_path: Path,
) -> None:
    with service(tmp_path) as made:
        watches = [ask(made, router, WATCH % index) for router, index in ((0, 0), (300, 1))]
        assert f"{router_address(0)}:7000".encode() in receive_until(watches[0], b"\n\r\n")
        assert b"e0" not in receive_until(watches[1], b"\n\r\n")  # it has that version already
        made.send_command("0 mute")
        publish_list(made, tmp_path, 2, 2)
        received = receive_until(watches[1], b"e1")
        assert f"{router_address(300)}:7001".encode() in received and b'"snapshot": false' in received
        counts = made.send_query("counts")
        assert counts["known"] == {"r0": 1, "r300": 2} and counts["lines"] == {"r0": 1, "r300": 1}
        watches[0].settimeout(0.2)
        with pytest.raises(TimeoutError):
            watches[0].recv(1)
        made.send_command("0 pass")
        watches[0].settimeout(WAIT_S)
        assert b"e1" in receive_until(watches[0], b"\n\r\n")
        publish_list(made, tmp_path, 3, 2)  # a version without changes is sent as such
        receive_until(watches[1], b'"index": 3, "snapshot": false, "endpoints": []')
        for sock in watches:
            sock.close()
        until(lambda: made.send_query("counts")["known"] == {})


def test_calls_beyond_the_rate_get_503_after_the_timeout_and_are_counted_by_router(tmp_path: Path) -> None:
    with service(tmp_path, rate=5.0) as made:  # 0.2 s per call and a timeout of 0.3 s: two of five are served
        socks = [ask(made, router) for router in range(5)]
        codes = [receive_until(sock, b"\r\n\r\n").split()[1] for sock in socks]
        counts = made.send_query("counts")
        assert codes.count(b"200") == 2 and codes.count(b"503") == 3, codes
        assert counts["calls"] == {f"r{n}": 1 for n in range(5)} and sum(counts["failed"].values()) == 3
        assert sum(counts["seconds"]["calls"].values()) == 5 and 3 <= counts["longest"] <= 5
        assert max(counts["seconds"]["queue"].values()) == counts["longest"]


def test_the_services_faults_on_the_wire(tmp_path: Path) -> None:
    with service(tmp_path) as made:
        made.send_command("fail 1")
        assert b"503" in receive_until(ask(made, 0), b"\r\n\r\n")
        made.send_command("fail 0")
        made.send_command("1 half")
        half = ask(made, 1)
        receive_until(half, b'"endpoi')
        made.send_command("2 deaf")
        deaf = ask(made, 2)
        for sock in (half, deaf):
            sock.settimeout(0.2)
            with pytest.raises(TimeoutError):
                sock.recv(1)
        made.send_command("3 cut")
        with pytest.raises(OSError), ask(made, 3) as cut:
            receive_until(cut, b"\r\n")
        watch = ask(made, 0, WATCH % 1)
        receive_until(watch, b"\n\r\n")
        made.send_command("down")
        with pytest.raises(ConnectionResetError):
            receive_until(watch, b"never")
        with pytest.raises(ConnectionRefusedError):
            ask(made, 0)
        made.send_command("up")
        assert b"e0" in receive_until(ask(made, 0), b"e0")
        for line in ("0 loud", "rate fast", "list nowhere", "up now", "r0 pass"):
            with pytest.raises(CommandFailed, match="error"):
                made.send_command(line)


# Engines


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.floats(0.0, 9_999.0), st.floats(1.0, 200.0), st.floats(0.1, 1.0), st.floats(1.0, 4.0))
def test_an_engine_in_slow_start_crashes_exactly_beyond_the_limit_of_rule_4(
    age: float, per_s: float, cold_from: float, factor: float
) -> None:
    figures = ColdEngineParameters(per_s=per_s, cold_from=cold_from, overload_factor=factor)
    n = factor * per_s * (cold_from + (1 - cold_from) * age / 10_000.0) * 2.0
    deviations = 3 if n < 30 else 2  # the stricter limit owed to operators
    most = math.floor(n + deviations * math.sqrt(n) + deviations)
    cold, warm = ColdEngine(figures, 0.0), ColdEngine(figures, 0.0, cold=False)
    assert not any(cold.overloads(age) for _ in range(most))
    assert cold.overloads(age) and not warm.overloads(age)
    assert not ColdEngine(figures, 0.0).overloads(10_000.0, 1e9)  # warm by now
    spread = ColdEngine(figures, 0.0)
    early = max(0.0, age - 4_000.0)
    assert not any(spread.overloads(early) for _ in range(math.floor(spread.tolerated_work(early))))
    # the first ones have left the window
    assert not spread.overloads(early + 2_000.0) or early + 2_000.0 >= 10_000.0


def test_an_engine_processes_in_order_at_its_current_capacity_and_has_a_bounded_queue() -> None:
    cold = ColdEngine(ColdEngineParameters(per_s=10.0, cold_from=0.5, waiting=2), 0.0)
    assert cold.accept(0.0) == pytest.approx(200.0)  # half of ten per second
    assert cold.accept(0.0) == pytest.approx(200.0 + 100.0 / cold.capacity_share(200.0))
    assert cold.accept(0.0) is None and cold.queue_length(250.0) == 1
    assert cold.accept(20_000.0, 3.0) == pytest.approx(20_300.0)


def send(port: int, router: int, sent: int) -> socket:
    sock = create_connection((router_address(router), port), WAIT_S)
    sock.sendall(
        f"POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: r{router}-{sent}\r\n"
        "X-Facts: prompt_len=40\r\nContent-Length: 2\r\n\r\n{}".encode()
    )
    return sock


def test_a_crashed_engine_refuses_until_restarted_and_counts_requests_by_router() -> None:
    figures = msgspec.json.encode(ColdEngineParameters(per_s=1.0, cold_from=0.5, connections=16)).decode()
    made = Process("-m", "spoolbarrow.lab.standin", str(LIFE_S), "1", figures, stdin=True)
    try:
        port = int(made.first_output_line())
        began = float(made.send_command("0 restart"))
        assert abs(began / 1000 - time.time()) < WAIT_S
        with suppress(ConnectionError):  # N = 3: it tolerates 11 at first, 12 once N is 3.43
            for sent in range(20):
                send(port, sent % 3, sent)
        until(lambda: made.send_query("counts")[0]["fallen"])
        with pytest.raises(ConnectionRefusedError):
            create_connection((router_address(0), port), WAIT_S)
        (counts,) = made.send_query("counts")
        work = counts["by_router"]["work"]
        assert counts["falls"] == 1 and 12 <= sum(work.values()) <= 13
        assert work == {router: float(count) for router, count in counts["asked"].items()}
        assert sum(counts["by_router"]["handshakes"].values()) >= sum(work.values())
        assert float(made.send_command("0 restart")) > began
        with send(port, 7, 0) as sock:
            receive_until(sock, b"[DONE]")
        (counts,) = made.send_query("counts")
        assert counts["incarnation"] == 2 and not counts["fallen"] and counts["asked"]["r7"] == 1
        held = [create_connection((router_address(8), port), WAIT_S) for _ in range(18)]
        until(lambda: made.send_query("counts")[0]["refused"] >= 2)  # of 18, as it accepts 16
        assert made.send_query("counts")[0]["connections"] <= 16 and len(held) == 18
    finally:
        made.end()


# Store members


def test_members_are_killed_stopped_cut_off_and_started_with_old_data(tmp_path: Path) -> None:
    with cluster(tmp_path, {"a": 1}, ["a"], members=True) as made:
        members = made.members
        assert members is not None
        members.leader()
        assert members.put("k", b"old") > 0
        until(lambda: all(members.get(n, "k") == "old" for n in range(3)))
        lead = members.leader()
        back = (lead + 1) % 3
        members.kill(back)
        members.save_file_copy(back)
        members.restart(back)
        until(lambda: members.put("k", b"new") > 0 and members.get(back, "k") == "new")
        members.kill(back)
        members.restart(back, old=True)  # entries that it had acknowledged are lost, and must not be counted
        until(lambda: members.get(back, "k") == "new" and members.status(back)["behind"] is False)
        members.kill(lead)
        members.leader({0, 1, 2} - {lead})
        members.restart(lead)
        lost = members.leader()
        members.stop(lost)
        others = [n for n in range(3) if n != lost]
        assert members.leader(others) != lost
        members.wake(lost)
        until(lambda: members.status(lost)["role"] == "follower")
        host, port = made.members.fronts[0][1].rsplit(":", 1) if made.members else ("", "")
        members.fault("reset", members.gates(1, [0]))  # only router 0 does not reach member 1
        with pytest.raises(OSError), create_connection((host, int(port)), WAIT_S) as sock:
            sock.sendall(b"GET /v1/status HTTP/1.1\r\n\r\n")
            receive_until(sock, b"role")
        assert members.status(1)["member"] == "m1"
        members.fault("pass", members.gates(1, [0]))
        with create_connection((host, int(port)), WAIT_S) as sock:
            sock.sendall(b"GET /v1/status HTTP/1.1\r\n\r\n")
            receive_until(sock, b"role")


# Scripts: run in test_fleet_cold.py


def test_the_command_names_the_invalid_argument(capsys: pytest.CaptureFixture[str]) -> None:
    for argv, named in ((["unheard-of"], "unheard-of"), (["calm", "--routers", "0"], "--routers")):
        with pytest.raises(SystemExit) as ended:
            fault_script.main(argv)
        assert ended.value.code == 2 and named in capsys.readouterr().err
    with pytest.raises(CommandFailed, match="known"):
        Cluster(Path(), {"a": 1}, ["a"], "", known="young")
    with pytest.raises(CommandFailed, match="begin"):  # a fault at the start, on running routers
        fault_script.run_script(
            Cluster(Path(), {"a": 1}, ["a"], ""), fault_script.SCRIPTS["third-gone"], begin=False
        )
    assert router_at(router_address(70_000)) == "r70000" and router_at("127.0.0.1") == ""
