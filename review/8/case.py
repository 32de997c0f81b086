"""One `store put` whose answer is lost must not be written a second time over another operator's change."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins2 as s  # noqa: E402

MEMBERS = ("m0", "m1", "m2")
KEY = "pool"


async def call(port: int, path: str) -> tuple[int, dict[str, object]]:
    """Read from a member; status 0 if there is no answer within 1 s."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(s.HOST, port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: store\r\n\r\n".encode())
            first, fields = await s.read_head(reader)
            text = await reader.readexactly(int(fields["content-length"]))
            writer.close()
            return int(first.split(" ")[1]), json.loads(text)
    except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
        return 0, {}


async def case(record: s.Record, platform: s.Platform) -> list[str]:
    """Operator A changes a document, and the member that leads is cut off; operator B changes it after A."""
    listen = {name: s.free_port() for name in MEMBERS}
    control = {name: s.free_port() for name in MEMBERS}
    named = " ".join(f"--member {name}={s.HOST}:{port}" for name, port in listen.items())
    processes = {
        name: platform.start(
            f"store serve --name {name} {named} --listen {s.HOST}:{listen[name]}"
            f" --control {s.HOST}:{control[name]} --directory {platform.folder}"
        )
        for name in MEMBERS
    }
    leader = ""
    for _ in range(100):
        await asyncio.sleep(0.1)
        for name in MEMBERS:
            if (await call(control[name], "/v1/status"))[1].get("role") == "leader":
                leader = name
        if leader:
            break
    else:
        raise s.NotRun("no leader")
    others = [name for name in MEMBERS if name != leader]
    record("the leader is", leader)

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The network between operator A and the member that leads."""
        member_reader, member_writer = await asyncio.open_connection(s.HOST, control[leader])

        async def send_on() -> None:
            while data := await reader.read(65536):
                member_writer.write(data)

        sending = asyncio.create_task(send_on())
        while data := await member_reader.read(65536):
            if s.TROUBLE:
                record(leader, "is cut off as its answer leaves:", data.split(b"\r\n")[0].decode())
                processes[leader].send_signal(signal.SIGSTOP)
                await asyncio.sleep(60.0)  # nothing is said
            writer.write(data)
            await writer.drain()
        sending.cancel()

    front = s.free_port()
    server = await s.serve(front, relay)
    seen: dict[int, str] = {}  # value of the document by its revision

    async def look() -> int:
        """Note the document as the members have it; its newest revision."""
        for name in others:
            status, found = await call(control[name], f"/v1/store/{KEY}")
            if status == 200 and found["revision"] not in seen:
                seen[int(str(found["revision"]))] = str(found["value"])
                record(name, "has", found)
        return max(seen, default=0)

    def put(value: str, at: list[int], more: str, log: str) -> subprocess.Popen[bytes]:
        (platform.folder / value).write_text(value)
        members = " ".join(f"--at {s.HOST}:{port}" for port in at)
        return platform.start(f"store put {members} {more} {KEY} {platform.folder / value}", log)

    first = put("A", [front, *(control[name] for name in others)], "", "a")
    while not await look():
        await asyncio.sleep(0.1)
    status_b = 1
    for _ in range(20):  # until the others have a leader again
        second = put("B", [control[name] for name in others] + [control[leader]] * (not s.TROUBLE),
                     f"--expect {await look()}", "b")  # fmt: skip
        while second.poll() is None:
            await asyncio.sleep(0.05)
        status_b = second.returncode
        if status_b == 0:
            break
        await asyncio.sleep(0.3)
    await look()
    record("operator B's change: exit status", status_b)
    while first.poll() is None:
        await asyncio.sleep(0.1)
    record("operator A's change: exit status", first.returncode)
    for log in ("a", "b"):
        for line in (platform.folder / log).read_text().splitlines():
            record("operator", log.upper(), "reads:", line)
    for _ in range(10):
        await asyncio.sleep(0.2)
        await look()
    server.close()
    revisions = sorted(revision for revision, value in seen.items() if value == "A")
    if status_b != 0 or not revisions:
        raise s.NotRun("operator B's change was not taken")
    if len(revisions) < 2:
        return []
    return [f"operator A's one change is written at revisions {revisions}, over B's, which was answered yes"]


if __name__ == "__main__":
    sys.exit(s.run(HERE, case))
