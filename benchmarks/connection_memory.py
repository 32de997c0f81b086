"""Measures what a client connection costs a router's process in memory, in each state that it can rest in.

    python benchmarks/connection_memory.py [--short]

A router without a tight limit gets `CONNECTIONS` clients (100 in the short form) in one state at a time. The
figure is the growth of its private resident memory by their number. Each state runs in a new process.
`holds`: no state costs more than the router charges for it (`spoolbarrow/net/memory_account.py`).
"""

from __future__ import annotations

import argparse
import json
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow.lab.cluster import LISTEN, cluster  # noqa: E402
from spoolbarrow.net.memory_account import (  # noqa: E402
    CONNECTION_BYTES,
    FIELD_BYTES,
    INPUT_BYTES,
    MESSAGE_BYTES,
    READER_BYTES,
    REQUEST_BYTES,
)

CONNECTIONS, SHORT_CONNECTIONS = 400, 100
SETTLE_S = 1.0  # less than any time-out of a half-read request
LIMITS = {"cores": 1.0, "memory_mb": 192.0, "sockets": 1024}
BODY_BYTES, VALUE_BYTES = 10_000, 4000
FIELDS = 8  # of `head`


def head(id: int, facts: str = "lab_first=4000", length: int = 2) -> bytes:
    """A request's head."""
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\n"
        f"X-Correlation-Id: m{id}\r\nX-Service-Class: chat\r\nX-Account: acme\r\nX-Session-Key: {id:x}\r\n"
        f"X-Time-Left-Ms: 5000\r\nX-Facts: prompt_len=40,max_out=8,{facts}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


HEAD_BYTES = FIELDS * FIELD_BYTES + len(head(0))
READING_BYTES = CONNECTION_BYTES + INPUT_BYTES + MESSAGE_BYTES
IN_FLIGHT_BYTES = CONNECTION_BYTES + MESSAGE_BYTES + HEAD_BYTES + REQUEST_BYTES
# By state: what a client sends, and what the router charges for it.
STATES: dict[str, tuple[Callable[[int], bytes], int]] = {
    "idle": (lambda id: b"", CONNECTION_BYTES),
    "half a head": (lambda id: head(id)[:-20], READING_BYTES + HEAD_BYTES),
    "half a long field": (
        lambda id: head(id)[:-2] + b"X-Long: " + b"y" * VALUE_BYTES,
        READING_BYTES + HEAD_BYTES + 3 * VALUE_BYTES,
    ),
    "half a body": (
        lambda id: head(id, length=2 * BODY_BYTES) + b"x" * BODY_BYTES,
        READING_BYTES + HEAD_BYTES + BODY_BYTES,
    ),
    "in flight": (lambda id: head(id) + b"{}", IN_FLIGHT_BYTES),
    "in flight, more sent": (lambda id: (head(id) + b"{}") * 2, IN_FLIGHT_BYTES + INPUT_BYTES + READER_BYTES),
    "told to go": (
        lambda id: b"GET /nowhere HTTP/1.1\r\n\r\n",
        CONNECTION_BYTES + INPUT_BYTES + MESSAGE_BYTES + READER_BYTES,
    ),
}


def private_bytes(pid: int) -> int:
    """The private resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("RssAnon:")[1].split()[0]) * 1024


def measure(sent: Callable[[int], bytes], connections: int) -> int:
    """The cost of a connection on which this was sent, bytes."""
    with tempfile.TemporaryDirectory() as folder:
        running = cluster(Path(folder), {"a": 4}, ["a"], gates=False, control=False, limits=LIMITS)
        with running as made:
            made.engines.send_command("* asked")
            pid = made.routers[0].popen.pid
            time.sleep(SETTLE_S)
            before = private_bytes(pid)
            clients = [socket.create_connection((LISTEN, made.ports[0])) for _ in range(connections)]
            for id, client in enumerate(clients):
                client.sendall(sent(id))
            time.sleep(SETTLE_S)
            cost = (private_bytes(pid) - before) // connections
            for client in clients:
                client.close()
            return cost


def main() -> int:
    """Print the cost of each state, and the result as JSON on the last line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    connections = SHORT_CONNECTIONS if parser.parse_args().short else CONNECTIONS
    figures = {}
    for state, (sent, charged) in STATES.items():
        cost = measure(sent, connections)
        figures[state] = {"bytes": cost, "charged": charged}
        print(f"{state:24} {cost:8} bytes a connection, charged {charged}")
    holds = all(figure["bytes"] <= figure["charged"] for figure in figures.values())
    print(json.dumps({"name": "connection_memory", "holds": holds, "states": figures}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
