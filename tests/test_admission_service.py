"""The door in the serving program: who asks, tickets, reload, waiting, and what the log says."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest
from click.testing import CliRunner

from spoolbarrow import config, operator
from spoolbarrow.admission.gate import AdmissionGate, Caller
from spoolbarrow.admission.service import TICKET, AdmissionService, Prepared
from spoolbarrow.cli.door import command
from spoolbarrow.config import ConfigError
from spoolbarrow.interface import RequestArrived
from spoolbarrow.operator import DoorTable
from tests.router_harness import ask, make_config, running_router, serve_all, wait_until
from tests.test_cli import write_operator_file


def full(scene: Any, gate: AdmissionGate, fullness: float) -> None:
    """As if probes had told so, from now on."""
    pool, router = gate.router.pool, gate.router
    pool.zone_updated_at[0], pool.zone_load_ms[0] = (
        scene.host.now() + 60_000.0,
        fullness * router.full_wait_ms,
    )


@contextmanager
def guarded(scene: Any, **changes: Any) -> Iterator[tuple[AdmissionService, AdmissionGate]]:
    keeper = AdmissionService(scene.host, Prepared(DoorTable(**changes), scene.config))
    gate = keeper._gate
    assert gate is not None
    try:
        yield keeper, gate
    finally:
        keeper.stop()


def test_requests_pass_the_door_and_leave_nothing_behind() -> None:
    with running_router(serve_all) as (scene, _), guarded(scene, client_header="X-User") as (_, gate):
        for n in range(3):
            full(scene, gate, 0.0 if n == 0 else 0.45)
            gate._looked_at = 0.0
            answer = scene.client().send(ask(X_Correlation_Id=f"r{n}", X_User="ann")).answer()
            assert answer.status == 200
        wait_until(lambda: not gate.door.inside and not gate._events)
        assert gate.door.watching and gate.door.counts["let in"] == 2


def test_a_client_is_known_by_its_header_else_by_its_address() -> None:
    with running_router(serve_all) as (scene, _), guarded(scene, client_header="X-User") as (keeper, gate):
        full(scene, gate, 0.45)
        seen: list[Any] = []
        who = keeper._who

        def looked(event: RequestArrived) -> Caller:
            seen.append(who(event))
            return who(event)

        gate._who = looked
        for n, user in enumerate(("ann", "ann", "ben")):
            scene.client().send(ask(X_Correlation_Id=f"r{n}", X_User=user)).answer()
        scene.client().send(ask(X_Correlation_Id="r8")).answer()
        scene.client().send(ask(X_Correlation_Id="r9", X_Repeat="1")).answer()
        clients = [caller.client for caller in seen]
        assert clients[0] == clients[1] and len(set(clients)) == 3 and clients[3] == clients[4]
        assert seen[0].prompt == seen[1].prompt != 0
        assert [caller.repeat for caller in seen] == [None] * 4 + [True]


def test_a_refusal_shows_a_ticket_that_lets_its_client_in_at_its_time() -> None:
    with (
        running_router(serve_all) as (scene, _),
        guarded(scene, tickets=True, promised_share=1.0) as (keeper, gate),
    ):
        gate.door.capacity.rate = 1e6
        full(scene, gate, 1e6)  # hopeless: the decisions refuse at once
        refused = scene.client().send(ask(X_Correlation_Id="r1", X_Session_Key="0")).answer()
        fields = refused.fields
        shown = fields[TICKET.lower().encode()]
        assert refused.status == 503 and float(fields[b"retry-after"]) > 0.0
        assert keeper._read(shown) == 1 and keeper._read(b"1." + b"0" * 24) == 0 == keeper._read(b"x")
        full(scene, gate, 1.2)
        told = next(iter(gate.door.calendar.callers.values()))
        wait_until(lambda: scene.host.now() >= told.at)
        again = ask(X_Correlation_Id="r2", X_Session_Key="0", X_Come_Back=shown.decode())
        back = scene.client().send(again).answer()
        assert back.status == 200 and gate.door.counts["let in promised"] == 1


def test_a_reload_changes_weights_and_switching_off_hands_on_who_waits() -> None:
    with running_router(serve_all) as (scene, _):
        keeper = AdmissionService(scene.host, Prepared(DoorTable(max_wait_ms=60_000.0), scene.config))
        gate = keeper._gate
        assert gate is not None
        full(scene, gate, 0.45)
        assert scene.client().send(ask(X_Correlation_Id="r1")).answer().status == 200
        keeper.apply(Prepared(DoorTable(weights={"acme": 9.0}, max_wait_ms=60_000.0), scene.config))
        assert gate.door.settings.weights[0] == 9.0
        wait_until(lambda: not gate.door.inside)  # else its end would settle what is charged here
        gate.door.wronged[1] = 1.0
        gate.door.shares.charge(0, 1, 1e6)
        waiting = scene.client().send(ask(X_Correlation_Id="r2"))
        wait_until(lambda: gate.door.waiting)
        keeper.stop()
        assert waiting.answer().status == 200 and scene.host._decider is scene.host._router


def test_a_faulty_table_names_its_key(tmp_path: Path) -> None:
    made = config.parse(msgspec.json.encode(make_config([])))
    with pytest.raises(ConfigError, match=r"door\.weights\.nobody"):
        Prepared(DoorTable(weights={"nobody": 1.0}), made)
    _, faults = operator.read(write_operator_file(tmp_path / "o.toml", "[door]\nslot_ms = 0\nodd = 1\n"))
    assert len(faults) == 2 and "door.slot_ms" in {fault.place for fault in faults}


def test_explain_says_why(tmp_path: Path) -> None:
    line = {
        "event": "door_away", "request": "7", "id": "abc", "tenant": 1, "why": "share", "retry_after_ms": 120,
        "promised": True, "fullness": 0.8, "ahead": 900, "limit": 500, "client_ahead": 3, "client_limit": 9,
    }  # fmt: skip
    log = tmp_path / "log"
    log.write_bytes(b'not json\n{"event":"request","id":"abc"}\n' + orjson.dumps(line) + b"\n")
    done = CliRunner().invoke(command, ["explain", "abc", "--log", str(log)], standalone_mode=False)
    assert done.return_value == 0
    assert "more under way than its share" in done.output and "come back in 120 ms" in done.output
    none = CliRunner().invoke(command, ["explain", "abd", "--log", str(log)], standalone_mode=False)
    assert none.return_value == 1 and "not turned away" in none.output
