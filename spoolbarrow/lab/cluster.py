"""Several processes of the program on loopback: stand-in engines, discovery, fault proxy, routers, clients.

    python -m spoolbarrow.lab.cluster engines SECONDS COUNT       prints the engines' ports, then obeys
    python -m spoolbarrow.lab.cluster discovery SECONDS FILE...   a listener a file; its changes are told

Between each router and each engine, and before each router's discovery, stands a gate of the fault proxy of
its own, so that any router can be cut off from any of them. Engines obey lines on standard input: `INDEX
MODE [VALUE]`, the mode `well`, `error` (500), `full` (503, unprocessed, with VALUE as `Retry-After`) or
`slow MS` (to the first event); and `counts`, answered with what each has been sent. Every process ends by
itself after SECONDS; `Cluster` ends those it started, by id, before that. The harness's side runs on threads.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import IO, Any, NamedTuple

from spoolbarrow.errors import Problem
from spoolbarrow.net.http1 import Fault, RequestParser, ResponseParser

HOST = "127.0.0.1"
LIFE_S = 150.0  # of every process a cluster starts
EVENTS, GAP_S = 4, 0.02  # of an answer, and between them
LOOK_S = 0.05  # between looks at a file that may change
MODES = {"well": 0, "error": 0, "full": 1, "slow": 1}  # values that each may have
BROKEN = 1  # in place of a status: the answer began, and ended without its last chunk
MOST_ASKED = 200_000  # requests of one load
WATCHED = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


# The stand-ins' side: run in processes of their own


class Standin:
    """An engine that answers as it is told, and counts what it is sent."""

    def __init__(self) -> None:
        self.mode, self.value = "well", 0.0
        self.asked: Counter[str] = Counter()  # requests by the beginning of their ids, up to the first `-`
        self.probes = 0

    def set(self, words: list[str]) -> str:
        """Go by `MODE [VALUE]`; the answer to whoever said so."""
        if not words or words[0] not in MODES or len(words) > 1 + MODES[words[0]]:
            return f"error: want one of {', '.join(MODES)}"
        try:
            value = float(words[1]) if len(words) == 2 else 0.0
        except ValueError:
            return f"error: {words[0]} wants a number"
        self.mode, self.value = words[0], value
        return "ok"

    def answer(self, sock: Any, message: Any) -> None:
        """One request, or a probe."""
        import gevent

        from spoolbarrow.lab.wire import EVENT, HEAD, PLAIN, chunk

        if message.method == b"GET":
            self.probes += 1
            report = b"x1=0,load_share=0.1,x0=0.1"
            sock.sendall(PLAIN % (b"200 OK", b"", len(report), report))
            return
        self.asked[message.fields.get(b"x-correlation-id", b"").partition(b"-")[0].decode("latin-1")] += 1
        if self.mode == "error":
            sock.sendall(PLAIN % (b"500 Internal Server Error", b"", 0, b""))
            return
        if self.mode == "full":
            later = b"Retry-After: %g\r\n" % self.value if self.value else b""
            sock.sendall(PLAIN % (b"503 Service Unavailable", b"X-Unprocessed: 1\r\n" + later, 0, b""))
            return
        if self.mode == "slow":
            gevent.sleep(self.value / 1000)
        event = EVENT % (b"word", b"null")
        sock.sendall(HEAD + chunk(event))
        for _ in range(EVENTS - 1):
            gevent.sleep(GAP_S)
            sock.sendall(chunk(event))
        sock.sendall(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")


def converse(sock: Any, answer: Callable[[Any, Any], None]) -> None:
    """Answer each request on a connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    parser = RequestParser(16_384, 262_144)
    try:
        while data := sock.recv(65_536):
            parser.feed(memoryview(data))
            while parser.whole:
                answer(sock, parser.whole.popleft())
    except OSError:
        pass
    finally:
        sock.close()


def _serve(answer: Callable[[Any, Any], None]) -> int:
    """A listener that answers each request by `answer`; its port."""
    import gevent

    from spoolbarrow.lab.wire import listen

    listener = listen()

    def accept() -> None:
        while True:
            gevent.spawn(converse, listener.accept()[0], answer)

    gevent.spawn(accept)
    port: int = listener.getsockname()[1]
    return port


def engines(seconds: float, count: int) -> None:
    """Serve `count` engines, and obey."""
    made = [Standin() for _ in range(count)]

    def obey(line: str) -> str:
        if line == "counts":
            return json.dumps([{"asked": one.asked, "probes": one.probes} for one in made])
        index, *words = line.split()
        if not index.isdigit() or int(index) >= count:
            return f"error: no engine {index}"
        return made[int(index)].set(words)

    from spoolbarrow.lab.orders import obey_lines

    print(*[_serve(one.answer) for one in made], flush=True)
    obey_lines(seconds, obey)


def discovery(seconds: float, files: Sequence[str]) -> None:
    """The whole list as each router's file holds it, told again to its watches when the file changes."""
    import gevent

    from spoolbarrow.lab.wire import PLAIN, chunk

    def teller(file: str) -> Callable[[Any, Any], None]:
        def answer(sock: Any, message: Any) -> None:
            whole = Path(file).read_bytes()
            if b"stream=1" not in message.target:
                sock.sendall(PLAIN % (b"200 OK", b"", len(whole), whole))
                return
            sock.sendall(WATCHED + chunk(whole + b"\n"))
            looks = 0
            while True:
                gevent.sleep(LOOK_S)
                looks += 1
                now = Path(file).read_bytes()
                if now != whole:
                    whole = now
                    sock.sendall(chunk(whole + b"\n"))
                elif looks % 20 == 0:
                    sock.sendall(chunk(b"\n"))

        return answer

    print(*[_serve(teller(file)) for file in files], flush=True)
    gevent.sleep(seconds)


# The harness's side: in the process of a test or a benchmark


class NotObeyed(Problem):
    """A process of the lab answers a line with an error."""

    where = "the line"
    remedy = "See what the process takes, and whether it still runs."


class Process:
    """A process of ours; its standard output and error are read as they come."""

    def __init__(self, *argv: str, env: dict[str, str] | None = None, stdin: bool = False) -> None:
        self.popen = subprocess.Popen(
            [sys.executable, *argv], env={**os.environ, **(env or {})}, text=True,
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
        """A line to standard input; the next line of output. NotObeyed where it is not obeyed."""
        assert self.popen.stdin is not None
        count = len(self.said)
        self.popen.stdin.write(line + "\n")
        self.popen.stdin.flush()
        self.wait_for(lambda: len(self.said) > count)
        if self.said[count].startswith("error"):
            raise NotObeyed(line, self.said[count])
        return self.said[count]

    def events(self, name: str) -> list[dict[str, Any]]:
        """Log lines of one event, as JSON."""
        with self._heard:
            lines = list(self.lines)
        marked = [line for line in lines if f'"{name}"' in line]
        return [one for line in marked if (one := json.loads(line)).get("event") == name]

    def end(self, grace_s: float = 10.0) -> None:
        """By its id: SIGTERM, then SIGKILL where it does not end."""
        if self.popen.poll() is None:
            self.popen.terminate()
            try:
                self.popen.wait(grace_s)
            except subprocess.TimeoutExpired:
                self.popen.kill()
                self.popen.wait()


# Guards against another program that takes a port between its choice and the router's bind: connections
# leave from 127.0.0.1, and each process that starts routers has them listen at an address of its own.
LISTEN = f"127.{64 + (os.getpid() >> 16 & 63)}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"


def free_ports(count: int) -> list[int]:
    """Ports of LISTEN that nothing listens on just now, each another one."""
    with ExitStack() as held:
        socks = [held.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((LISTEN, 0))
        return [int(sock.getsockname()[1]) for sock in socks]


def call(port: int, text: bytes, seconds: float = 10.0) -> tuple[int, bytes]:
    """One request to a router's port, on a connection of its own: the answer's status, or BROKEN, and bytes.

    OSError or Fault where none comes.
    """
    with socket.create_connection((LISTEN, port), seconds) as sock:
        sock.sendall(text)
        parser, raw = ResponseParser(16_384), b""
        try:
            while not parser.whole:
                data = sock.recv(65_536)
                if not data:
                    parser.end()
                    continue
                raw += data
                parser.feed(memoryview(data))
        except (ConnectionError, Fault):
            if not parser.headed:
                raise
            return BROKEN, raw
    return parser.status, raw


class Cluster:
    """What is running: routers `0..`, each in a zone, and engines `0..`, by zone in `of_zone`."""

    def __init__(self, folder: Path, zones: dict[str, int], routers: Sequence[str], operator: str) -> None:
        self.folder, self.zones, self.zone_of, self._operator = folder, list(zones), list(routers), operator
        self.names = [f"e{n}" for n in range(sum(zones.values()))]
        self.of_zone: dict[str, list[int]] = {}
        for zone, count in zones.items():
            first = sum(len(found) for found in self.of_zone.values())
            self.of_zone[zone] = list(range(first, first + count))
        self.out: set[int] = set()  # engines that discovery does not list
        self.ended: set[int] = set()  # routers that were killed at some time
        self.started: list[Process] = []
        self.routers: list[Process] = []
        free = free_ports(2 * len(routers))
        self.ports, self.controls = free[::2], free[1::2]
        self.listing = 0  # version of discovery's list

    def start(self) -> None:
        """Start everything; returns when every router has a list."""
        count, module = len(self.ports), "spoolbarrow.lab.cluster"
        self.engines = self._start("-m", module, "engines", str(LIFE_S), str(len(self.names)), stdin=True)
        ports = self.engines.first_said().split()
        files = [str(self.folder / f"list{n}.json") for n in range(count)]
        for file in files:
            Path(file).write_text("{}")
        told = self._start("-m", module, "discovery", str(LIFE_S), *files).first_said().split()
        gates = ports * count + told
        self.proxy = self._start("-m", "spoolbarrow.lab.proxy", str(LIFE_S), *gates, stdin=True)
        self.fronts = self.proxy.first_said().split()
        self.list_again()
        for number in range(count):
            (self.folder / f"operator{number}.toml").write_text(self._operator)
            (self.folder / f"r{number}.json").write_text(json.dumps(self.config(number)))
            self.routers.append(self.start_router(number))
        for router in self.routers:
            router.wait_for(lambda r=router: any(e["serving"] for e in r.events("destinations")))  # type: ignore[misc]

    def _start(self, *argv: str, stdin: bool = False, env: dict[str, str] | None = None) -> Process:
        made = Process(*argv, stdin=stdin, env=env)
        self.started.append(made)
        return made

    def config(self, number: int) -> dict[str, Any]:
        """A router's configuration; probes on, so that it hears of engines it sends little to."""
        chat = {"Name": "chat", "AimMs": 2000.0, "DeadlineMs": 5000.0, "Effect": "retryable", "Stream": True}
        settings = {
            "Balancers": len(self.ports), "Me": number, "Classes": [chat], "Tenants": [{"Name": "acme"}],
            "Zones": self.zones, "MyZone": self.zones.index(self.zone_of[number]),
            "Skus": ["m"], "TickMs": 2.0, "Discovery": "subscribe", "Fees": {"CrossZone": 0.03},
            "Stats": {"Fields": ["x1", "load_share", "x0"], "Via": "on_probe"},
            "Limits": {"MaxAttempts": 3, "RetryAfter": True, "Cancelling": True, "MaxRetryAfterMs": 2000.0,
                       "Probing": True, "ConnectTimeoutMs": 300.0},
        }
        discovery = self.fronts[len(self.names) * len(self.ports) + number]
        return {"name": f"r{number}", "listen": f"{LISTEN}:{self.ports[number]}", "seed": f"8c1f{number}",
                "control": f"{LISTEN}:{self.controls[number]}", "discovery": f"{HOST}:{discovery}",
                "settings": settings}

    def start_router(self, number: int) -> Process:
        """One process of router `number`, by its files."""
        files = {"NODE_CONFIG": f"r{number}.json", "SPOOLBARROW_OPERATOR": f"operator{number}.toml"}
        env = {key: str(self.folder / file) for key, file in files.items()}
        scratch = self.folder / f"tmp{number}"
        scratch.mkdir(exist_ok=True)
        return self._start("-m", "spoolbarrow", env={**env, "TMPDIR": str(scratch)})

    def kill_router(self, number: int) -> None:
        """End a router's process without warning: what its clients get meanwhile is no test of it."""
        self.ended.add(number)
        self.routers[number].popen.kill()
        self.routers[number].popen.wait()

    def list_again(self) -> None:
        """Discovery lists all engines but those in `out`, in a new version."""
        self.listing += 1
        count = len(self.names)
        zone = {n: name for name, found in self.of_zone.items() for n in found}
        for number in range(len(self.ports)):
            lines = [
                {"name": self.names[n], "address": f"{HOST}:{self.fronts[number * count + n]}",
                 "zone": zone[n], "type": "m"}
                for n in range(count) if n not in self.out
            ]
            told = json.dumps({"index": self.listing, "snapshot": True, "endpoints": lines})
            file = self.folder / f"list{number}.json"
            fresh = file.with_suffix(".new")
            fresh.write_text(told)
            fresh.replace(file)

    def gates(self, engines: Iterable[int], routers: Iterable[int] | None = None) -> list[int]:
        """The gates between these routers (all, where none are named) and these engines."""
        numbers = range(len(self.ports)) if routers is None else routers
        chosen = list(engines)
        return [number * len(self.names) + n for number in numbers for n in chosen]

    def fault(self, mode: str, gates: Iterable[int]) -> None:
        """Have the proxy do so at these gates from now on: `reset`, `delay 250`, `pass` ..."""
        self.proxy.tell(f"{','.join(map(str, gates))} {mode}")

    def counts(self) -> list[dict[str, Any]]:
        """What each engine has been sent: `asked`, by router (`r0` ...), and `probes`."""
        told: list[dict[str, Any]] = json.loads(self.engines.tell("counts"))
        return told

    def control(self, number: int, path: str, method: str = "GET") -> Any:
        """A call to a router's control listener: the answer's JSON."""
        status, raw = call(self.controls[number], f"{method} /v1/{path} HTTP/1.1\r\n\r\n".encode())
        if status != 200:
            raise OSError(f"{path}: {status}")
        return json.loads(raw.partition(b"\r\n\r\n")[2])

    def states(self, number: int, place: str) -> list[str]:
        """The verdicts that a router has reached on a zone or region, oldest first."""
        return [told["state"] for told in self.routers[number].events("failover") if told["place"] == place]

    def wait_state(self, numbers: Iterable[int], place: str, state: str, since: int = 0) -> None:
        """Until each of these routers has reached a state of a place, after the first `since` verdicts."""
        for n in numbers:
            self.routers[n].wait_for(lambda n=n: state in self.states(n, place)[since:])  # type: ignore[misc]

    def end(self) -> None:
        """End all processes."""
        for process in self.started:
            if process.popen.poll() is None:
                process.popen.terminate()  # all at once: routers take their grace
        for process in self.started:
            process.end()


@contextmanager
def cluster(
    folder: Path, zones: dict[str, int], routers: Sequence[str], operator: str
) -> Iterator[Cluster]:
    """Engines by zone, and a router for each zone named, all of which serve."""
    made = Cluster(folder, zones, routers, operator)
    try:
        made.start()
        yield made
    finally:
        made.end()


class Answer(NamedTuple):
    """What a client got: `status` 0 where nothing came, BROKEN where the end did not."""

    at: float  # monotonic s, of its end
    router: int
    status: int
    ms: float  # since it was asked


class Load:
    """Clients of each router, one request at a time each, until stopped; what they were answered is kept."""

    def __init__(self, made: Cluster, clients: int = 1, pause_s: float = 0.0) -> None:
        self.answers: list[Answer] = []
        self.retry_after_missing = 0
        self._stop = threading.Event()
        self._pause_s = pause_s
        self._threads = [
            threading.Thread(target=self._ask, args=(made.ports[n], n, client))
            for n in range(len(made.ports)) for client in range(clients)
        ]
        for thread in self._threads:
            thread.start()

    def _ask(self, port: int, router: int, client: int) -> None:
        body = b'{"model":"chat","stream":true}'
        for sent in range(MOST_ASKED):
            if self._stop.wait(self._pause_s):
                return
            head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\n"
                f"X-Correlation-Id: r{router}-{client}-{sent}\r\n"
                f"X-Service-Class: chat\r\nX-Account: acme\r\nX-Session-Key: {client:x}{sent:x}\r\n"
                f"X-Time-Left-Ms: 5000\r\nX-Facts: prompt_len=40,max_out=8\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            ).encode()
            begun = time.monotonic()
            try:
                status, raw = call(port, head + body)
            except (OSError, Fault):
                status, raw = 0, b""
            now = time.monotonic()
            self.answers.append(Answer(now, router, status, (now - begun) * 1000))
            if status == 503 and b"\r\nretry-after:" not in raw.lower():
                self.retry_after_missing += 1

    def statuses(self) -> Counter[int]:
        """How many answers there were of each status; 0: none came."""
        return Counter(one.status for one in list(self.answers))

    def stop(self) -> None:
        """After the requests under way."""
        self._stop.set()
        for thread in self._threads:
            thread.join(30)


if __name__ == "__main__":
    if sys.argv[1] == "engines":
        engines(float(sys.argv[2]), int(sys.argv[3]))
    else:
        discovery(float(sys.argv[2]), sys.argv[3:])
