"""How a member merges updates from others: precedence, failures declared by others, members that left."""

from __future__ import annotations

from itertools import permutations

from myrtlespar.membership.messages import ALIVE, FAILED, LEFT, SUSPECT, GossipPush, Packet
from tests.membership_builders import SETTINGS, make_member, update_of


def test_updates_merge_to_the_same_view_in_every_order() -> None:
    updates = [
        update_of("b", 5, 0, ALIVE),
        update_of("b", 5, 0, SUSPECT, "c"),
        update_of("b", 5, 1, ALIVE),
        update_of("b", 4, 9, FAILED),
    ]
    results = set()
    for order in permutations(updates):
        member = make_member()
        for n, update in enumerate(order):
            member.receive(float(n), Packet("f", n + 1, update_of("c", 7, 0, ALIVE), 0, 1, GossipPush(), (update,)))
        results.add((member.view.entries["b"].update.precedence, member.view.hash))
    assert len(results) == 1


def test_a_failure_is_ignored_if_the_member_answered_since() -> None:
    member = make_member()
    member.receive(0.0, Packet("f", 1, update_of("b", 5, 0, ALIVE), 0, 1, GossipPush()))
    member.receive(0.0, Packet("f", 1, update_of("c", 5, 0, ALIVE), 0, 1, GossipPush()))
    member.view.record_answer("b", 100.0)
    member.receive(
        120.0, Packet("f", 2, update_of("c", 5, 0, ALIVE), 0, 1, GossipPush(), (update_of("b", 5, 0, FAILED, "c", 50),))
    )
    assert member.view.entries["b"].update.state == ALIVE  # the evidence of the failure is older than the answer
    member.receive(
        121.0, Packet("f", 3, update_of("c", 5, 0, ALIVE), 0, 1, GossipPush(), (update_of("b", 5, 0, FAILED, "c", 0),))
    )
    assert member.view.entries["b"].update.state == SUSPECT  # suspected first, so that it can refute


def test_a_member_that_left_is_not_brought_back_by_old_updates() -> None:
    member = make_member()
    member.receive(0.0, Packet("f", 1, update_of("b", 5, 3, ALIVE), 0, 1, GossipPush()))
    member.receive(1.0, Packet("f", 1, update_of("c", 5, 0, ALIVE), 0, 1, GossipPush(), (update_of("b", 5, 3, LEFT),)))
    member.receive(2.0, Packet("f", 2, update_of("c", 5, 0, ALIVE), 0, 1, GossipPush(), (update_of("b", 5, 3, ALIVE),)))
    assert member.view.entries["b"].update.state == LEFT
    # The evidence is so old that the member may have been forgotten here.
    stale = update_of("d", 5, 0, ALIVE, age_ms=SETTINGS.forget_ms)
    member.receive(3.0, Packet("f", 3, update_of("c", 5, 0, ALIVE), 0, 1, GossipPush(), (stale,)))
    assert "d" not in member.view.entries
