"""Over an upgrade, the flow records of a connection must add up to what passed on it."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins2 as s  # noqa: E402

CLIENTS, ENGINES = 8, 7
BEFORE_S, AFTER_S = 6.0, 4.0  # traffic before the newer process starts, and after the older one has ended
SHARE = 0.01  # counts match within 1%
KILL_AFTER_S = 3.7  # SIGKILL after SIGTERM


async def case(record: s.Record, platform: s.Platform) -> list[str]:
    """Clients keep their connections over an upgrade; a collector adds up what it is told of each."""
    engines = [s.Engine(f"engine-{n}", record) for n in range(ENGINES)]
    for engine in engines:
        engine.events = 10
    servers = [await s.serve(engine.port, engine.handle) for engine in engines]
    discovery = s.free_port()
    listing = s.Discovery({engine.name: engine.port for engine in engines})
    servers.append(await s.serve(discovery, listing.handle))
    flows, config = s.free_port(), platform.folder / "config.json"
    operator = platform.folder / "operator.toml"
    operator.write_text(f'[flows]\ncollectors = ["tcp://{s.HOST}:{flows}"]\n')
    collector = platform.start(
        f"flows collect tcp://{s.HOST}:{flows} --format json --kind connection", "flows"
    )
    await asyncio.sleep(1.5)
    held = socket.socket()
    held.bind((s.HOST, s.free_port()))
    held.listen(128)
    listen = int(held.getsockname()[1])

    def start() -> subprocess.Popen[bytes]:
        control = s.free_port()
        s.write_config(config, listen, discovery, s.settings(), control=f"{s.HOST}:{control}")
        environment = {
            "NODE_CONFIG": str(config), "NODE_INHERITED_FD": "3", "SPOOLBARROW_OPERATOR": str(operator),
            "NODE_CONTROL": f"{s.HOST}:{control}",
        }  # fmt: skip
        # The platform's descriptor of the listener is 3 in each process that it starts.
        process = platform.start(
            environment=environment, close_fds=False, preexec_fn=lambda: _only_listener(held.fileno())
        )
        controls[process.pid] = control
        return process

    controls: dict[int, int] = {}
    older = start()
    await s.await_up(listen)
    counts: dict[str, list[int]] = {}
    ending, served = asyncio.Event(), 0

    async def client(number: int) -> None:
        nonlocal served
        connection, turn = s.CountingClient(listen, record, counts), 0
        while not ending.is_set():
            turn += 1
            tenant = ("cairn-credit", "lough-loans")[number % 2]
            got = await connection.ask(f"{number:04x}{turn:012x}", "doc-query", tenant, number + 1, 4000)
            served += got.status == 200 and got.whole
            await asyncio.sleep(0.25)
        connection.close()

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    if s.TROUBLE:
        newer = start()
        await _await_ready(controls[newer.pid])
        record("the newer process", newer.pid, "says yes; SIGTERM to", older.pid)
        older.send_signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S)
        if older.poll() is None:
            record("SIGKILL to", older.pid)
            older.kill()
    else:
        newer = older
        await asyncio.sleep(KILL_AFTER_S)
    await asyncio.sleep(AFTER_S)
    ending.set()
    await asyncio.gather(*clients)
    await asyncio.sleep(1.0)
    newer.send_signal(signal.SIGTERM)  # what is unreported is told now
    for _ in range(80):
        if newer.poll() is not None:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    collector.send_signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    told: dict[str, list[int]] = {}
    for line in (platform.folder / "flows").read_text().splitlines():
        if line.startswith("{"):
            row = json.loads(line)
            record("told", line)
            if row.get("side") == "client":
                sums = told.setdefault(row["source"], [0, 0])
                sums[0] += row["payload"]
                sums[1] += row["payload_back"]
    if served < 50 or not told:
        raise s.NotRun(f"{served} served, {len(told)} connections told")
    broken = []
    for source, (sent, received) in counts.items():
        sums = told.get(source, [0, 0])
        record("connection", source, "sent", sent, "received", received, "told", *sums)
        if abs(sums[0] - sent) > SHARE * sent or abs(sums[1] - received) > SHARE * received:
            broken.append(f"{source}: {sent} and {received} octets passed, {sums[0]} and {sums[1]} are told")
    return broken


def _only_listener(number: int) -> None:
    import os

    os.dup2(number, 3)
    os.closerange(4, 256)


async def _await_ready(control: int) -> None:
    for _ in range(60):
        try:
            reader, writer = await asyncio.open_connection(s.HOST, control)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: router\r\n\r\n")
            first, _ = await s.read_head(reader)
            writer.close()
            if " 200 " in first:
                return
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    raise s.NotRun("the newer process does not say yes")


if __name__ == "__main__":
    sys.exit(s.run(HERE, case))
