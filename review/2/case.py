"""Clients use the ids of others' open requests while the router is upgraded: are they served?"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Answer,
    CannotRun,
    Client,
    Discovery,
    Engine,
    Held,
    Record,
    Router,
    main,
    settings,
)

ENGINES, CLIENTS, BAD = 8, 12, 3
KILL_S = 3.7  # after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
EVENTS, GAP_MS = 60, 100.0  # of a long answer: a token each 100 ms


async def play(folder: Path, record: Record, trouble: bool) -> bool:
    """Whether a client was served with the id of a request that another client had open."""
    rng, discovery = random.Random(11), Discovery()
    await discovery.start()
    engines = [Engine(f"e{n}", record, rng) for n in range(ENGINES)]
    for engine in engines:
        engine.first_ms, engine.events, engine.gap_ms = 300.0, EVENTS, GAP_MS
        await engine.start()
        discovery.put(engine.name, engine.port)
    held, set_to = Held(folder), settings()
    set_to["Specifics"]["Resume"] = False  # a broken stream is lost to its client
    processes = [
        held.give(Router(folder, "n0", record, discovery.port, set_to, discovery.whole()), tag)
        for tag in ("old", "new")
    ]
    old, new = processes
    over = asyncio.Event()
    unanswered: dict[str, float] = {}  # ids of usual clients' requests without a whole answer, and since when
    lost: list[str] = []
    wrongly: list[str] = []
    counts = {"usual": 0, "whole": 0, "misused": 0, "refused": 0}

    async def converse(number: int) -> None:
        client, said = Client(held.port), 0
        await asyncio.sleep(0.4 * number)
        while not over.is_set():
            said += 1
            name = f"u{number:02d}-{said:03d}"
            unanswered[name] = time.monotonic()
            fields = {"X_Service_Class": "doc-summary", "X_Session_Key": f"{rng.getrandbits(63):x}"}
            answer = await client.ask(name, 15000, 40.0, **fields)
            del unanswered[name]
            counts["usual"] += 1
            counts["whole"] += answer.whole and answer.status == 200
            record.note("usual", id=name, status=answer.status, whole=answer.whole, error=answer.error)
            engine_ended = any(name in engine.whole for engine in engines)
            if answer.status == 200 and not answer.whole:
                lost.append(name)
                record.note("LOST", id=name, engine_ended=engine_ended, events=len(answer.contents()))
            elif answer.status == 0:
                lost.append(name)
                record.note("LOST", id=name, error=answer.error)
            await asyncio.sleep(rng.uniform(0.1, 0.5))
        client.close()

    async def misuse() -> None:
        while not over.is_set():
            await asyncio.sleep(rng.uniform(0.1, 0.3))
            asked_at = time.monotonic()
            names = [name for name, since in unanswered.items() if asked_at - since > 0.5]
            if not names:
                continue
            name, client, answer = rng.choice(names), Client(held.port), Answer()
            since = unanswered[name]
            fields = {"X_Service_Class": "doc-summary", "X_Session_Key": "ff"}
            asking = asyncio.create_task(client.ask(name, 15000, 40.0, answer, **fields))
            # An error or a close is due within 3 s. What has an event of an answer is served.
            while not (asking.done() or answer.contents()) and time.monotonic() < asked_at + 3.0:
                await asyncio.sleep(0.02)
            is_open = unanswered.get(name) == since
            counts["misused"] += 1
            counts["refused"] += answer.status >= 400
            record.note("misuse", id=name, status=answer.status, owner_open=is_open)
            if answer.status == 200 and answer.contents() and is_open:
                wrongly.append(name)
                record.note("SERVED", id=name, events=answer.contents()[:2])
                asking.add_done_callback(lambda _, one=client: one.close())
            else:
                asking.cancel()
                client.close()

    try:
        await old.start()
        await held.wait_ready(old)
        clients = [asyncio.create_task(converse(n)) for n in range(CLIENTS)]
        clients += [asyncio.create_task(misuse()) for _ in range(BAD)]
        await asyncio.sleep(8.0)
        if trouble:
            await new.start()
            await held.wait_ready(new)
            old.send(signal.SIGTERM)
            assert old.process is not None
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(old.process.wait(), KILL_S)
            await old.end()
        else:
            await asyncio.sleep(KILL_S)
        await asyncio.sleep(2.0)
        over.set()
        await asyncio.gather(*clients)
    finally:
        for router in processes:
            await router.end()
        for listener in (discovery, *engines):
            listener.close()
    if counts["whole"] < 12:
        raise CannotRun(f"few answers: {counts}")
    record.say(
        f"{counts}; served with the id of another's open request: {len(wrongly)} {wrongly[:6]};"
        f" usual clients whose streams were cut: {len(lost)} {lost[:6]}"
    )
    return bool(wrongly)


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
