"""Tests admission control in a serving router: client identity, tickets, reload, waiting and log lines."""

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
from spoolbarrow.admission.service import TICKET_HEADER, AdmissionService, Prepared
from spoolbarrow.cli.door import command
from spoolbarrow.config import ConfigError
from spoolbarrow.interface import RequestArrived
from spoolbarrow.operator import DoorTable
from tests.router_harness import ask, make_config, running_router, serve_all, wait_until
from tests.test_cli import write_operator_file


def set_fullness(scene: Any, gate: AdmissionGate, fullness: float) -> None:
    """Set the fleet's fullness as if probes had reported it, from now on."""
    pool, router = gate.router.pool, gate.router
    pool.zone_updated_at[0], pool.zone_load_ms[0] = (
        scene.host.now() + 60_000.0,
        fullness * router.full_wait_ms,
    )


@contextmanager
def running_admission(scene: Any, **changes: Any) -> Iterator[tuple[AdmissionService, AdmissionGate]]:
    service = AdmissionService(scene.host, Prepared(DoorTable(**changes), scene.config))
    gate = service._gate
    assert gate is not None
    try:
        yield service, gate
    finally:
        service.stop()


def test_admitted_requests_leave_no_state() -> None:
    with (
        running_router(serve_all) as (scene, _),
        running_admission(scene, client_header="X-User") as (_, gate),
    ):
        for n in range(3):
            set_fullness(scene, gate, 0.0 if n == 0 else 0.45)
            gate._fullness_at = 0.0
            answer = scene.client().send(ask(X_Correlation_Id=f"r{n}", X_User="ann")).answer()
            assert answer.status == 200
        wait_until(lambda: not gate.controller.admitted and not gate._events)
        assert gate.controller.accounting and gate.controller.counts["let in"] == 2


def test_a_client_is_identified_by_its_header_or_else_its_address() -> None:
    with (
        running_router(serve_all) as (scene, _),
        running_admission(scene, client_header="X-User") as (service, gate),
    ):
        set_fullness(scene, gate, 0.45)
        callers: list[Any] = []
        identify = service._identify

        def recording_identify(event: RequestArrived) -> Caller:
            callers.append(identify(event))
            return identify(event)

        gate._identify = recording_identify
        for n, user in enumerate(("ann", "ann", "ben")):
            scene.client().send(ask(X_Correlation_Id=f"r{n}", X_User=user)).answer()
        scene.client().send(ask(X_Correlation_Id="r8")).answer()
        scene.client().send(ask(X_Correlation_Id="r9", X_Repeat="1")).answer()
        clients = [caller.client for caller in callers]
        assert clients[0] == clients[1] and len(set(clients)) == 3 and clients[3] == clients[4]
        assert callers[0].prompt == callers[1].prompt != 0
        assert [caller.repeat for caller in callers] == [None] * 4 + [True]


def test_a_ticket_admits_its_client_at_the_retry_time() -> None:
    with (
        running_router(serve_all) as (scene, _),
        running_admission(scene, tickets=True, promised_share=1.0) as (service, gate),
    ):
        gate.controller.capacity.rate = 1e6
        set_fullness(scene, gate, 1e6)  # far beyond full: the router refuses at once
        refused = scene.client().send(ask(X_Correlation_Id="r1", X_Session_Key="0")).answer()
        fields = refused.fields
        ticket = fields[TICKET_HEADER.lower().encode()]
        assert refused.status == 503 and float(fields[b"retry-after"]) > 0.0
        assert service._verify(ticket) == 1 and service._verify(b"1." + b"0" * 24) == 0 == service._verify(
            b"x"
        )
        set_fullness(scene, gate, 1.2)
        reservation = next(iter(gate.controller.calendar.reservations.values()))
        wait_until(lambda: scene.host.now() >= reservation.at)
        again = ask(X_Correlation_Id="r2", X_Session_Key="0", X_Come_Back=ticket.decode())
        answer = scene.client().send(again).answer()
        assert answer.status == 200 and gate.controller.counts["let in promised"] == 1


def test_a_reload_changes_weights_and_stopping_hands_over_waiting_requests() -> None:
    with running_router(serve_all) as (scene, _):
        service = AdmissionService(scene.host, Prepared(DoorTable(max_wait_ms=60_000.0), scene.config))
        gate = service._gate
        assert gate is not None
        set_fullness(scene, gate, 0.45)
        assert scene.client().send(ask(X_Correlation_Id="r1")).answer().status == 200
        service.apply(Prepared(DoorTable(weights={"acme": 9.0}, max_wait_ms=60_000.0), scene.config))
        assert gate.controller.settings.weights[0] == 9.0
        wait_until(lambda: not gate.controller.admitted)  # otherwise its end would settle the charge below
        gate.controller.unfair_refusals[1] = 1.0
        gate.controller.shares.charge(0, 1, 1e6)
        waiting = scene.client().send(ask(X_Correlation_Id="r2"))
        wait_until(lambda: gate.controller.waiting)
        service.stop()
        assert waiting.answer().status == 200 and scene.host._decider is scene.host._router


def test_a_table_error_names_its_key(tmp_path: Path) -> None:
    parsed = config.parse(msgspec.json.encode(make_config([])))
    with pytest.raises(ConfigError, match=r"door\.weights\.nobody"):
        Prepared(DoorTable(weights={"nobody": 1.0}), parsed)
    _, faults = operator.read(write_operator_file(tmp_path / "o.toml", "[door]\nslot_ms = 0\nodd = 1\n"))
    assert len(faults) == 2 and "door.slot_ms" in {fault.place for fault in faults}


def test_explain_gives_the_reason(tmp_path: Path) -> None:
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
