"""Tests random scenarios: they depend on the seed, and their load is the given share of the capacity."""

from __future__ import annotations

from statistics import median

import pytest

from spoolbarrow.lab.arrivals import draw_requests
from spoolbarrow.lab.fleet import fleet, random_stream
from spoolbarrow.lab.random_scenarios import capacity, random_scenario
from spoolbarrow.lab.simulate import simulate


@pytest.mark.parametrize("many", [False, True])
def test_a_seed_gives_one_scenario_and_another_seed_another(many: bool) -> None:
    first, again, other = (random_scenario(seed, many, 4, 6, 0.5, 10.0) for seed in (1, 1, 2))
    assert first == again and first.kinds != other.kinds and first.classes != other.classes


def test_lengths_have_heavy_tails_within_their_bounds() -> None:
    drawn = random_scenario(1, True, 4, 20, 0.5, 60.0)
    requests = draw_requests(drawn, (), random_stream(1, "arrivals"))
    for n, shape in enumerate(drawn.classes.values()):
        answers = sorted(one.answer for one in requests if one.cls == n)
        assert answers[-1] <= shape.max_answer
        assert answers[len(answers) * 95 // 100] > 4 * median(answers)
        assert all(one.prompt + one.answer <= shape.max_context for one in requests if one.cls == n)
    assert len({one.prefix for one in requests}) > 100


def test_list_weights_approximate_engine_speeds() -> None:
    specs = fleet(random_scenario(1, True, 4, 40, 0.5, 10.0), random_stream(1, "fleet"))
    ratios = [spec.weight / spec.figures.speed for spec in specs]
    assert 0.85 < median(ratios) < 1.15 and len(set(ratios)) == len(ratios)


def test_the_capacity_is_what_engines_can_serve() -> None:
    """At a quarter of the capacity nearly all requests are served in time; at twice it, many are not."""
    light, heavy = (
        simulate(random_scenario(5, True, 2, 6, load, 12.0), "spoolbarrow", 5) for load in (0.25, 2.0)
    )
    assert light["worth"] > 0.85 > 0.6 > heavy["worth"]
    assert 0.0 < light["read_anew_share"] < 1.0
    assert capacity(random_scenario(5, True, 2, 6, 0.25, 12.0), 5) > 0.0
