"""Tests of versions: which are equal, since when routers differ, and which files are refused."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow import config, operator
from spoolbarrow.agree import (
    COMPARED_ITEMS,
    Version,
    VersionedItem,
    VersionTracker,
    digest,
    files_digest,
    find_differences,
)
from spoolbarrow.net.version_monitor import file_digests
from tests.router_harness import make_config

CONTENTS = {VersionedItem.SETTINGS: "s", VersionedItem.SHARES: "t", VersionedItem.OPERATOR: "o"}


def test_a_digest_depends_on_values_and_not_on_key_order() -> None:
    assert digest({"a": 1, "b": [1, 2]}) == digest({"b": [1, 2], "a": 1}) != digest({"a": 1, "b": [2, 1]})


def test_a_new_number_alone_is_recorded_and_is_no_difference() -> None:
    tracker = VersionTracker()
    assert tracker.record(1.0, VersionedItem.LIST, 4, "x") and not tracker.record(
        2.0, VersionedItem.LIST, 4, "x"
    )
    assert tracker.record(3.0, VersionedItem.LIST, 5, "x") and tracker.versions[
        VersionedItem.LIST
    ] == Version(5, "x", 1.0)
    assert (
        tracker.record(4.0, VersionedItem.LIST, 6, "y")
        and tracker.versions[VersionedItem.LIST].since_ms == 4.0
    )
    versions = {
        "r0": {VersionedItem.LIST: Version(5, "x", 1.0)},
        "r1": {VersionedItem.LIST: Version(6, "x", 2.0)},
    }
    assert find_differences(versions) == []


def test_routers_differ_since_the_second_version_came_into_force() -> None:
    def of(contents: str, number: int, since: float) -> dict[VersionedItem, Version]:
        return {
            VersionedItem.SETTINGS: Version(number, contents, since),
            VersionedItem.DRAIN: Version(0, contents, since),
        }

    versions = {"r0": of("old", 1, 5.0), "r3": of("old", 1, 8.0)}
    versions |= {"r1": of("new", 2, 90.0), "r2": of("new", 2, 70.0)}
    (difference,) = find_differences(versions)  # drains are not compared
    assert (difference.item, difference.since_ms) == (VersionedItem.SETTINGS, 70.0)
    assert difference.routers == {"old": (1, ("r0", "r3")), "new": (2, ("r1", "r2"))}


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 1e6)), min_size=1, max_size=8))
def test_routers_differ_exactly_where_digests_differ(seen: list[tuple[str, float]]) -> None:
    versions = {
        f"r{n}": {VersionedItem.LIST: Version(0, contents, since)} for n, (contents, since) in enumerate(seen)
    }
    differences = find_differences(versions)
    assert bool(differences) is (len({contents for contents, _ in seen}) > 1)
    for difference in differences:
        assert {name for _, names in difference.routers.values() for name in names} == versions.keys()
        assert min(since for _, since in seen) <= difference.since_ms <= max(since for _, since in seen)


def test_a_revision_has_one_content_and_never_decreases() -> None:
    tracker = VersionTracker()
    assert tracker.refusal_reason(1, CONTENTS) == ""
    for item, contents in CONTENTS.items():
        tracker.record(1.0, item, 3, contents)
    assert (
        tracker.refusal_reason(3, CONTENTS) == ""
        and tracker.refusal_reason(4, {**CONTENTS, VersionedItem.SHARES: "u"}) == ""
    )
    assert tracker.refusal_reason(3, {**CONTENTS, VersionedItem.SHARES: "u"}).startswith(
        "agree.revision: 3 is in force"
    )
    assert tracker.refusal_reason(2, CONTENTS).startswith("agree.revision: 2 is older than 3")


def test_versions_leave_out_only_settings_of_a_single_router() -> None:
    operator_file = operator.Operator(agree=operator.AgreeTable(revision=1))

    def digests_with(**changes: object) -> dict[VersionedItem, str]:
        document = make_config([])
        document["settings"].update({"Zones": ["a", "b"], **changes})
        return file_digests(config.parse(msgspec.json.encode(document)), operator_file)

    assert digests_with() == digests_with(Me=3, MyZone=1)
    other_shares = digests_with(Tenants=[{"Name": "acme", "Portion": 0.7}, {"Name": "other", "Portion": 0.3}])
    assert {item for item, contents in digests_with().items() if other_shares[item] != contents} == {
        VersionedItem.SHARES
    }
    other_tick = digests_with(TickMs=7.0)
    assert {item for item, contents in digests_with().items() if other_tick[item] != contents} == {
        VersionedItem.SETTINGS
    }
    assert files_digest(digests_with()) != files_digest(other_tick) != files_digest(other_shares) and set(
        COMPARED_ITEMS
    ) > set(digests_with())


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[agree]\n", "agree.revision: missing"),
        ("[agree]\nrevision = 0\n", "agree.revision: "),
        ("[agree]\nrevision = 1\nwithin_s = -1\n", "agree.within_s: "),
        ("[agree]\nrevision = 1\nmembers = []\n", "agree.members: unknown key"),
    ],
)
def test_invalid_settings_name_their_key(tmp_path: Path, text: str, expected: str) -> None:
    (tmp_path / "operator.toml").write_text(text)
    _, faults = operator.read({**os.environ, operator.FILE_VARIABLE: str(tmp_path / "operator.toml")})
    assert len(faults) == 1 and str(faults[0]).startswith(expected)
