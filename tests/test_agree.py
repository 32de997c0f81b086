"""Versions: what counts as the same, since when routers contradict, and which files are refused."""

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


def test_a_digest_goes_by_the_values_and_not_by_their_order() -> None:
    assert digest({"a": 1, "b": [1, 2]}) == digest({"b": [1, 2], "a": 1}) != digest({"a": 1, "b": [2, 1]})


def test_a_number_alone_is_told_and_is_no_contradiction() -> None:
    ledger = VersionTracker()
    assert ledger.record(1.0, VersionedItem.LIST, 4, "x") and not ledger.record(
        2.0, VersionedItem.LIST, 4, "x"
    )
    assert ledger.record(3.0, VersionedItem.LIST, 5, "x") and ledger.versions[VersionedItem.LIST] == Version(
        5, "x", 1.0
    )
    assert (
        ledger.record(4.0, VersionedItem.LIST, 6, "y") and ledger.versions[VersionedItem.LIST].since_ms == 4.0
    )
    told = {
        "r0": {VersionedItem.LIST: Version(5, "x", 1.0)},
        "r1": {VersionedItem.LIST: Version(6, "x", 2.0)},
    }
    assert find_differences(told) == []


def test_routers_contradict_since_the_second_version_came_into_force() -> None:
    def of(contents: str, number: int, since: float) -> dict[VersionedItem, Version]:
        return {
            VersionedItem.SETTINGS: Version(number, contents, since),
            VersionedItem.DRAIN: Version(0, contents, since),
        }

    told = {"r0": of("old", 1, 5.0), "r3": of("old", 1, 8.0)}
    told |= {"r1": of("new", 2, 90.0), "r2": of("new", 2, 70.0)}
    (found,) = find_differences(told)  # a drain is each router's own
    assert (found.item, found.since_ms) == (VersionedItem.SETTINGS, 70.0)
    assert found.routers == {"old": (1, ("r0", "r3")), "new": (2, ("r1", "r2"))}


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 1e6)), min_size=1, max_size=8))
def test_routers_contradict_exactly_where_digests_differ(seen: list[tuple[str, float]]) -> None:
    told = {f"r{n}": {VersionedItem.LIST: Version(0, of, since)} for n, (of, since) in enumerate(seen)}
    found = find_differences(told)
    assert bool(found) is (len({of for of, _ in seen}) > 1)
    for one in found:
        assert {name for _, names in one.routers.values() for name in names} == told.keys()
        assert min(since for _, since in seen) <= one.since_ms <= max(since for _, since in seen)


def test_a_revision_means_one_content_and_never_goes_back() -> None:
    ledger = VersionTracker()
    assert ledger.refusal_reason(1, CONTENTS) == ""
    for item, contents in CONTENTS.items():
        ledger.record(1.0, item, 3, contents)
    assert (
        ledger.refusal_reason(3, CONTENTS) == ""
        and ledger.refusal_reason(4, {**CONTENTS, VersionedItem.SHARES: "u"}) == ""
    )
    assert ledger.refusal_reason(3, {**CONTENTS, VersionedItem.SHARES: "u"}).startswith(
        "agree.revision: 3 is acted on"
    )
    assert ledger.refusal_reason(2, CONTENTS).startswith("agree.revision: 2 is older than 3")


def test_what_is_each_routers_own_is_no_part_of_a_version_and_all_else_is() -> None:
    made = operator.Operator(agree=operator.AgreeTable(revision=1))

    def of(**changes: object) -> dict[VersionedItem, str]:
        raw = make_config([])
        raw["settings"].update({"Zones": ["a", "b"], **changes})
        return file_digests(config.parse(msgspec.json.encode(raw)), made)

    assert of() == of(Me=3, MyZone=1)
    more = of(Tenants=[{"Name": "acme", "Portion": 0.7}, {"Name": "other", "Portion": 0.3}])
    assert {item for item, contents in of().items() if more[item] != contents} == {VersionedItem.SHARES}
    slower = of(TickMs=7.0)
    assert {item for item, contents in of().items() if slower[item] != contents} == {VersionedItem.SETTINGS}
    assert files_digest(of()) != files_digest(slower) != files_digest(more) and set(COMPARED_ITEMS) > set(
        of()
    )


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("[agree]\n", "agree.revision: missing"),
        ("[agree]\nrevision = 0\n", "agree.revision: "),
        ("[agree]\nrevision = 1\nwithin_s = -1\n", "agree.within_s: "),
        ("[agree]\nrevision = 1\nmembers = []\n", "agree.members: unknown key"),
    ],
)
def test_faulty_settings_name_their_key(tmp_path: Path, text: str, fault: str) -> None:
    (tmp_path / "operator.toml").write_text(text)
    _, faults = operator.read({**os.environ, operator.FILE_VARIABLE: str(tmp_path / "operator.toml")})
    assert len(faults) == 1 and str(faults[0]).startswith(fault)
