"""Drawn clients, kills in series and upgrades, at the least limits: what each may cost others, and what not.

Further seeds are played by `python -m tests.fault_draws FIRST LAST`. The seed decides what is drawn, not the
timing.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.fault_draws import draw_run, play


@pytest.mark.parametrize(
    "seed",
    [
        1,  # half heads of a crowd
        5,  # kills in series
        20,  # SIGTERM, and clients that leave behind unread input
        31,  # a crowd, and an upgrade whose first new process is killed
        34,  # an upgrade, and ids that come again
        107,  # SIGTERM, and a crowd of slow heads
        120,  # reloads in series
        335,  # SIGTERM, and a crowd of slow pipelines that all have unread input at once
    ],
)
def test_drawn_clients_break_no_term(tmp_path: Path, seed: int) -> None:
    assert play(tmp_path, draw_run(seed)) == []
