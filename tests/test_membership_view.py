"""Detection of replayed packets, and sampling from a set of names."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.membership.messages import ALIVE
from myrtlespar.membership.sampled_set import SampledSet
from myrtlespar.membership.view import MemberEntry
from tests.membership_builders import update_of


def test_replays_are_distinguished_from_packets_out_of_order() -> None:
    entry = MemberEntry(update_of("b", 5, 0, ALIVE), 0.0, 0.0)
    assert entry.accept_packet(5, 10)
    assert entry.accept_packet(5, 8)
    assert entry.accept_packet(5, 9)
    assert not entry.accept_packet(5, 8)
    assert not entry.accept_packet(4, 99)
    assert not entry.accept_packet(5, 10)
    assert entry.accept_packet(5, 5000)
    assert not entry.accept_packet(5, 10)
    assert entry.accept_packet(6, 1)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=60))
def test_a_sampled_set_holds_what_a_set_holds(steps: list[tuple[bool, int]]) -> None:
    sampled = SampledSet()
    plain: set[str] = set()
    random = Random(0)
    for add, n in steps:
        (sampled.add if add else sampled.discard)(str(n))
        (plain.add if add else plain.discard)(str(n))
        assert set(sampled) == plain
        assert len(sampled) == len(plain)
        assert set(sampled.sample(random, 3)) <= plain
