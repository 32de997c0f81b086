"""Tests of the simulator's codec: every event, every action, and malformed input."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from spoolbarrow import interface as i
from spoolbarrow import wire
from spoolbarrow.simulator_host import serve

ROOT = Path(__file__).resolve().parent.parent
PARAMS: dict[str, Any] = {
    "Balancers": 2,
    "Classes": [
        {
            "AimMs": 1000.0,
            "DeadlineMs": 4000.0,
            "Effect": "dedup",
            "Group": "cell",
            "Importance": 2.0,
            "RepeatWindowMs": 900.0,
            "LateShare": 0.2,
            "Stream": True,
            "Name": "x",
            "NewKey": 1,
        },
    ],
    "Discovery": "automatic",
    "Zones": ["a", "b"],
    "MyZone": 1,
    "Limits": {"Probing": True, "MaxAttempts": 4},
    "Specifics": {"AimUsPer1000PromptTokens": [40000.0], "TokenAimMs": [80.0]},
    "Unheard": {"of": True},
}


def event(message: dict[str, Any]) -> i.Event | None:
    line = json.dumps({"TimeMs": 1.0, "serial": 1, "nodes": [{"Node": "node_0", "msgs": [message]}]})
    return wire.decode_event(wire.decode_batch(line.encode()).nodes[0].msgs[0])


def test_decodes_every_event() -> None:
    assert event(
        {
            "type": "Ingress",
            "Xid": "c",
            "Kind": 1,
            "BudgetMs": 5.5,
            "Org": 2,
            "PromptTokens": 9,
            "SharedLen": 4,
            "OutputCap": 7,
            "Bits": 17,
            "PartitionKey": "ff",
            "PrefixId": "10",
            "Novel": 1,
        }
    ) == i.RequestArrived("c", 1, 5.5, 2, 9, 4, 7, 255, 16, True)
    assert event({"type": "Ingress", "Xid": "c", "Kind": 0, "BudgetMs": 5}) == i.RequestArrived("c", 0, 5.0)
    for letter, outcome in wire.OUTCOMES.items():
        assert event(
            {
                "type": "Finished",
                "Xid": "c",
                "Engine": "e",
                "Result": letter,
                "SendNo": 1,
                "Last": True,
                "LagMs": 2.0,
                "Note": 3,
            }
        ) == i.AttemptEnded("c", 1, "e", outcome, True, 2.0, 3)
    assert event(
        {
            "type": "Health",
            "Engine": "e",
            "Result": "S",
            "LagMs": 1.5,
            "Stats": {"x0": 0.5, "x1": 2.0, "other": 3},
        }
    ) == i.ProbeAnswered("e", i.Outcome.SERVED, 1.5, i.Report(0.5, 2000.0))
    assert event({"type": "Health", "Engine": "e", "Result": "T"}) == i.ProbeAnswered("e", i.Outcome.TIMEOUT)
    assert event(
        {"type": "Headers", "Xid": "c", "Engine": "e", "SendNo": 2, "LagMs": 4.0}
    ) == i.StreamStarted("c", 2, "e", 4.0)
    assert event({"type": "Vanished", "Xid": "c"}) == i.RequestGone("c")
    assert event({"type": "Due", "Nonce": "t"}) == i.TimerFired("t")
    assert event({"type": "NoteFrom", "Src": 1, "Msg": "00"}) is None
    for how, kind in wire.LIST_KINDS.items():
        entry = {
            "Engine": "e",
            "Area": 1,
            "Type": 2,
            "Block": 3,
            "Status": "terminating",
            "Nominal": 1.5,
            "StartedAtMs": 9.0,
        }
        assert event({"type": "View", "Serial": 4, "How": how, "MembersList": [entry]}) == i.ReplicaList(
            kind, (i.ReplicaEntry("e", 1, 2, 3, i.ReplicaState.DRAINING, 1.5, 9.0),)
        )


def test_encodes_every_action() -> None:
    cases: list[tuple[i.Action, dict[str, Any]]] = [
        (i.Send("c", "e", 5.0), {"type": "Relay", "Xid": "c", "Engine": "e", "MaxWaitMs": 5.0}),
        (i.Refuse("c", 9.0), {"type": "Reject", "Xid": "c", "RetryInMs": 9.0}),
        (i.Fail("c"), {"type": "RespondError", "Xid": "c"}),
        (i.Cancel("c", 1), {"type": "StopAttempt", "Xid": "c", "SendNo": 1}),
        (i.Probe("e"), {"type": "Inspect", "Engine": "e"}),
        (i.SetTimer("t", 3.0), {"type": "SetAlarm", "FromNowMs": 3.0, "Nonce": "t"}),
        (i.Subscribe(), {"type": "Listen", "Want": True}),
    ]
    for action, expected in cases:
        assert wire.encode_action(action) == expected
    assert json.loads(wire.encode_reply(7, [])) == {"serial": 7, "nodes": []}


def test_decodes_settings() -> None:
    s = wire.decode_settings(PARAMS)
    assert (s.nodes, s.zone, s.zones, s.subscribe, s.probing, s.max_attempts) == (2, 1, 2, False, True, 4)
    assert (s.second_copies, s.cancelling) == (False, False)  # missing permissions are off
    (c,) = s.classes
    assert (c.effect, c.group, c.window_ms, c.token_aim_ms) == (i.Effect.KEYED, i.Group.CELL, 900.0, 80.0)
    assert c.aim_ms_per_token == pytest.approx(0.04)


def run(text: str) -> tuple[int, str, str]:
    sink, errors = io.BytesIO(), io.StringIO()
    code = serve(io.BytesIO(text.encode()), sink, errors)
    return code, sink.getvalue().decode(), errors.getvalue()


def batch(serial: int, *messages: dict[str, Any]) -> str:
    nodes = [{"Node": "node_0", "msgs": list(messages)}] if messages else []
    return json.dumps({"TimeMs": 10.0 * serial, "serial": serial, "nodes": nodes}) + "\n"


ENLIST = {"type": "Enlist", "RandomSeed": 3, "Params": PARAMS}
VIEW = {
    "type": "View",
    "How": "restored",
    "MembersList": [{"Engine": "e", "Area": 1, "Status": "in_service"}],
}
INGRESS = {"type": "Ingress", "Xid": "c", "Kind": 0, "BudgetMs": 900.0}


@pytest.mark.parametrize(
    ("line", "word"),
    [
        ("{nonsense\n", "malformed"),
        (batch(1, {"type": "Surprise"}), "Surprise"),
        (batch(1, {"type": "Ingress", "Kind": 0, "BudgetMs": 1}), "Xid"),
        (batch(1, {"type": "Ingress", "Xid": "c", "Kind": "zero", "BudgetMs": 1}), "Kind"),
        (batch(1, {**INGRESS, "PartitionKey": "not hex"}), "PartitionKey"),
        (batch(1, {"type": "Health", "Engine": "e", "Result": "Q"}), "Result"),
        (batch(1, {**ENLIST, "Params": {"Balancers": 1}}), "Classes"),
    ],
)
def test_malformed_input_is_reported_on_one_line(line: str, word: str) -> None:
    code, out, errors = run(batch(1) + line)
    assert code == 1
    assert json.loads(out) == {"serial": 1, "nodes": []}
    assert errors.startswith("line 2:") and word in errors and errors.count("\n") == 1


def test_a_router_from_start_to_kill_and_end_of_input() -> None:
    code, out, errors = run(
        batch(1, ENLIST, VIEW, INGRESS) + batch(2, {"type": "Retire"}) + batch(3, INGRESS)
    )
    replies = [json.loads(line) for line in out.splitlines()]
    assert (code, errors) == (0, "")
    assert any(a["type"] == "Relay" for a in replies[0]["nodes"][0]["output"])
    assert replies[1]["nodes"] == replies[2]["nodes"] == []  # a killed router gets no further events


def test_impossible_settings_and_errors_become_fatal(monkeypatch: pytest.MonkeyPatch) -> None:
    _, out, _ = run(batch(1, {**ENLIST, "Params": {**PARAMS, "Balancers": 0}}, VIEW))
    (fatal,) = json.loads(out)["nodes"][0]["output"]
    assert fatal["type"] == "Fatal" and "nodes" in fatal["Message"]

    def broken(*_: object) -> None:
        raise RuntimeError("out of cheese")

    monkeypatch.setattr("spoolbarrow.router.Router.handle", broken)
    _, out, _ = run(batch(1, ENLIST, VIEW))
    assert json.loads(out)["nodes"][0]["output"] == [
        {"type": "Fatal", "Message": "RuntimeError: out of cheese"}
    ]


def test_equal_events_give_equal_bytes_for_any_hash_seed_and_grouping() -> None:
    entries = [{"Engine": f"engine-{k}", "Area": k % 2, "Status": "in_service"} for k in range(12)]

    def day(names: list[str]) -> str:
        lines = []
        for serial in range(1, 40):
            nodes = []
            for n in names:
                msgs: list[dict[str, Any]] = [ENLIST, {**VIEW, "MembersList": entries}] if serial == 1 else []
                key, prefix = f"{serial * 37:x}", f"{serial % 4 + 1:x}"
                msgs.append({**INGRESS, "Xid": f"c{serial}{n}", "PartitionKey": key, "PrefixId": prefix})
                msgs += [{"type": "Due", "Nonce": f"h:c{serial - 1}{n}"}, {"type": "Due", "Nonce": "sweep"}]
                nodes.append({"Node": n, "msgs": msgs})
            lines.append(json.dumps({"TimeMs": serial * 50.0, "serial": serial, "nodes": nodes}))
        return "\n".join(lines) + "\n"

    def play(names: list[str], seed: str) -> list[dict[str, Any]]:
        done = subprocess.run(
            [sys.executable, "-m", "spoolbarrow.simulator_host"],
            input=day(names),
            capture_output=True,
            text=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
        )
        return [n for line in done.stdout.splitlines() for n in json.loads(line)["nodes"]]

    together = play(["node_0", "node_1"], "1")
    assert together == play(["node_0", "node_1"], "77")
    alone = play(["node_1"], "5")
    assert [n for n in together if n["Node"] == "node_1"] == alone
    assert any(a["type"] == "Relay" for n in alone for a in n["output"])
