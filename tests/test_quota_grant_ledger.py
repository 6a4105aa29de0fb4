"""Division of a pool among holders, and of shards among members."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.quota.grant_ledger import divide_fairly
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.shards import leader_of


@given(st.integers(0, 1000), st.lists(st.integers(0, 300), min_size=1, max_size=12))
def test_division_is_max_min_fair_and_uses_the_whole_pool(pool: int, wanted: list[int]) -> None:
    wanted_by_holder = {Incarnation(f"m{n}", 1): amount for n, amount in enumerate(wanted)}
    parts = divide_fairly(pool, wanted_by_holder)
    assert sum(parts.values()) == min(pool, sum(wanted))
    assert all(0 <= parts[holder] <= wanted_by_holder[holder] for holder in wanted_by_holder)
    unsatisfied = [parts[holder] for holder in wanted_by_holder if parts[holder] < wanted_by_holder[holder]]
    smallest = min(unsatisfied, default=0)
    assert all(part <= smallest + 1 for part in parts.values()) or sum(wanted) <= pool


def test_the_failure_of_a_member_moves_only_the_shards_that_it_led() -> None:
    names = [f"m{n}" for n in range(12)]
    for shard_id in range(64):
        leader = leader_of(shard_id, names)
        for gone in names:
            if gone != leader:
                assert leader_of(shard_id, [name for name in names if name != gone]) == leader
    assert len({leader_of(shard_id, names) for shard_id in range(64)}) > 8
    assert leader_of(0, []) == ""
