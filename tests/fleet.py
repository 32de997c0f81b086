"""Several processes of the program on loopback: stand-in engines, a discovery, the fault proxy, routers.

    python -m tests.fleet engines SECONDS COUNT     prints the engines' ports, then serves them
    python -m tests.fleet discovery SECONDS FILE    prints its port, then serves the list in FILE, read anew

Every process ends by itself after SECONDS; the harness ends those it started, by id, before that.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
LIFE_S = 120.0  # of every process a test starts


# The stand-ins' side: run in processes of their own


def _serve(answer: Callable[[Any, Any], None]) -> Any:
    """A listener on a free port, answering each request by `answer`, as the benchmarks' stand-ins do."""
    import gevent
    import standin

    listener = standin.listen()
    gevent.spawn(standin.serve, listener, answer)
    return listener


def engines(seconds: float, count: int) -> None:
    """Engines that answer probes at once and stream four events 20 ms apart."""
    import gevent
    from standin import EVENT, HEAD, PLAIN, chunk

    def answer(sock: Any, message: Any) -> None:
        if message.method == b"GET":
            body = b"x1=0,load_share=0.1,x0=0.1"
            sock.sendall(PLAIN % (len(body), body))
            return
        sock.sendall(HEAD + chunk(EVENT))
        for _ in range(3):
            gevent.sleep(0.02)
            sock.sendall(chunk(EVENT))
        sock.sendall(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")

    listeners = [_serve(answer) for _ in range(count)]
    print(" ".join(str(one.getsockname()[1]) for one in listeners), flush=True)
    gevent.sleep(seconds)


def discovery(seconds: float, file: str) -> None:
    """The whole list as FILE holds it now; a watch is told it once and then kept open."""
    import gevent
    from standin import PLAIN

    def answer(sock: Any, message: Any) -> None:
        whole = Path(file).read_bytes()
        if b"stream=1" not in message.target:
            sock.sendall(PLAIN % (len(whole), whole))
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sock.sendall(b"%x\r\n%s\r\n" % (len(whole) + 1, whole + b"\n"))
        gevent.sleep(seconds)

    print(_serve(answer).getsockname()[1], flush=True)
    gevent.sleep(seconds)


# The harness's side: in the test's process


class Process:
    """A process of ours; its standard output and error are read as they come."""

    def __init__(self, *argv: str, env: dict[str, str] | None = None, stdin: bool = False) -> None:
        self.popen = subprocess.Popen(
            [sys.executable, *argv], cwd=ROOT, env={**os.environ, **(env or {})}, text=True,
            stdin=subprocess.PIPE if stdin else subprocess.DEVNULL,
            stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        )
        self.lines: list[str] = []  # of standard error: the log
        self.said: list[str] = []  # of standard output
        self._heard = threading.Condition()
        for stream, into in ((self.popen.stdout, self.said), (self.popen.stderr, self.lines)):
            threading.Thread(target=self._read, args=(stream, into), daemon=True).start()

    def _read(self, stream: IO[str] | None, into: list[str]) -> None:
        assert stream is not None
        for line in stream:
            with self._heard:
                into.append(line.rstrip("\n"))
                self._heard.notify_all()

    def wait_for(self, true: Callable[[], bool], seconds: float = 30.0) -> None:
        """Until something holds of what was read; AssertionError where the process ends or time runs out."""
        with self._heard:
            self._heard.wait_for(lambda: true() or self.popen.poll() is not None, seconds)
            if not true():
                raise AssertionError(f"never came true; last lines: {self.lines[-5:]}")

    def first_said(self) -> str:
        """The first line of standard output."""
        self.wait_for(lambda: bool(self.said))
        return self.said[0]

    def tell(self, line: str) -> str:
        """A line to standard input; the next line of output."""
        assert self.popen.stdin is not None
        count = len(self.said)
        self.popen.stdin.write(line + "\n")
        self.popen.stdin.flush()
        self.wait_for(lambda: len(self.said) > count)
        return self.said[count]

    def events(self, name: str) -> list[dict[str, Any]]:
        """Log lines of one event, as JSON."""
        with self._heard:
            lines = list(self.lines)
        told = [json.loads(line) for line in lines if line.startswith("{")]
        return [one for one in told if one.get("event") == name]

    def end(self) -> None:
        """By its id: SIGTERM, then SIGKILL where it does not end."""
        if self.popen.poll() is None:
            self.popen.terminate()
            try:
                self.popen.wait(10)
            except subprocess.TimeoutExpired:
                self.popen.kill()
                self.popen.wait()


def free_port() -> int:
    import socket

    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def router_config(name: str, zones: list[str], zone: int, discovery: int, port: int) -> dict[str, Any]:
    """A router's configuration; probes on, so that it hears of engines it sends little to."""
    chat = {"Name": "chat", "AimMs": 2000.0, "DeadlineMs": 5000.0, "Effect": "retryable", "Stream": True}
    settings = {
        "Balancers": 5, "Classes": [chat], "Tenants": [{"Name": "acme"}], "Zones": zones, "MyZone": zone,
        "Skus": ["m"], "TickMs": 2.0, "Discovery": "subscribe",
        "Stats": {"Fields": ["x1", "load_share", "x0"], "Via": "on_probe"},
        "Limits": {"MaxAttempts": 3, "RetryAfter": True, "Cancelling": True, "MaxRetryAfterMs": 2000.0,
                   "Probing": True, "ConnectTimeoutMs": 300.0},
    }
    return {"name": name, "listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery}", "seed": "8c1f",
            "settings": settings}


@contextmanager
def fleet(tmp: Path, zones: dict[str, int], routers: list[str], operator: str) -> Iterator[Any]:
    """Engines by zone behind the fault proxy (a listener an engine), a discovery, a router per zone named.

    Yields (routers, proxy, ports of the routers, names of the engines by zone).
    """
    started: list[Process] = []
    try:
        count = sum(zones.values())
        engine = Process("-m", "tests.fleet", "engines", str(LIFE_S), str(count))
        started.append(engine)
        proxy = Process("-m", "spoolbarrow.lab.proxy", str(LIFE_S), *engine.first_said().split(), stdin=True)
        started.append(proxy)
        fronts = proxy.first_said().split()
        lines: list[dict[str, str]] = []
        names: dict[str, list[str]] = {}
        for zone, many in zones.items():
            for _ in range(many):
                name = f"e{len(lines)}"
                names.setdefault(zone, []).append(name)
                where = f"{HOST}:{fronts[len(lines)]}"
                lines.append({"name": name, "address": where, "zone": zone, "type": "m"})
        listed = tmp / "list.json"
        listed.write_text(json.dumps({"index": 1, "snapshot": True, "endpoints": lines}))
        seen = Process("-m", "tests.fleet", "discovery", str(LIFE_S), str(listed))
        started.append(seen)
        port = int(seen.first_said())
        (tmp / "operator.toml").write_text(operator)
        ports, running = [], []
        order = list(zones)
        for number, zone in enumerate(routers):
            ports.append(free_port())
            path = tmp / f"r{number}.json"
            raw = router_config(f"r{number}", order, order.index(zone), port, ports[-1])
            path.write_text(json.dumps(raw))
            env = {"NODE_CONFIG": str(path), "SPOOLBARROW_OPERATOR": str(tmp / "operator.toml")}
            running.append(Process("-m", "spoolbarrow", env=env))
            started.append(running[-1])
        for router in running:
            router.wait_for(lambda r=router: bool(r.events("destinations")))  # type: ignore[misc]
        yield running, proxy, ports, names
    finally:
        for process in started:
            process.end()


if __name__ == "__main__":
    sys.path.insert(0, str(ROOT / "benchmarks"))  # the stand-ins' pieces
    {"engines": lambda: engines(float(sys.argv[2]), int(sys.argv[3])),
     "discovery": lambda: discovery(float(sys.argv[2]), sys.argv[3])}[sys.argv[1]]()
