"""Serves the simulator on standard input and output, with an isolated Router for each node in the protocol.

The process exits with 0 at the end of input, and with 1 after a malformed line, which one line on standard
error describes. An exception in a decision becomes a Fatal action of that node.
"""

from __future__ import annotations

import gc
import sys
from typing import Any, BinaryIO, TextIO

from spoolbarrow import interface as i
from spoolbarrow import wire
from spoolbarrow.router import Router


class Host:
    """Routers by node name; they share no state."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}

    def answer(self, line: bytes) -> bytes:
        """The reply line for a batch line."""
        batch = wire.decode_batch(line)
        outputs = []
        for node in batch.nodes:
            actions = self._decide(batch.TimeMs, node)
            if actions:
                outputs.append({"Node": node.Node, "output": actions})
        return wire.encode_reply(batch.serial, outputs)

    def _decide(self, now_ms: float, node: wire.NodeBatch) -> list[dict[str, Any]]:
        events: list[i.Event] = []
        for message in node.msgs:
            if isinstance(message, wire.Retire):
                self.routers.pop(node.Node, None)
                events.clear()
            elif isinstance(message, wire.Enlist):
                events.clear()
                try:
                    settings = wire.decode_settings(message.Params)
                    self.routers[node.Node] = Router(settings, message.RandomSeed)
                except wire.WireError:
                    raise
                except ValueError as error:
                    return [{"type": "Fatal", "Message": f"settings: {error}"}]
            else:
                event = wire.decode_event(message)
                if event is not None:
                    events.append(event)
        router = self.routers.get(node.Node)
        if router is None or not events:
            return []
        try:
            return [wire.encode_action(action) for action in router.handle(now_ms, events)]
        except Exception as error:  # any error is reported to the operators before the node stops
            return [{"type": "Fatal", "Message": f"{type(error).__name__}: {error}"}]


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answer lines until the input ends; returns the exit status."""
    host = Host()
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            reply = host.answer(line)
        except wire.WireError as error:
            errors.write(f"line {number}: {error}\n")
            return 1
        sink.write(reply)
        sink.flush()
    return 0


def main() -> int:
    """Serve standard input and output."""
    gc.freeze()  # objects loaded so far live as long as the process
    return serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
