"""The codec of the peer link: round trips, corrupt bytes, ranges and sizes."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import (
    ALIVE,
    SUSPECT,
    Ack,
    GossipPush,
    IndirectProbe,
    MemberUpdate,
    Nack,
    Packet,
    Ping,
    ReachabilityRow,
    SendPacket,
    ViewSync,
)
from myrtlespar.net.codec import peer
from tests.membership_builders import SETTINGS, VOTER_SET, update_of

NAMES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=48)

ADDRESSES = st.builds(
    lambda a, b, p: f"127.{a}.{b}.9:{p}", st.integers(0, 255), st.integers(0, 255), st.integers(1, 65535)
)

NUMBERS = st.integers(0, 2**53 - 1)

UPDATES = st.builds(
    MemberUpdate,
    NAMES,
    NAMES,
    ADDRESSES,
    NUMBERS,
    NUMBERS,
    st.integers(0, 3),
    st.integers(0, 2**31),
    st.one_of(st.just(""), NAMES),
)

ROWS = st.builds(
    ReachabilityRow, NAMES, NUMBERS, NUMBERS, st.lists(st.tuples(NAMES, st.booleans()), max_size=8).map(tuple)
)

BODIES = st.one_of(
    st.builds(Ping, NUMBERS),
    st.builds(Ack, NUMBERS, NAMES),
    st.builds(Nack, NUMBERS),
    st.builds(IndirectProbe, NUMBERS, NAMES, ADDRESSES),
    st.just(GossipPush()),
)

PACKETS = st.builds(
    Packet,
    NAMES,
    st.integers(1, 2**53 - 1),
    UPDATES,
    st.integers(0, 2**64 - 1),
    NUMBERS,
    BODIES,
    st.lists(UPDATES, max_size=3).map(tuple),
    st.lists(ROWS, max_size=1).map(tuple),
)


@settings(max_examples=150, deadline=None)
@given(PACKETS)
def test_packets_are_the_same_after_a_round_trip(packet: Packet) -> None:
    data = peer.encode(packet)
    if len(data) <= peer.MAX_DATAGRAM_BYTES:
        assert peer.decode(data) == packet


@settings(max_examples=300, deadline=None)
@given(PACKETS, st.data())
def test_corrupt_bytes_are_rejected(packet: Packet, data: st.DataObject) -> None:
    raw = peer.encode(packet)
    position = data.draw(st.integers(0, len(raw) - 1))
    value = data.draw(st.integers(0, 255))
    corrupt = raw[:position] + bytes([value]) + raw[position + 1 :]
    for candidate in (raw[:position], data.draw(st.binary(max_size=200)), *([corrupt] if corrupt != raw else [])):
        with pytest.raises(peer.MalformedPeerMessageError):
            peer.decode(candidate)


@pytest.mark.parametrize(
    "change",
    [
        {"sequence_number": 0},
        {"fleet": "a b"},
        {"fleet": "x" * 49},
        {"view_hash": -1},
        {"voter_set_version": -1},
        {"sender": update_of("", 1, 0, ALIVE)},
        {"sender": update_of("a", 1, 0, 7)},
        {"sender": MemberUpdate("a", "x", "example.org:1", 1, 0, 0)},
        {"body": IndirectProbe(1, "b", "127.0.0.1:0")},
        {"body": Ping(-1)},
        {"updates": tuple(update_of("b", 1, 0, ALIVE) for _ in range(10))},
        {"reachability": (ReachabilityRow("a", 1, 1, tuple(("b", True) for _ in range(9))),)},
    ],
)
def test_values_out_of_range_are_rejected(change: dict[str, object]) -> None:
    good = Packet("f", 1, update_of("a", 1, 0, ALIVE), 0, 1, Ping(1))
    assert peer.decode(peer.encode(good)) == good
    with pytest.raises(peer.MalformedPeerMessageError):
        peer.decode(peer.encode(msgspec.structs.replace(good, **change)))


def test_the_fullest_packet_of_a_member_fits_a_datagram() -> None:
    member = Member(
        "n" * 48, "s" * 48, "127.255.255.255:65535", 2**45, "f" * 48, SETTINGS, VOTER_SET, [], Random(1), 0.0
    )
    for n in range(40):
        member.outbox.dissemination.put(
            MemberUpdate(f"{n:048d}", "s" * 48, "127.255.255.255:65535", 2**45, 9, SUSPECT, 9, "b" * 48), 0
        )
    member.outbox.send(1.0, "127.0.0.1:1", IndirectProbe(2**40, "n" * 48, "127.255.255.255:65535"))
    sizes = [
        len(peer.encode(effect.packet)) for effect in member.outbox.take_effects() if isinstance(effect, SendPacket)
    ]
    assert len(sizes) == 1
    assert 800 < sizes[0] <= peer.MAX_DATAGRAM_BYTES
    assert peer.decode_sync(peer.encode(member.sync(2.0))) == ViewSync("f" * 48, member.self_update, ())
