"""The pool split reported by five routers that follow three store members, with faults between them.

All cases share one set of processes, in this order: the traffic changes, and a split is decided; then each
case names its fault and its bound, and ends when all routers agree again. One router receives only long
prompts, one only short ones, the others both. Stand-in engines take as long as each request says, so that the
late requests are known. Leases live TTL_S / 2, decisions TTL_S without updates, summaries count for 1.05 s; a
decision is made every 2 s. Bounds are several times what an idle machine needs, since it may be busy. In all
cases all routers report one split or none, and at the end each request has its response, except those at a
router that a case killed or stopped.
"""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from math import nan
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest

from spoolbarrow import interface as i
from spoolbarrow.config import ListEntry
from spoolbarrow.fleet.documents import EVIDENCE_PREFIX, Summary, encode_document
from spoolbarrow.lab.cluster import Answer, Load, send_request
from spoolbarrow.lab.store_following_cluster import StoreFollowingCluster, document_path, poll_until
from spoolbarrow.lab.store_members import request_member
from spoolbarrow.net import pool_split
from spoolbarrow.net.http1 import HttpError, Message
from spoolbarrow.net.observers import Observers
from spoolbarrow.net.request import Attempt, Request
from spoolbarrow.operator import FleetTable, fleet_faults
from spoolbarrow.pools import sketch
from spoolbarrow.pools.traffic_stats import TrafficRecorder, decode_summary
from tests.test_fleet_store import Members

ALL = range(5)
ENGINES = 6
KIND = "pools"
TTL_S = 3.0
SPLIT_S = 40.0  # after a traffic change: 60 requests weighted by age, 12 s to forget, a decision, slack
TAKEOVER_S = 20.0  # lost lease holder: TTL_S, calls to three members, an evidence age, a decision, slack
FALLBACK_S = 15.0  # for a router without updates to report no split
ENGINE_LOSS_S = 15.0  # after an engine has left the list: two decisions, and slack
TOKENS, READ_US, STEP_MS, SLOW_MS = 2400, 81.0, 31.0, 45.0  # a third of the streams is slow, thus late
# per router: r for prefill-heavy clients, w for decode-heavy ones
CLIENTS = ("rrrr", "wwwwww", "rrwww", "rrwww", "rrwww")
REQUEST_INTERVAL_S = {"r": 1.4, "w": 2.8}  # between a client's requests
OPERATOR = f"""
[agree]
revision = 1
period_ms = 50
[fleet]
parts = ["{KIND}"]
ttl_s = {TTL_S}
period_ms = 100
evidence_ms = 300
call_ms = 800
"""
SETTINGS = {
    "Classes": [
        {"Name": "r", "AimMs": 2500.0, "DeadlineMs": 8000.0, "Effect": "retryable", "Stream": True},
        {"Name": "w", "AimMs": 600.0, "DeadlineMs": 8000.0, "Effect": "retryable", "Stream": True},
    ],
    "Specifics": {"TokenAimMs": [0.0, 40.0]},
}


class MixedLoad(Load):
    """Prefill-heavy and decode-heavy clients; prompts of the former are `longer` times as long."""

    def __init__(self, made: Fleet) -> None:
        self.longer = 1
        super().__init__(made, clients=max(map(len, CLIENTS)))

    def _send_requests(self, port: int, router: int, client: int) -> None:
        if client >= len(CLIENTS[router]):
            return
        kind = CLIENTS[router][client]
        due = time.monotonic() + REQUEST_INTERVAL_S[kind] * ((5 * client + router) * 0.618 % 1.0)
        for sent in range(10_000):
            if self._stop.wait(max(0.0, due - time.monotonic())):
                return
            due = max(due + REQUEST_INTERVAL_S[kind], time.monotonic() - REQUEST_INTERVAL_S[kind])
            spread = 0.6 + 0.8 * (sent * 0.618 % 1.0)
            prompt = round(spread * (TOKENS * self.longer if kind == "r" else 175))
            answer, pace = (8, STEP_MS) if kind == "r" else (60, STEP_MS if (sent + client) % 3 else SLOW_MS)
            text = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\n"
                f"X-Correlation-Id: r{router}-{client}-{sent}\r\nX-Service-Class: {kind}\r\n"
                f"X-Account: acme\r\nX-Session-Key: {router:04x}{client:04x}{sent:x}\r\n"
                f"X-Time-Left-Ms: 8000\r\nX-Facts: prompt_len={prompt},max_out={answer},"
                f"lab_first={prompt * READ_US / 1000.0:g},lab_pace={pace:g}\r\n"
                f"Content-Length: 2\r\nConnection: close\r\n\r\n{{}}"
            ).encode()
            begun = time.monotonic()
            try:
                status, _ = send_request(port, text, 20.0)
            except (OSError, HttpError):
                status = 0
            now = time.monotonic()
            self.answers.append(Answer(now, router, status, (now - begun) * 1000))


class Fleet(StoreFollowingCluster):
    """Five routers, six engines and three store members."""

    def __init__(self, folder: Path) -> None:
        self.store = Members(folder)
        super().__init__(folder, ENGINES, 5, OPERATOR, self.store.controls, TAKEOVER_S, settings=SETTINGS)
        self.processes += [*self.store.processes, self.store.proxy]

    def part_report(self, number: int) -> dict[str, Any]:
        """A router's report of the part, with the decision that it acts on."""
        versions = self.control(number, "versions")
        part: dict[str, Any] = versions["fleet"]["parts"][KIND]
        acts = versions["versions"].get(f"fleet/{KIND}")
        return part | {"acts": acts and (acts["number"], acts["digest"])}

    def readers(self, number: int) -> list[str]:
        """The engines that a router reports for prefill; none without a split."""
        split = self.part_report(number)["split"]
        return split["readers"] if split is not None else []

    def wait_one(self, routers: Iterable[int] = ALL, seconds: float = TAKEOVER_S, **wanted: Any) -> list[str]:
        """Wait until these routers report the same decision, of at least `epoch`; its prefill engines.

        `split`: whether it must have a split; `without`: an engine that it must not name.
        """

        def one() -> list[dict[str, Any]] | None:
            reports = [self.part_report(n) for n in routers]
            first = reports[0]
            same = all((t["acts"], t["split"], t["why"]) == (first["acts"], first["split"], first["why"])
                       for t in reports)  # fmt: skip
            readers = first["split"]["readers"] if first["split"] is not None else []
            right = (
                first["acts"] is not None
                and first["epoch"] >= wanted.get("epoch", 0)
                and wanted.get("split", bool(readers)) is bool(readers)
                and wanted.get("without", "") not in readers
            )
            return reports if same and right else None

        try:
            split = poll_until(one, seconds)[0]["split"]
        except TimeoutError:
            raise AssertionError("\n".join(str(self.part_report(n)) for n in routers)) from None
        return split["readers"] if split is not None else []

    def decisions(self, number: int) -> int:
        """Number of decisions that a router has made."""
        decided = self.part_report(number)["decided"]
        return decided["number"] if decided is not None else 0

    def write_summary(self, router: str, sequence: int, body: bytes) -> None:
        """Write a summary directly."""
        text = encode_document(Summary(router, "by-hand", sequence, time.time() * 1000.0, body))
        poll_until(
            lambda: any(
                request_member(member, "PUT", document_path(f"{EVIDENCE_PREFIX}{KIND}/{router}"), text)[0]
                == 200
                for member in self.store.controls
            )
        )

    def list(self, *out: int) -> None:
        """Publish a list of all engines except these."""
        self.unlisted = set(out)
        self.publish_list()


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[Fleet, MixedLoad]]:
    made = Fleet(tmp_path_factory.mktemp("pools"))
    try:
        made.start()
        made.engines.send_command("* asked")
        load = MixedLoad(made)
        try:
            yield made, load
        finally:
            load.stop()
        answered = Counter(one.status for one in load.answers if one.router not in made.killed_routers)
        assert set(answered) <= {200, 503} and load.statuses()[200] > 50 > 10 * answered[503]
    finally:
        made.end()
        made.store.end()


@pytest.fixture
def fleet(running: tuple[Fleet, MixedLoad]) -> Iterator[Fleet]:
    """The cluster, with all routers in agreement before and after a case."""
    running[0].wait_one()
    yield running[0]
    running[0].wait_one()


@pytest.fixture
def load(running: tuple[Fleet, MixedLoad]) -> MixedLoad:
    return running[1]


def test_prompts_three_times_as_long_yield_one_split_from_combined_traffic(
    fleet: Fleet, load: MixedLoad
) -> None:
    """A sudden traffic change, with one router receiving only long prompts and one only short ones: no split
    before, and within SPLIT_S all report the same split and version; engines get requests as before."""
    poll_until(lambda: {fleet.part_report(n)["why"] for n in ALL} == {"no gain predicted"}, SPLIT_S)
    load.longer = 3
    readers = fleet.wait_one(seconds=SPLIT_S, split=True)
    assert 0 < len(readers) < ENGINES
    split = fleet.part_report(0)["split"]
    assert set(split["reads_from"]) == {"r"} and split["late_with"] < split["late_without"]
    assert all(fleet.routers[n].events("fleet_split")[-1]["readers"] == len(readers) for n in ALL)
    before = [fleet.requests_sent(n) for n in range(ENGINES)]
    # the split is reported, not applied
    poll_until(lambda: all(fleet.requests_sent(n) > before[n] for n in range(ENGINES)))


def test_outdated_malformed_and_hostile_summaries_are_ignored(fleet: Fleet) -> None:
    """Under five names, each written thrice: two decisions later (ENGINE_LOSS_S) the split is unchanged."""
    fleet.wait_one(split=True)
    since = fleet.part_report(0)["split"]["since_ms"]
    now = time.time() * 1000.0
    old = TrafficRecorder(now - 86_400_000.0 - 60_000.0)
    for n in range(2000):
        old.record_request(now - 86_400_000.0 - 20_000.0 + 10 * n, 1, 0, 100, 100)
    cell = [0, 0, 10.0, 0.0, [[], [], [], []]]
    spans = [{12: (nan, 1.0, 1.0)}, {12: (-5.0, 1.0, 1.0)}, {12: (1e18, 1e18, 1e18)}]
    hostile = [msgspec.msgpack.encode([1, now, now - 60_000.0, [[*cell, span]], {}]) for span in spans]
    right = msgspec.msgpack.encode([1, now, now - 60_000.0, [[*cell, {12: (5.0, 2e4, 8e7)}]], {}])
    # rejected for their values, not for their form
    assert decode_summary(right) is not None and not any(map(decode_summary, hostile))
    bodies = [old.body(now - 86_400_000.0), b"\xff" * 500, *hostile]
    holder = fleet.lease_holder(KIND)
    before, sequence = fleet.decisions(holder), 0
    assert before > 0

    def seen() -> bool:
        nonlocal sequence
        sequence += 1
        for n, body in enumerate(bodies):
            fleet.write_summary(f"hand{n}", sequence, body)
        decided = fleet.part_report(holder)["decided"]
        return bool(decided["number"] >= before + 2 and decided["summaries"] == 10)

    poll_until(seen, ENGINE_LOSS_S)
    fleet.wait_one(split=True)
    assert {fleet.part_report(n)["split"]["since_ms"] for n in ALL} == {since}


def test_a_removed_engine_is_not_named_by_any_router(fleet: Fleet) -> None:
    """A prefill engine leaves the list: within ENGINE_LOSS_S all report the same split without it, or
    none."""
    gone = fleet.wait_one(split=True)[0]
    fleet.list(fleet.engine_names.index(gone))
    fleet.wait_one(seconds=ENGINE_LOSS_S, without=gone)
    fleet.list()


def test_a_router_without_the_part_in_its_file_does_not_report_it(fleet: Fleet) -> None:
    """SIGHUP with other parts: nothing reported within ENGINE_LOSS_S, and it serves; SIGHUP back: one in
    TAKEOVER_S."""
    file = fleet.folder / "operator0.toml"
    text = file.read_text()
    file.write_text(text.replace(f'parts = ["{KIND}"]', "parts = []").replace("revision = 1", "revision = 2"))
    fleet.send_sighup([0])
    poll_until(
        lambda: fleet.fleet_status(0)["parts"] == {} and fleet.applied_version(0, f"fleet/{KIND}") == (0, ""),
        ENGINE_LOSS_S,
    )
    file.write_text(text.replace("revision = 1", "revision = 3"))
    fleet.send_sighup([0])
    poll_until(lambda: fleet.fleet_status(0)["parts"], ENGINE_LOSS_S)
    fleet.wait_one()
    poll_until(lambda: fleet.part_report(0)["own"]["answered"] > 0)


def test_a_holder_killed_between_decision_and_commit_leaves_no_partial_decision(fleet: Fleet) -> None:
    """SIGKILL while its decision is in transit and lost: the others report their own one within
    TAKEOVER_S."""
    gone = fleet.wait_one(split=True)[0]
    holder, epoch = fleet.lease_holder(KIND), fleet.decision_epoch(0, KIND)
    left = [n for n in ALL if n != holder]
    fleet.set_store_fault("delay 120", [holder])  # in each direction: the time that a write is in transit

    def made() -> int:
        return sum(e["kind"] == KIND for e in fleet.routers[holder].events("fleet_decided"))

    before = made()
    fleet.list(fleet.engine_names.index(gone))
    poll_until(lambda: made() > before, ENGINE_LOSS_S)
    fleet.kill_router(holder)
    fleet.set_store_fault("reset", [holder])
    fleet.wait_one(left, epoch=epoch + 1, without=gone)
    fleet.list()
    fleet.set_store_fault("pass")
    fleet.restart_router(holder)


def test_routers_cut_off_from_the_store_report_none_and_the_others_one(fleet: Fleet, load: MixedLoad) -> None:
    """Three of five, including the lease holder, are cut off during a split while prompts get short again:
    they report none within FALLBACK_S and behave normally; the two others report their own decision in
    TAKEOVER_S."""
    fleet.wait_one(seconds=SPLIT_S, split=True)
    holder, epoch = fleet.lease_holder(KIND), fleet.decision_epoch(0, KIND)
    load.longer = 1
    cut = [(holder + n) % 5 for n in range(3)]
    left = [n for n in ALL if n not in cut]
    fleet.set_store_fault("drop", cut)
    poll_until(lambda: all(fleet.part_report(n)["acts"] is None for n in cut), FALLBACK_S)
    assert [fleet.readers(n) for n in cut] == [[]] * 3
    fleet.wait_one(left, epoch=epoch + 1)
    fleet.set_store_fault("pass")


def test_a_stopped_holder_that_continues_writes_nothing(fleet: Fleet) -> None:
    """SIGSTOP until the others report one newer decision (TAKEOVER_S), then SIGCONT: it reports theirs within
    TAKEOVER_S, and no older one was ever written."""
    holder, epoch = fleet.lease_holder(KIND), fleet.decision_epoch(0, KIND)
    left = [n for n in ALL if n != holder]
    fleet.killed_routers.add(holder)  # its clients' results while it is stopped are not checked
    fleet.routers[holder].popen.send_signal(signal.SIGSTOP)
    try:
        fleet.wait_one(left, epoch=epoch + 1)
    finally:
        fleet.routers[holder].popen.send_signal(signal.SIGCONT)
    fleet.wait_one(epoch=epoch + 1)
    assert not fleet.part_report(holder)["holds"] and {fleet.part_report(n)["refused"] for n in ALL} == {0}


def test_request_statistics_are_recorded_and_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests served, left midway, rejected, and beyond the bound; an impossible usage is ignored."""
    monkeypatch.setattr(pool_split, "MAX_TRACKED_REQUESTS", 3)
    classes = (i.RequestClass(1000.0, 5000.0, 1.0, token_aim_ms=40.0),)
    lines = [ListEntry("e0", "", "z", "big")]
    host: Any = SimpleNamespace(
        now=lambda: 9000.0,
        observers=Observers(),
        config=SimpleNamespace(
            settings=i.Settings(nodes=1, classes=classes), classes={}, tenants={}, zones={}
        ),
        destinations=SimpleNamespace(
            listing=dict, seen=lambda: (1, lines), serving=lambda name: True, starting=lambda name: False
        ),
    )
    part = pool_split.PoolSplit("r0")
    part.watch(host, FleetTable(["m"], only_read=["big"]))

    def request(key: str) -> Any:
        made = Request(key, key, Message(), Mock(), i.RequestArrived(key, 0, 0.0), 5000.0, 9e9)
        host.observers.request_taken(made, i.RequestArrived(key, 0, 0.0, prompt_tokens=1000))
        return made

    served, left, refused, beyond = (request(key) for key in "abcd")
    for one in (served, left):
        one.serving_attempt = Attempt(one, 0, "e0", 5100.0)
        one.serving_attempt.first_at = 5900.0
        host.observers.parts_forwarded(one, [b"data: {}\n\n", b"data: {}\n\n"])
    host.observers.parts_forwarded(
        served,
        [b'data: {"usage":{"completion_tokens":63,"prompt_tokens_details":{"cached_tokens":400}}}\n\n'],
    )
    for one, how in ((served, "served"), (left, "left"), (refused, "fail_fast"), (beyond, "served")):
        one.finish(how)
        host.observers.request_answered(one)
    cell = part._pools.recorder.stats.cells[0, 0]
    pace = part._pools.recorder.stats.speeds["big"]
    assert (sum(cell.ended.values()), sum(cell.cut.values()), cell.answered, cell.late) == (1, 1, 3, 2)
    assert sketch.quantile(cell.ended, 0.5) == pytest.approx(63, rel=0.05)
    assert sketch.quantile(cell.cut, 0.5) == pytest.approx(2, abs=0.2)
    assert sketch.quantile(cell.unread, 0.1) == pytest.approx(600, rel=0.05)
    assert sketch.quantile(pace.read, 0.5) == pytest.approx(800_000 / 600, rel=0.05)
    assert part._pools.engines["e0"].fixed_side == "read" and part.untracked == 1 and not part._tracked
    for tail in (b"", b'data: {"usage":{"completion_tokens":-1}}\n', b'data: {"usage":[]}\n', b'"usage"'):
        assert pool_split.parse_usage(tail) is None
    part.end()
    assert not host.observers.active
    both = FleetTable(["127.0.0.1:7200"], only_read=["big"], only_write=["small", "big"])
    assert ["fleet.only_write[1]" in str(fault) for fault in fleet_faults(both)] == [True]
