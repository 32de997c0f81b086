"""Builds the report of a scenario's run, for runs in virtual time and on sockets alike."""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil
from typing import Any

from msgspec import Struct

from spoolbarrow.lab.arrivals import PlannedRequest
from spoolbarrow.lab.fleet import PlannedTrouble
from spoolbarrow.lab.scenario import Scenario

WINDOW_S = 5.0
WORST_WINDOWS = 3  # windows reported
PERCENTILES = (50, 90, 99)


class Record(Struct):
    """One request with all its tries; times in ms from when the first try was due, negative for never."""

    planned: PlannedRequest
    outcome: str = "lost"  # served, refused, failed, lost (broken or never answered), left
    first_ms: float = -1.0
    end_ms: float = -1.0
    tries: int = 0
    attempts: int = 0
    made: int = 0  # tokens received, including prefilled ones


def worth(scenario: Scenario, record: Record) -> tuple[float, float]:
    """The worth of a request, and the part of it that was achieved."""
    one = record.planned
    c = list(scenario.classes.values())[one.cls]
    possible = c.worth * (scenario.load.over_worth if one.over_quota else 1.0)
    if record.outcome != "served" or record.first_ms < 0.0:
        return possible, 0.0
    more = c.aim_ms_per_1000 * one.prompt / 1000.0
    pace = (record.end_ms - record.first_ms) / max(1, one.answer - 1) if one.answer > 1 else 0.0
    if record.first_ms <= c.aim_ms + more and (not c.token_aim_ms or pace <= c.token_aim_ms):
        return possible, possible
    if record.first_ms <= c.deadline_ms + 2.0 * more and (not c.token_aim_ms or pace <= 2.0 * c.token_aim_ms):
        return possible, possible * c.late_share
    return possible, 0.0


def cause(scenario: Scenario, record: Record) -> str:
    """Why a request did not achieve its full worth: its outcome, or a late or slow response."""
    if record.outcome != "served":
        return record.outcome
    c = list(scenario.classes.values())[record.planned.cls]
    late = record.first_ms > c.aim_ms + c.aim_ms_per_1000 * record.planned.prompt / 1000.0
    return "late first token" if late else "slow stream"


def _causes(scenario: Scenario, records: list[Record], pairs: list[tuple[float, float]]) -> dict[str, float]:
    """The lost share of all requested worth, by cause."""
    total = sum(possible for possible, _ in pairs) or 1.0
    found: dict[str, float] = {}
    for record, (possible, achieved) in zip(records, pairs, strict=True):
        if achieved < possible:
            reason = cause(scenario, record)
            found[reason] = found.get(reason, 0.0) + possible - achieved
    return {reason: round(lost / total, 6) for reason, lost in sorted(found.items())}


def to_csv(scenario: Scenario, records: list[Record]) -> str:
    """A CSV table with a line for each request."""
    classes, tenants = list(scenario.classes), list(scenario.tenants)
    lines = ["at_ms,class,tenant,prompt,answer,outcome,first_ms,whole_ms,tries"]
    for r in records:
        one = r.planned
        lines.append(
            f"{one.at_ms:.3f},{classes[one.cls]},{tenants[one.tenant]},{one.prompt},{one.answer},"
            f"{r.outcome},{r.first_ms:.3f},{r.end_ms:.3f},{r.tries}"
        )
    return "\n".join(lines) + "\n"


def work_report(scenario: Scenario, records: list[Record], work: int) -> dict[str, Any]:
    """The engines' work, in `work` tokens prefilled and decoded, and the share of it that was wasted."""
    useful = sum(r.made for r in records if r.outcome == "served")
    return {
        "engines": scenario.engines,
        "routers": scenario.routers,
        "tokens_worked": work,
        "wasted_share": round(max(0.0, 1.0 - useful / work), 6) if work else 0.0,
    }


def percentile(values: list[float], share: float) -> float:
    """The smallest value that at least `share` percent do not exceed; 0 without values."""
    ordered = sorted(values)
    return ordered[max(0, ceil(share / 100.0 * len(ordered)) - 1)] if ordered else 0.0


def _share(pairs: Iterable[tuple[float, float]]) -> float:
    possible = achieved = 0.0
    for one, other in pairs:
        possible += one
        achieved += other
    return round(achieved / possible, 6) if possible else 1.0


def _times(records: list[Record]) -> dict[str, float]:
    first = [r.first_ms for r in records if r.first_ms >= 0.0]
    whole = [r.end_ms for r in records if r.outcome == "served"]
    times = {f"first_token_ms_p{p}": round(percentile(first, p), 3) for p in PERCENTILES}
    return times | {f"whole_ms_p{p}": round(percentile(whole, p), 3) for p in PERCENTILES}


def _windows(
    scenario: Scenario, records: list[Record], pairs: list[tuple[float, float]]
) -> list[dict[str, Any]]:
    lead = scenario.lead_ms()
    groups: dict[int, list[tuple[float, float]]] = {}
    for record, pair in zip(records, pairs, strict=True):
        groups.setdefault(int((record.planned.at_ms - lead) / 1000.0 / WINDOW_S), []).append(pair)
    return [
        {"begin_s": n * WINDOW_S, "requests": len(group), "worth": _share(group)}
        for n, group in sorted(groups.items())
    ]


def build_report(scenario: Scenario, records: list[Record], troubles: list[PlannedTrouble]) -> dict[str, Any]:
    """The figures of a run that its records give."""
    lead = scenario.lead_ms()
    records = [record for record in records if record.planned.at_ms >= lead]
    pairs = [worth(scenario, record) for record in records]
    windows = _windows(scenario, records, pairs)
    outcomes: dict[str, int] = {}
    for record in records:
        outcomes[record.outcome] = outcomes.get(record.outcome, 0) + 1

    def part(key: str, names: list[str]) -> dict[str, Any]:
        found = {}
        for n, name in enumerate(names):
            chosen = [k for k, r in enumerate(records) if getattr(r.planned, key) == n]
            group = [records[k] for k in chosen]
            refused = sum(r.outcome == "refused" for r in group)
            found[name] = {
                "requests": len(group),
                "worth": _share(pairs[k] for k in chosen),
                "refused_share": round(refused / len(group), 6) if group else 0.0,
            } | _times(group)
        return found

    costs = []
    for planned in troubles:
        t = planned.trouble
        inside: list[tuple[float, float]] = []
        outside: list[tuple[float, float]] = []
        for record, pair in zip(records, pairs, strict=True):
            at = (record.planned.at_ms - lead) / 1000.0
            hit = t.begin_s <= at < t.begin_s + max(t.length_s, WINDOW_S)
            (inside if hit else outside).append(pair)
        costs.append(
            {
                "name": t.name,
                "begin_s": round(t.begin_s, 3),
                "length_s": round(t.length_s, 3),
                "victims": len(planned.victims),
                "worth_within": _share(inside),
                "worth_outside": _share(outside),
                "worth_lost": round(sum(a - b for a, b in inside), 3),
            }
        )
    count = max(1, len(records))
    return {
        "scenario": scenario.name,
        "requests": len(records),
        "worth": _share(pairs),
        "outcomes": dict(sorted(outcomes.items())),
        "worth_lost": _causes(scenario, records, pairs),
        "refused_share": round(outcomes.get("refused", 0) / count, 6),
        "tries_a_request": round(sum(r.tries for r in records) / count, 4),
        "attempts_a_request": round(sum(r.attempts for r in records) / count, 4),
        "times": _times(records),
        "classes": part("cls", list(scenario.classes)),
        "tenants": part("tenant", list(scenario.tenants)),
        "windows": windows,
        "worst_windows": sorted(windows, key=lambda w: w["worth"])[:WORST_WINDOWS],
        "troubles": costs,
    }
