"""Fault scripts: named faults of a fleet's start, played on processes, and what each process saw.

    python -m spoolbarrow.lab.fault_script NAME [--routers N] [--engines N] [--rate R] [--known LIST] [--pace X]

A script is a table of steps: at what event or second, what fault. `play` is the one function that plays it,
for tests, benchmarks and this command. By default the service's rate is such that it can answer all routers
once in WORK_S. Exit status 1 where some router did not know the newest list in time, an engine fell, or a
router met what nothing foresaw; 2 where the command line is faulty.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from math import ceil
from pathlib import Path
from typing import Any, NamedTuple

from spoolbarrow.lab.cluster import INITIAL_LISTS, Cluster, Load
from spoolbarrow.lab.cold_engine import ColdEngineParameters
from spoolbarrow.lab.line_commands import CommandFailed
from spoolbarrow.lab.process import end_all_at_sigterm

BEFORE = -1.0  # a step's time: just before the routers begin
WORK_S = 4.0  # in which the service can answer each router once, where no rate is given
EVENT_S = 20.0  # an event that has not come by then is not waited for any longer
LOOK_S = 0.1
FULL = 3  # calls in the queue that count as a queue
PAUSE_S = 0.5  # of each router's client between requests
EACH = 2  # routers for each engine, at least one engine


class Step(NamedTuple):
    """One fault, begun or ended."""

    action: str  # of VERBS
    at: float = 0.0  # s after the step before it, or after `event`; BEFORE: before the routers begin
    value: float = 0.0
    event: str = ""  # of EVENTS, waited for first


class Script(NamedTuple):
    """A fault of the fleet's start."""

    about: str
    steps: tuple[Step, ...]
    known: str = "old"  # what routers begin with, of cluster.KNOWN
    cold: bool = False  # engines as well
    members: bool = False  # with a store
    until: tuple[str, ...] = ("known", "served")  # of EVENTS, all waited for at the end
    within_s: float = 20.0  # after the last step, and the time the service needs, all of that has come


def _all(mode: str) -> Callable[[Cluster, float], object]:
    return lambda made, _: made.service.send_command(f"* {mode}")


def _service(word: str) -> Callable[[Cluster, float], object]:
    return lambda made, _: made.service.send_command(word)


def _cut(made: Cluster, share: float) -> None:
    chosen = range(ceil(share * len(made.ports)))
    made.service.send_command(f"{','.join(map(str, chosen))} cut")


def _crash(made: Cluster, router: float) -> None:
    made.kill_router(int(router))
    made.routers[int(router)] = made.start_router(int(router))


def _lose_engines(made: Cluster, share: float) -> None:
    made.unlisted = set(range(ceil(share * len(made.engine_names))))
    made.engines.send_command(f"{','.join(map(str, sorted(made.unlisted)))} down")
    made.publish_list()


def _leave(made: Cluster, engine: float) -> None:
    made.unlisted.add(int(engine))
    made.publish_list()


def _hang_up(made: Cluster, _: float) -> None:
    # What the lines of the old list mean has changed with that, so that all ask for the whole list anew.
    made.configure({"Skus": ["m", "n"]})
    made.send_sighup(range(len(made.ports)))


def _members(act: str) -> Callable[[Cluster, float], object]:
    def play(made: Cluster, count: float) -> None:
        assert made.members is not None, "a cluster with a store is needed"
        for member in range(int(count)):
            getattr(made.members, act)(member)

    return play


ACTIONS: dict[str, Callable[[Cluster, float], object]] = {
    "down": _service("down"),
    "up": _service("up"),
    "restart": _service("restart"),
    "fail": lambda made, share: made.service.send_command(f"fail {share}"),
    "mute": _all("mute"),
    "half": _all("half"),
    "pass": _all("pass"),
    "cut": _cut,
    "crash": _crash,
    "crash-all": lambda made, _: made.restart_routers(range(len(made.ports))),
    "hang-up": _hang_up,
    "lose-engines": _lose_engines,
    "leave": _leave,
    "chill": lambda made, _: made.restart_engines(range(len(made.engine_names))),
    "stop-members": _members("stop"),
    "wake-members": _members("wake"),
}
EVENTS: dict[str, Callable[[Cluster, Load], bool]] = {
    "known": lambda made, _: len(made.up_to_date_routers()) == len(made.ports),
    "served": lambda made, load: (
        len({one.router for one in list(load.answers) if one.status == 200}) == len(made.ports)
    ),
    "reloaded": lambda made, _: all(router.events("reloaded") for router in made.routers),
    "asked": lambda made, _: len(made.list_service_counts()["calls"]) == len(made.ports),
    "queue": lambda made, _: made.list_service_counts()["queued"] >= FULL,
}
SCRIPTS: dict[str, Script] = {
    "calm": Script("nothing fails", ()),
    "down-at-start": Script(
        "the service is down for the first 25 s", (Step("down", BEFORE), Step("up", 25.0)), "none"
    ),
    "half-fail": Script(
        "half of the calls get 503 for 20 s", (Step("fail", BEFORE, 0.5), Step("fail", 20.0, 0.0)), "none"
    ),
    "silent-watches": Script(
        "all watches fall silent, and an engine leaves",
        (
            Step("mute", event="known"),
            Step("leave", 0.2),
            Step("pass", 8.0),
        ),
    ),
    "half-answer": Script(
        "answers stop half-way for 10 s", (Step("half", BEFORE), Step("pass", 10.0)), "none"
    ),
    "crash-loop": Script("one router is killed every 2 s", tuple(Step("crash", 2.0) for _ in range(5))),
    "tenth-cut": Script(
        "a tenth of the routers is cut off from the service for 10 s",
        (Step("cut", BEFORE, 0.1), Step("pass", 10.0)),
        "none",
    ),
    "hang-up": Script(
        "SIGHUP to all routers at once, with another engine type: each must ask for the whole list anew",
        (Step("hang-up", event="known"),),
        until=("reloaded", "asked", "known", "served"),
    ),
    "restart-full": Script(
        "the service is restarted while calls wait", (Step("restart", event="queue"),), "none"
    ),
    "third-gone": Script("a third of the known list is gone", (Step("lose-engines", BEFORE, 1 / 3),)),
    "all-cold": Script("routers and engines all begin at once", (Step("chill", BEFORE),), "none", cold=True),
    "outage": Script(
        "the service is down for 5 s, with all watches open",
        (
            Step("down", event="known"),
            Step("up", 5.0),
        ),
    ),
    "all-killed": Script("all routers are killed and begun anew", (Step("crash-all", event="known"),)),
    "no-leader": Script(
        "two of three members of the store stand still for the first 5 s, and the routers follow it",
        (Step("stop-members", BEFORE, 2), Step("wake-members", 5.0, 2)),
        members=True,
    ),
}


def follower_config(made: Cluster, router: int) -> str:
    """The operator's file of a router that follows the cluster's store; empty where there is none."""
    if made.members is None:
        return ""
    return f"[fleet]\nmembers = {json.dumps(made.members.fronts[router])}\nperiod_ms = 200\n"


def cluster_options(
    script: Script, engines: int, rate: float, routers: int, known: str = ""
) -> dict[str, Any]:
    """What a cluster needs for a script, as options of `Cluster`; a rate of 0: by WORK_S."""
    return {
        "operator": follower_config,
        "gates": False,
        "control": False,
        "at_once": True,
        "known": known or script.known,
        "members": script.members,
        "rate": rate or routers / WORK_S,
        "figures": ColdEngineParameters(per_s=max(4.0, 4.0 * routers / engines)) if script.cold else None,
    }


def run_script(
    made: Cluster,
    script: Script,
    pace: float = 1.0,
    pause_s: float = PAUSE_S,
    steady_s: int = 0,
    least_s: float = 0.0,
    begin: bool = True,
) -> dict[str, Any]:
    """Start the routers of a prepared cluster under load, play the script's faults, tell what each saw.

    `pace`: times of steps are multiplied with it. It ends when all routers know the newest list and have
    served, or `within_s` after the last step and the time the service needs to answer them; then `steady_s`
    on, and `least_s` after the routers' begin at least. Without `begin`, routers that run already are played
    on, those that a script before this one began: calls and seconds are counted from now on.
    """
    first = [step for step in script.steps if step.at == BEFORE]
    if begin:
        made.begin(lambda: [ACTIONS[step.action](made, step.value) for step in first])
    elif first:
        raise CommandFailed(
            first[0].action, "this fault lies before the routers' begin: play it with `begin`"
        )
    else:
        made.mark_begin()
    load = Load(made, pause_s=pause_s)
    try:
        missed = []
        for step in script.steps:
            if step.at != BEFORE:
                if step.event and not _until(partial(EVENTS[step.event], made, load), EVENT_S):
                    missed.append(step.event)
                time.sleep(step.at * pace)
                ACTIONS[step.action](made, step.value)
        last = time.time()
        need = len(made.ports) / made.rate if made.rate else 0.0
        _until(lambda: all(EVENTS[name](made, load) for name in script.until), script.within_s + need)
        known = made.up_to_date_routers()
        ended = time.time()
        time.sleep(max(steady_s, least_s - (time.time() - made.begun_unix_s)))
    finally:
        load.stop()
    return collect_results(made, load, steady_s) | {
        "about": script.about,
        "routers": len(made.ports),
        "rate": made.rate,
        "events_missed": missed,
        "unknowing": sorted(set(range(len(made.ports))) - set(known)),
        "known_s": round(ended - made.begun_unix_s, 2),
        "known_after_last_step_s": round(ended - last, 2),
    }


def _until(true: Callable[[], bool], seconds: float) -> bool:
    """Wait for it; whether it came."""
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            return False
        time.sleep(LOOK_S)
    return True


def collect_results(made: Cluster, load: Load, steady_s: int = 0) -> dict[str, Any]:
    """What each process saw since the routers began, the last `steady_s` of which are steady.

    `unexpected` counts those of processes that were killed as well.
    """
    service = made.list_service_counts()
    begun = made.begun_monotonic_s
    routers = {}
    for n, process in enumerate(made.routers):
        answers = [one for one in list(load.answers) if one.router == n]
        served = [one.ended_at - begun for one in answers if one.status == 200]
        early = next((at for at, one in enumerate(answers) if one.status), len(answers))  # it did not listen
        answers, broken = answers[early:], process.events("watch_broken")
        routers[f"r{n}"] = {
            "calls": service["calls"].get(f"r{n}", 0),
            "failed": service["failed"].get(f"r{n}", 0),
            "first_list_s": _rounded(service["first_s"].get(f"r{n}")),
            "watches_broken": len(broken),
            "why": dict(Counter(one["why"] for one in broken)),
            "reloaded": len(process.events("reloaded")),
            "unexpected": len(process.events("unexpected")),
            "serving": max([0, *[one["serving"] for one in process.events("destinations")[-1:]]]),
            "first_served_s": _rounded(min(served, default=None)),
            "slowest_refused_ms": max([0, *(round(one.duration_ms) for one in answers if one.status == 503)]),
            "early": early,
            "answers": dict(Counter(str(one.status) for one in answers)),
        }
    goodput: Counter[int] = Counter(
        int(one.ended_at - begun) for one in list(load.answers) if one.status == 200
    )
    by_second = [goodput[second] for second in range(max(goodput, default=-1) + 1)]
    return {
        "goodput": by_second,
        "retry_after_missing": load.retry_after_missing,
        "unexpected": sum(len(process.events("unexpected")) for process in made.processes),
        "service": service_results(service),
        "of_routers": routers,
        "of_engines": engine_results(made, steady_s),
    }


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


def service_results(service: dict[str, Any]) -> dict[str, Any]:
    """The list service's account."""
    calls, failed = sum(service["calls"].values()), sum(service["failed"].values())
    seconds = service["seconds"].get("calls", {})
    return {
        "calls": calls,
        "failed": failed,
        "failed_share": round(failed / max(1, calls), 4),
        "longest": service["longest"],
        "longest_s": round(service["longest_s"], 2),
        "busiest_second": max(seconds.values(), default=0),
        "lines": sum(service["lines"].values()),
        "reset": service["reset"],
        "last_list_s": _rounded(max(service["first_s"].values(), default=None)),
    }


def engine_results(made: Cluster, steady_s: int = 0) -> dict[str, Any]:
    """What each engine was sent: in all, in its busiest second, and in each of the `steady_s` last ones."""
    found = {}
    ended = int(time.monotonic() - made.begun_monotonic_s)
    for name, one in zip(made.engine_names, made.counts(), strict=True):
        found[name] = {key: one[key] for key in ("falls", "fallen", "refused", "full")}
        for kind in ("handshakes", "probes", "work"):
            its = one["seconds"].get(kind, {})
            found[name][kind] = {
                "sum": round(sum(its.values()), 1),
                "busiest": round(max(its.values(), default=0.0), 1),
                "routers": len(one["by_router"].get(kind, {})),
            }
            if steady_s:
                steady = sum(much for second, much in its.items() if ended - steady_s <= int(second) < ended)
                found[name][kind]["steady"] = steady / steady_s
    return found


def passed(found: dict[str, Any]) -> bool:
    """Whether all know, nothing fell, and nothing happened that nothing foresaw."""
    return (
        not found["unknowing"]
        and not any(one["falls"] for one in found["of_engines"].values())
        and not found["unexpected"]
    )


def format_results(name: str, found: dict[str, Any]) -> str:
    """For people: the service, each router, each engine."""
    service = found["service"]
    lines = [
        f"{name}: {found['about']}; {found['routers']} routers, {found['rate']:g} calls a second",
        f"NEVER KNEW: {found['unknowing']}"
        if found["unknowing"]
        else f"all know the newest list {found['known_s']} s after the start, "
        f"{found['known_after_last_step_s']} s after the last step",
        "service: " + ", ".join(f"{key} {value}" for key, value in service.items()),
        f"{'router':8}{'calls':>6}{'failed':>7}{'broken':>7}{'list s':>8}{'served s':>9}  answers",
    ]
    for router, one in found["of_routers"].items():
        answers = " ".join(f"{status}:{count}" for status, count in sorted(one["answers"].items()))
        lines.append(
            f"{router:8}{one['calls']:6}{one['failed']:7}{one['watches_broken']:7}"
            f"{one['first_list_s'] or '-':>8}{one['first_served_s'] or '-':>9}  {answers}"
        )
    lines.append(f"{'engine':8}{'falls':>6}{'refused':>8}   handshakes, probes, work: sum (busiest second)")
    for engine, one in found["of_engines"].items():
        sums = ", ".join(
            f"{one[kind]['sum']:g} ({one[kind]['busiest']:g})" for kind in ("handshakes", "probes", "work")
        )
        lines.append(f"{engine:8}{one['falls']:6}{one['refused']:8}   {sums}")
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Play one script; the exit status."""
    names = ", ".join(SCRIPTS)
    about = f"NAME: one of {names}."
    arguments = argparse.ArgumentParser(prog="python -m spoolbarrow.lab.fault_script", description=about)
    arguments.add_argument("name", choices=SCRIPTS, metavar="NAME")
    arguments.add_argument("--routers", type=int, default=16)
    arguments.add_argument("--engines", type=int, default=0, help="0: one for each two routers")
    arguments.add_argument("--rate", type=float, default=0.0, help="calls a second; 0: routers in 4 s")
    arguments.add_argument("--known", choices=INITIAL_LISTS, default="", help="else as the script says")
    arguments.add_argument("--pace", type=float, default=1.0, help="times of steps are multiplied with it")
    arguments.add_argument("--json", action="store_true")
    asked = arguments.parse_args(argv)
    end_all_at_sigterm()
    script = SCRIPTS[asked.name]
    if asked.routers < 1 or asked.engines < 0 or asked.rate < 0 or asked.pace <= 0:
        arguments.error("--routers and --pace must be positive, --engines and --rate not negative")
    engines = asked.engines or max(1, asked.routers // EACH)
    with tempfile.TemporaryDirectory() as folder:
        made = Cluster(
            Path(folder),
            {"a": engines},
            ["a"] * asked.routers,
            **cluster_options(script, engines, asked.rate, asked.routers, asked.known),
        )
        try:
            made.prepare()
            found = run_script(made, script, asked.pace)
        finally:
            made.end(kill=True)
    print(json.dumps(found) if asked.json else format_results(asked.name, found))
    return 0 if passed(found) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
