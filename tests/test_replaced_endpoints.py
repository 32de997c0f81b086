"""Of two endpoints that are listed at one address, the one that came last has it."""

from __future__ import annotations

from spoolbarrow import config
from spoolbarrow import interface as i
from tests.router_harness import running_router, serve_all


def test_a_replaced_endpoint_gets_no_new_work_until_it_moves() -> None:
    with running_router(serve_all) as (harness, engine):
        destinations = harness.host.destinations
        address = f"127.0.0.1:{engine.port}"

        def listed(name: str, address: str, since_ms: float, status: str = "in_service") -> None:
            line = config.ListEntry(name, address, since_ms=since_ms, status=status)
            destinations.apply_list(config.HostList(9, False, [line]), i.ListKind.CHANGES)

        listed("e1", address, 0.0)  # its start is not told, but it came later
        assert destinations.serving("e1") and not destinations.serving("e0")
        listed("e0", address, 0.0, "terminating")
        assert destinations.serving("e1")
        listed("e0", "127.0.0.1:1", 0.0)
        assert destinations.serving("e1") and destinations.serving("e0")
        listed("e2", address, 50.0)
        listed("e1", address, 40.0)
        assert destinations.serving("e2") and not destinations.serving("e1")
