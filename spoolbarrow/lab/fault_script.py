"""Fault scripts: runs named faults of a fleet's start on real processes and collects what each process saw.

    python -m spoolbarrow.lab.fault_script NAME [--routers N] [--engines N] [--rate R] [--known LIST]
        [--pace X]

A script is a table of steps, each a fault at an event or time. `run_script` runs it for tests, benchmarks and
this command. By default the service's rate lets it answer all routers once in FULL_ROUND_S. Exit status 1 if
a router did not know the latest list in time, an engine crashed, or a router logged an unexpected error; 2
for invalid arguments.
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

BEFORE = -1.0  # time of a step: just before the routers start
FULL_ROUND_S = 4.0  # time for the service to answer each router once, without a given rate
EVENT_TIMEOUT_S = 20.0  # maximum wait for an event
POLL_INTERVAL_S = 0.1
MIN_QUEUED_CALLS = 3  # calls in the queue for the event `queue`
PAUSE_S = 0.5  # between requests of each router's client
ROUTERS_PER_ENGINE = 2  # at least one engine


class Step(NamedTuple):
    """Start or end of a fault."""

    action: str  # of ACTIONS
    at: float = 0.0  # s after the previous step, or after `event`; BEFORE: before the routers start
    value: float = 0.0
    event: str = ""  # of EVENTS; waited for first


class Script(NamedTuple):
    """A fault scenario of a fleet's start."""

    about: str
    steps: tuple[Step, ...]
    known: str = "old"  # list that routers start with, of cluster.INITIAL_LISTS
    cold: bool = False  # engines start too, in slow start
    members: bool = False  # with store members
    until: tuple[str, ...] = ("known", "served")  # of EVENTS; all must occur at the end
    within_s: float = 20.0  # maximum time for `until` after the last step, beyond what the service needs


def _set_mode_of_all(mode: str) -> Callable[[Cluster, float], object]:
    return lambda made, _: made.service.send_command(f"* {mode}")


def _service_command(command: str) -> Callable[[Cluster, float], object]:
    return lambda made, _: made.service.send_command(command)


def _cut_off(made: Cluster, share: float) -> None:
    chosen = range(ceil(share * len(made.ports)))
    made.service.send_command(f"{','.join(map(str, chosen))} cut")


def _restart_router(made: Cluster, router: float) -> None:
    made.kill_router(int(router))
    made.routers[int(router)] = made.start_router(int(router))


def _lose_engines(made: Cluster, share: float) -> None:
    made.unlisted = set(range(ceil(share * len(made.engine_names))))
    made.engines.send_command(f"{','.join(map(str, sorted(made.unlisted)))} down")
    made.publish_list()


def _unlist(made: Cluster, engine: float) -> None:
    made.unlisted.add(int(engine))
    made.publish_list()


def _send_sighup(made: Cluster, _: float) -> None:
    # Changes the meaning of the old list's lines, so that all routers request the whole list again.
    made.configure({"Skus": ["m", "n"]})
    made.send_sighup(range(len(made.ports)))


def _members(method: str) -> Callable[[Cluster, float], object]:
    def play(made: Cluster, count: float) -> None:
        assert made.members is not None, "the cluster needs store members"
        for member in range(int(count)):
            getattr(made.members, method)(member)

    return play


ACTIONS: dict[str, Callable[[Cluster, float], object]] = {
    "down": _service_command("down"),
    "up": _service_command("up"),
    "restart": _service_command("restart"),
    "fail": lambda made, share: made.service.send_command(f"fail {share}"),
    "mute": _set_mode_of_all("mute"),
    "half": _set_mode_of_all("half"),
    "pass": _set_mode_of_all("pass"),
    "cut": _cut_off,
    "crash": _restart_router,
    "crash-all": lambda made, _: made.restart_routers(range(len(made.ports))),
    "hang-up": _send_sighup,
    "lose-engines": _lose_engines,
    "leave": _unlist,
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
    "queue": lambda made, _: made.list_service_counts()["queued"] >= MIN_QUEUED_CALLS,
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
        "all watches become idle, and an engine leaves",
        (
            Step("mute", event="known"),
            Step("leave", 0.2),
            Step("pass", 8.0),
        ),
    ),
    "half-answer": Script(
        "responses stop half-way for 10 s", (Step("half", BEFORE), Step("pass", 10.0)), "none"
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
    "third-gone": Script(
        "a third of the engines in the known list is gone", (Step("lose-engines", BEFORE, 1 / 3),)
    ),
    "all-cold": Script("all routers and engines start at once", (Step("chill", BEFORE),), "none", cold=True),
    "outage": Script(
        "the service is down for 5 s, with all watches open",
        (
            Step("down", event="known"),
            Step("up", 5.0),
        ),
    ),
    "all-killed": Script("all routers are killed and restarted", (Step("crash-all", event="known"),)),
    "no-leader": Script(
        "two of three store members are stopped for the first 5 s, and the routers follow the store",
        (Step("stop-members", BEFORE, 2), Step("wake-members", 5.0, 2)),
        members=True,
    ),
}


def follower_config(made: Cluster, router: int) -> str:
    """The operator file of a router that follows the cluster's store; empty without a store."""
    if made.members is None:
        return ""
    return f"[fleet]\nmembers = {json.dumps(made.members.fronts[router])}\nperiod_ms = 200\n"


def cluster_options(
    script: Script, engines: int, rate: float, routers: int, known: str = ""
) -> dict[str, Any]:
    """The options of `Cluster` for a script; a rate of 0 is derived from FULL_ROUND_S."""
    return {
        "operator": follower_config,
        "gates": False,
        "control": False,
        "at_once": True,
        "known": known or script.known,
        "members": script.members,
        "rate": rate or routers / FULL_ROUND_S,
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
    """Start the routers of a prepared cluster under load and run the script's faults; what each process saw.

    `pace`: factor for the times of steps. It ends when all routers know the latest list and have served, or
    `within_s` after the last step and the time the service needs to answer them; then `steady_s` later, and
    at least `least_s` after the routers' start. Without `begin`, the routers run already, started by a
    previous script: calls and seconds are counted from now on.
    """
    before_start = [step for step in script.steps if step.at == BEFORE]
    if begin:
        made.begin(lambda: [ACTIONS[step.action](made, step.value) for step in before_start])
    elif before_start:
        raise CommandFailed(
            before_start[0].action, "this fault comes before the routers start: run it with `begin`"
        )
    else:
        made.mark_begin()
    load = Load(made, pause_s=pause_s)
    try:
        missed_events = []
        for step in script.steps:
            if step.at != BEFORE:
                if step.event and not _wait_for(partial(EVENTS[step.event], made, load), EVENT_TIMEOUT_S):
                    missed_events.append(step.event)
                time.sleep(step.at * pace)
                ACTIONS[step.action](made, step.value)
        last = time.time()
        needed_s = len(made.ports) / made.rate if made.rate else 0.0
        _wait_for(lambda: all(EVENTS[name](made, load) for name in script.until), script.within_s + needed_s)
        known = made.up_to_date_routers()
        ended = time.time()
        time.sleep(max(steady_s, least_s - (time.time() - made.begun_unix_s)))
    finally:
        load.stop()
    return collect_results(made, load, steady_s) | {
        "about": script.about,
        "routers": len(made.ports),
        "rate": made.rate,
        "events_missed": missed_events,
        "unknowing": sorted(set(range(len(made.ports))) - set(known)),
        "known_s": round(ended - made.begun_unix_s, 2),
        "known_after_last_step_s": round(ended - last, 2),
    }


def _wait_for(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait for a condition; whether it became true in time."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True


def collect_results(made: Cluster, load: Load, steady_s: int = 0) -> dict[str, Any]:
    """What each process saw since the routers started; the last `steady_s` count as the steady state.

    `unexpected` includes the errors of processes that were killed.
    """
    service = made.list_service_counts()
    begun = made.begun_monotonic_s
    routers = {}
    for n, process in enumerate(made.routers):
        answers = [one for one in list(load.answers) if one.router == n]
        served = [one.ended_at - begun for one in answers if one.status == 200]
        # attempts before the router listened
        early = next((at for at, one in enumerate(answers) if one.status), len(answers))
        answers, broken = answers[early:], process.events("watch_broken")
        routers[f"r{n}"] = {
            "calls": service["calls"].get(f"r{n}", 0),
            "failed": service["failed"].get(f"r{n}", 0),
            "first_list_s": _round(service["first_s"].get(f"r{n}")),
            "watches_broken": len(broken),
            "why": dict(Counter(one["why"] for one in broken)),
            "reloaded": len(process.events("reloaded")),
            "unexpected": len(process.events("unexpected")),
            "serving": max([0, *[one["serving"] for one in process.events("destinations")[-1:]]]),
            "first_served_s": _round(min(served, default=None)),
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


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


def service_results(service: dict[str, Any]) -> dict[str, Any]:
    """Results of the list service."""
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
        "last_list_s": _round(max(service["first_s"].values(), default=None)),
    }


def engine_results(made: Cluster, steady_s: int = 0) -> dict[str, Any]:
    """What each engine received: in total, in its busiest second, and per second in the last `steady_s`."""
    results = {}
    ended = int(time.monotonic() - made.begun_monotonic_s)
    for name, counts in zip(made.engine_names, made.counts(), strict=True):
        results[name] = {key: counts[key] for key in ("falls", "fallen", "refused", "full")}
        for kind in ("handshakes", "probes", "work"):
            by_second = counts["seconds"].get(kind, {})
            results[name][kind] = {
                "sum": round(sum(by_second.values()), 1),
                "busiest": round(max(by_second.values(), default=0.0), 1),
                "routers": len(counts["by_router"].get(kind, {})),
            }
            if steady_s:
                steady = sum(
                    amount for second, amount in by_second.items() if ended - steady_s <= int(second) < ended
                )
                results[name][kind]["steady"] = steady / steady_s
    return results


def passed(results: dict[str, Any]) -> bool:
    """Whether all routers know the list, no engine crashed and no unexpected error occurred."""
    return (
        not results["unknowing"]
        and not any(one["falls"] for one in results["of_engines"].values())
        and not results["unexpected"]
    )


def format_results(name: str, results: dict[str, Any]) -> str:
    """A readable report: the service, each router, each engine."""
    service = results["service"]
    lines = [
        f"{name}: {results['about']}; {results['routers']} routers, {results['rate']:g} calls a second",
        f"WITHOUT THE LATEST LIST: {results['unknowing']}"
        if results["unknowing"]
        else f"all know the latest list {results['known_s']} s after the start, "
        f"{results['known_after_last_step_s']} s after the last step",
        "service: " + ", ".join(f"{key} {value}" for key, value in service.items()),
        f"{'router':8}{'calls':>6}{'failed':>7}{'broken':>7}{'list s':>8}{'served s':>9}  answers",
    ]
    for router, one in results["of_routers"].items():
        answers = " ".join(f"{status}:{count}" for status, count in sorted(one["answers"].items()))
        lines.append(
            f"{router:8}{one['calls']:6}{one['failed']:7}{one['watches_broken']:7}"
            f"{one['first_list_s'] or '-':>8}{one['first_served_s'] or '-':>9}  {answers}"
        )
    lines.append(f"{'engine':8}{'falls':>6}{'refused':>8}   handshakes, probes, work: sum (busiest second)")
    for engine, one in results["of_engines"].items():
        sums = ", ".join(
            f"{one[kind]['sum']:g} ({one[kind]['busiest']:g})" for kind in ("handshakes", "probes", "work")
        )
        lines.append(f"{engine:8}{one['falls']:6}{one['refused']:8}   {sums}")
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Run one script; the exit status."""
    names = ", ".join(SCRIPTS)
    description = f"NAME: one of {names}."
    arguments = argparse.ArgumentParser(
        prog="python -m spoolbarrow.lab.fault_script", description=description
    )
    arguments.add_argument("name", choices=SCRIPTS, metavar="NAME")
    arguments.add_argument("--routers", type=int, default=16)
    arguments.add_argument("--engines", type=int, default=0, help="0: one per two routers")
    arguments.add_argument("--rate", type=float, default=0.0, help="calls per second; 0: all routers in 4 s")
    arguments.add_argument("--known", choices=INITIAL_LISTS, default="", help="default: as the script says")
    arguments.add_argument("--pace", type=float, default=1.0, help="factor for the times of steps")
    arguments.add_argument("--json", action="store_true")
    options = arguments.parse_args(argv)
    end_all_at_sigterm()
    script = SCRIPTS[options.name]
    if options.routers < 1 or options.engines < 0 or options.rate < 0 or options.pace <= 0:
        arguments.error("--routers and --pace must be positive, --engines and --rate not negative")
    engines = options.engines or max(1, options.routers // ROUTERS_PER_ENGINE)
    with tempfile.TemporaryDirectory() as folder:
        made = Cluster(
            Path(folder),
            {"a": engines},
            ["a"] * options.routers,
            **cluster_options(script, engines, options.rate, options.routers, options.known),
        )
        try:
            made.prepare()
            results = run_script(made, script, options.pace)
        finally:
            made.end(kill=True)
    print(json.dumps(results) if options.json else format_results(options.name, results))
    return 0 if passed(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
