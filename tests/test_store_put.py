"""`store put` against a running member, through a front that loses, delays or falsifies its answers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec
import orjson
import pytest
from gevent import socket

from spoolbarrow.cli import run, store_client
from spoolbarrow.cli.errors import NoAnswer, Unreachable
from spoolbarrow.cli.http_client import Answer
from spoolbarrow.cli.store_client import MAX_OVERTAKEN, NotWritten, OutcomeUnknown, write
from spoolbarrow.errors import Problem
from spoolbarrow.lab.process import LISTEN, Process, free_ports
from spoolbarrow.lab.store_members import member_arguments, request_member
from spoolbarrow.net.http1 import Message
from spoolbarrow.store.faults import Conflict
from spoolbarrow.store.state import Put, StateMachine
from tests.router_harness import ScriptedServer, json_response, wait_until


class Stored(NamedTuple):
    """A document as the store has it; revision 0 if it has none."""

    revision: int
    value: str


class Store:
    """A store of one member, which leads and commits alone."""

    def __init__(self, folder: Path) -> None:
        listen, self.control = (f"{LISTEN}:{port}" for port in free_ports(2))
        self._process = Process(*member_arguments("m0", {"m0": listen}, self.control, folder))

    def start(self) -> None:
        """Wait until it leads."""
        wait_until(lambda: request_member(self.control, "GET", "/v1/status")[1].get("role") == "leader")

    def get(self, key: str) -> Stored:
        status, document = request_member(self.control, "GET", f"/v1/store/{key}")
        return Stored(document["revision"], document["value"]) if status == 200 else Stored(0, "")

    def write(self, key: str, value: str) -> int:
        """Write as another operator, who has read the document before."""
        path = f"/v1/store/{key}?expect={self.get(key).revision}"
        status, document = request_member(self.control, "PUT", path, value.encode())
        assert status == 200
        return int(document["revision"])

    def end(self) -> None:
        self._process.end()


class Front:
    """Passes calls on to the member; `on_put` says for each write what becomes of it and its answer."""

    def __init__(self, store: Store, on_put: Callable[[Front, Message], bytes]) -> None:
        self._store, self._on_put = store, on_put
        self.writes: list[Message] = []
        self._server = ScriptedServer(self._answer)
        self.address = f"127.0.0.1:{self._server.port}"

    def pass_on(self, message: Message) -> bytes:
        """Have the member carry out a call; its answer."""
        status, content = request_member(
            self._store.control, message.method.decode(), message.target.decode(), bytes(message.body)
        )
        return json_response(status, orjson.dumps(content))

    def _answer(self, sock: socket.socket, message: Message) -> bool:
        if message.method == b"PUT":
            self.writes.append(message)
            sock.sendall(self._on_put(self, message))
        else:
            sock.sendall(self.pass_on(message))
        return True

    def close(self) -> None:
        self._server.close()


class Ended(NamedTuple):
    """What a command printed, and its exit status."""

    status: int
    output: str
    errors: str


@pytest.fixture(scope="module")
def store(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Store]:
    made = Store(tmp_path_factory.mktemp("store"))
    try:
        made.start()
        yield made
    finally:
        made.end()


@pytest.fixture
def put(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Callable[..., Ended]:
    """Runs `store put` for the key `document` of a test to its end, in a thread."""

    def run_put(key: str, value: str, *members: str, expect: int | None = None) -> Ended:
        (tmp_path / "value").write_text(value)
        arguments = [part for member in members for part in ("--at", member)]
        arguments += [] if expect is None else ["--expect", str(expect)]
        with ThreadPoolExecutor(1) as pool:
            done = pool.submit(run, ["store", "put", *arguments, key, str(tmp_path / "value")])
            wait_until(done.done)
        return Ended(done.result(), *capsys.readouterr())

    return run_put


@contextmanager
def front_of(store: Store, on_put: Callable[[Front, Message], bytes]) -> Iterator[Front]:
    made = Front(store, on_put)
    try:
        yield made
    finally:
        made.close()


NO_ANSWERS = {
    "closed": b"",
    "cut_short": b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"rev",
    "of_another_program": json_response(200, b"{}"),
    "unknown": json_response(503, b'{"error": "unknown: not committed in time", "remedy": "Read it."}'),
    "internal_error": json_response(500, b'{"error": "internal error", "remedy": "Report it."}'),
}  # fmt: skip


@pytest.mark.parametrize("lost", NO_ANSWERS)
def test_a_write_whose_answer_is_lost_is_not_repeated_over_a_later_one(
    lost: str, store: Store, put: Callable[..., Ended]
) -> None:
    """Guards against issue 58, case 8: `store put` wrote again over another operator's accepted change."""
    key, later = f"lost-{lost}", []

    def lose(front: Front, message: Message) -> bytes:
        assert front.pass_on(message).startswith(b"HTTP/1.1 200")
        later.append(store.write(key, "B"))
        return NO_ANSWERS[lost]

    with front_of(store, lose) as front:
        ended = put(key, "A", front.address, store.control)
    assert store.get(key) == Stored(later[0], "B") and len(front.writes) == 1
    assert (ended.status, ended.output) == (1, "")


def test_a_call_that_arrives_after_its_repetition_writes_nothing(
    store: Store, put: Callable[..., Ended]
) -> None:
    """Guards against issue 58 by the first call: written late, over what was accepted after the second."""
    held = []

    def hold(front: Front, message: Message) -> bytes:
        held.append(message)
        return b""

    with front_of(store, hold) as front:
        ended = put("late", "A", front.address, store.control)
        later = store.write("late", "B")
        assert front.pass_on(held[0]).startswith(b"HTTP/1.1 409")
    assert ended.status == 0 and int(ended.output) < later
    assert store.get("late") == Stored(later, "B")


def test_a_written_change_is_not_reported_as_refused(store: Store, put: Callable[..., Ended]) -> None:
    """Guards against issue 58 with `--expect`: the repetition's conflict was due to the change itself."""

    def lose(front: Front, message: Message) -> bytes:
        front.pass_on(message)
        return b""

    with front_of(store, lose) as front:
        ended = put("own", "A", front.address, store.control, expect=0)
    assert store.get("own").value == "A" and ended.status == 1
    assert ended.errors.splitlines()[-1] == f"  {OutcomeUnknown.remedy}"


def test_a_write_goes_on_to_the_next_member_where_one_never_got_it(
    store: Store, put: Callable[..., Ended]
) -> None:
    store.write("next", "before")
    with front_of(store, lambda front, message: b"") as front:
        for expect in (None, store.get("next").revision + 1):
            ended = put("next", "A", f"{LISTEN}:1", front.address, store.control, expect=expect)
            assert ended.status == 0 and store.get("next") == Stored(int(ended.output), "A")


def test_a_conflict_after_members_that_got_nothing_is_a_refusal(
    store: Store, put: Callable[..., Ended]
) -> None:
    revision = store.write("refused", "B")
    not_leader = json_response(409, b'{"error": "another member leads", "leader": "m0"}')
    with front_of(store, lambda front, message: not_leader) as front:
        ended = put("refused", "A", f"{LISTEN}:1", front.address, store.control, expect=revision + 1)
        assert f"refused: at revision {revision}, not {revision + 1}" in ended.errors.splitlines()[-2]
        ended = put("refused", "A", f"{LISTEN}:1", front.address)
        assert ended.errors.splitlines()[-1] == f"  {NotWritten.remedy}"
    assert ended.status == 1 and store.get("refused") == Stored(revision, "B")


def test_a_refusal_is_told_as_one_whatever_the_key_is(store: Store, put: Callable[..., Ended]) -> None:
    """Guards against a conflict reported as an unknown outcome, since its text begins with the key."""
    ended = put("unknown-hosts", "A", store.control, expect=7)
    assert ended.status == 1 and ended.errors.splitlines()[-1] == f"  {Conflict.remedy}"


def test_an_overwrite_that_is_overtaken_starts_from_the_newer_revision(
    store: Store, put: Callable[..., Ended]
) -> None:
    def overtake(front: Front, message: Message) -> bytes:
        if len(front.writes) < 4:
            store.write("overtaken", f"B{len(front.writes)}")
        return front.pass_on(message)

    with front_of(store, overtake) as front:
        ended = put("overtaken", "A", front.address)
        assert len(front.writes) == 4
    assert ended.status == 0 and store.get("overtaken") == Stored(int(ended.output), "A")


def test_an_overwrite_ends_where_others_always_come_first_or_no_revision_helps(
    store: Store, put: Callable[..., Ended]
) -> None:
    def overtaken(front: Front, message: Message) -> bytes:
        return json_response(409, b'{"error": "at another revision", "revision": %d}' % len(front.writes))

    with front_of(store, overtaken) as front:
        assert put("busy", "A", front.address).status == 1 and len(front.writes) == MAX_OVERTAKEN
    full = json_response(409, b'{"error": "10000 keys are kept", "revision": 0}')
    with front_of(store, lambda front, message: full) as front:
        ended = put("full", "A", front.address)
        assert ended.status == 1 and "10000 keys are kept" in ended.errors and len(front.writes) == 1


class LossyMembers:
    """Members with one state machine: calls and answers are lost, delayed and overtaken at random."""

    def __init__(self, random: Random) -> None:
        self.random, self.state, self.index = random, StateMachine(), 0
        self.delayed: list[Put] = []
        self.written: dict[str, list[int]] = {}  # revisions by value

    def carry_out(self, put: Put) -> Answer:
        self.index += 1
        applied = self.state.apply(self.index, msgspec.msgpack.encode(put))
        assert applied is not None
        if applied[1].why:
            return Answer(409, {"error": applied[1].why, "revision": applied[1].revision})
        self.written.setdefault(put.value.decode(), []).append(self.index)
        return Answer(200, {"revision": self.index})

    def call(self, address: str, method: str, path: str, body: bytes = b"") -> Answer:
        """Replaces `request_json`."""
        self._others_act()
        if self.random.random() < 0.2:
            raise Unreachable(address, "no answer: refused")
        if method == "GET":
            found = self.state.documents.get("k")
            if found is None:
                return Answer(404, {"error": "no such key"})
            return Answer(200, {"revision": found.revision, "value": found.value.decode()})
        put = Put("id", "k", body, int(path.partition("expect=")[2] or -1))
        fate = self.random.choice(["answered", "answered", "not_leader", "lost", "unanswered", "delayed"])
        if fate == "answered":
            return self.carry_out(put)
        if fate == "not_leader":
            return Answer(409, {"error": "another member leads", "leader": ""})
        if fate == "unanswered":
            self.carry_out(put)
        if fate == "delayed":
            self.delayed.append(put)
        if self.random.random() < 0.3:
            return Answer(503, {"error": "unknown: not committed in time"})
        raise NoAnswer(address, "no answer: timed out")

    def _others_act(self) -> None:
        if self.random.random() < 0.3:
            found = self.state.documents.get("k")
            self.carry_out(Put("id", "k", b"other %d" % self.index, found.revision if found else 0))
        while self.delayed and self.random.random() < 0.5:
            self.carry_out(self.delayed.pop(self.random.randrange(len(self.delayed))))


@pytest.mark.parametrize("seed", range(10))
def test_no_write_is_carried_out_twice_whatever_is_lost(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against issue 58 in every order of loss, delay and other writes; what is told is true."""
    members = LossyMembers(Random(seed))
    monkeypatch.setattr(store_client, "request_json", members.call)
    told: dict[str, object] = {}
    for number in range(300):
        found = members.state.documents.get("k")
        expect = members.random.choice([None, found.revision if found else 0])
        try:
            told[f"{number}"] = write(["m0", "m1", "m2"], "k", b"%d" % number, expect, lambda _: None)
        except Problem as error:
            told[f"{number}"] = error
    for delayed in members.delayed:
        members.carry_out(delayed)
    assert len({type(outcome) for outcome in told.values()}) == 4  # written, unknown, and both refusals
    for value, outcome in told.items():
        revisions = members.written.get(value, [])
        if isinstance(outcome, OutcomeUnknown):
            assert len(revisions) <= 1, value
        else:
            assert revisions == ([outcome] if isinstance(outcome, int) else []), (value, outcome)
