"""How two processes of one server share its capacity."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.policy import messages as api
from myrtlespar.policy.server_share import NOTHING, ServerShare, ShareDemand, rest_of, shrink_share
from tests.policy.policy_server import PolicyServer

WHOLE = ServerShare(1000.0, 1.0, 6.0)
PARTS = st.builds(
    ServerShare, st.floats(0.0, 1000.0), st.floats(0.0, 1.0), st.integers(0, 6).map(float), st.floats(0.0, 4.0)
)


@given(demands=st.lists(st.tuples(PARTS, PARTS, st.booleans()), max_size=20))
def test_the_share_of_an_old_process_never_grows_and_keeps_what_is_in_use(
    demands: list[tuple[ServerShare, ServerShare, bool]],
) -> None:
    """So a replacement that has read an earlier value takes too little and never too much."""
    share = WHOLE
    for in_use, expected, is_ending in demands:
        kept = shrink_share(share, WHOLE, ShareDemand(in_use, expected), is_ending)
        for name in ("memory_kb", "run_fraction", "calls"):
            assert getattr(kept, name) <= getattr(share, name)
            assert getattr(kept, name) >= min(getattr(share, name), getattr(in_use, name))
        share = kept


def test_an_idle_old_process_gives_up_half_and_more_once_it_ends() -> None:
    idle = ShareDemand(NOTHING, NOTHING)
    serving = shrink_share(WHOLE, WHOLE, idle, is_ending=False)
    assert serving == ServerShare(500.0, 0.5, 3.0)
    assert shrink_share(serving, WHOLE, idle, is_ending=True) == ServerShare(125.0, 0.125, 0.75)


@pytest.mark.parametrize("memory_kb", [1000.0, 100000.0])
def test_two_processes_together_start_no_more_than_one(memory_kb: float) -> None:
    """Guards against two processes that each use the whole memory, or the whole number of runs, of their server."""

    def fill(server: PolicyServer) -> int:
        for number in range(100):
            server.arrive(server.now + 1.0, f"{id(server)}-{number}")
            for run in server.actions(api.Run):
                server.at(server.now, api.CallNeeded(run.id))
        return len(server.actions(api.Run))

    alone = fill(PolicyServer(memory_kb=memory_kb, fall_multiple=3.0))
    old, new = (
        PolicyServer(memory_kb=memory_kb, fall_multiple=3.0),
        PolicyServer(memory_kb=memory_kb, fall_multiple=3.0),
    )
    whole = old.policy.whole_share()
    share = shrink_share(whole, whole, old.policy.share_demand(), is_ending=False)
    old.policy.leave_to_other_process(rest_of(whole, share))
    new.policy.leave_to_other_process(share)
    counts = fill(old), fill(new)
    assert alone > 4
    assert min(counts) > 0
    assert sum(counts) <= alone
    assert old.policy.memory.used_kb + new.policy.memory.used_kb <= memory_kb
