"""The pure parts: merging, standing, bounds, the codec, files with faults, and a judge that can say no."""

from __future__ import annotations

import dataclasses
from itertools import permutations
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtlespar.config import ConfigError
from myrtlespar.fault_proxy.faults import ActiveFaults, FaultRule
from myrtlespar.fleet.settings import read_fleet
from myrtlespar.fleet_tests.ground_truth import GroundTruth
from myrtlespar.fleet_tests.invariants import check_membership
from myrtlespar.fleet_tests.observations import Observation
from myrtlespar.fleet_tests.script import ScriptError, parse
from myrtlespar.membership.dissemination import Dissemination
from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import (
    ALIVE,
    FAILED,
    LEFT,
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
from myrtlespar.membership.quorum import ACTS, QuorumStatus, VoterSet, judge, step_fault
from myrtlespar.membership.reachability import broken
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import MemberEntry, SampledSet
from myrtlespar.net.codec import peer
from myrtlespar.simulation.fleet import SimulatedFleet, real
from myrtlespar.simulation.runner import play

TERMS = MembershipSettings()
ROLL = VoterSet(1, {"x": ("a", "b", "c")})


def member(name: str = "a", terms: MembershipSettings = TERMS) -> Member:
    return Member(name, "x", "127.8.0.1:7", 1000, "f", terms, ROLL, [], Random(1), 0.0)


def said(name: str, boot: int, counter: int, state: int, by: str = "", age: int = 0) -> MemberUpdate:
    return MemberUpdate(name, "x", "127.8.0.2:7", boot, counter, state, age, by)


def test_statements_merge_to_the_same_in_every_order() -> None:
    rows = [said("b", 5, 0, ALIVE), said("b", 5, 0, SUSPECT, "c"), said("b", 5, 1, ALIVE), said("b", 4, 9, FAILED)]
    ends = set()
    for order in permutations(rows):
        one = member()
        for n, rumour in enumerate(order):
            one.receive(float(n), Packet("f", n + 1, said("c", 7, 0, ALIVE), 0, 1, GossipPush(), (rumour,)))
        ends.add((one.view.entries["b"].update.precedence, one.view.hash))
    assert len(ends) == 1


def test_a_failure_is_void_if_its_member_answered_since() -> None:
    one = member()
    one.receive(0.0, Packet("f", 1, said("b", 5, 0, ALIVE), 0, 1, GossipPush()))
    one.receive(0.0, Packet("f", 1, said("c", 5, 0, ALIVE), 0, 1, GossipPush()))
    one.view.proven("b", 100.0)
    one.receive(120.0, Packet("f", 2, said("c", 5, 0, ALIVE), 0, 1, GossipPush(), (said("b", 5, 0, FAILED, "c", 50),)))
    assert one.view.entries["b"].update.state == ALIVE  # the word is older than the answer
    one.receive(121.0, Packet("f", 3, said("c", 5, 0, ALIVE), 0, 1, GossipPush(), (said("b", 5, 0, FAILED, "c", 0),)))
    assert one.view.entries["b"].update.state == SUSPECT  # first it may refute


def test_a_member_that_left_is_not_brought_back_by_rumour() -> None:
    one = member()
    one.receive(0.0, Packet("f", 1, said("b", 5, 3, ALIVE), 0, 1, GossipPush()))
    one.receive(1.0, Packet("f", 1, said("c", 5, 0, ALIVE), 0, 1, GossipPush(), (said("b", 5, 3, LEFT),)))
    one.receive(2.0, Packet("f", 2, said("c", 5, 0, ALIVE), 0, 1, GossipPush(), (said("b", 5, 3, ALIVE),)))
    assert one.view.entries["b"].update.state == LEFT
    stale = said("d", 5, 0, ALIVE, age=TERMS.forget_ms)  # perhaps long forgotten here
    one.receive(3.0, Packet("f", 3, said("c", 5, 0, ALIVE), 0, 1, GossipPush(), (stale,)))
    assert "d" not in one.view.entries


def test_replays_are_told_from_packets_out_of_order() -> None:
    entry = MemberEntry(said("b", 5, 0, ALIVE), 0.0, 0.0)
    assert entry.fresh(5, 10)
    assert entry.fresh(5, 8)
    assert entry.fresh(5, 9)
    assert not entry.fresh(5, 8)
    assert not entry.fresh(4, 99)
    assert not entry.fresh(5, 10)
    assert entry.fresh(5, 5000)
    assert not entry.fresh(5, 10)
    assert entry.fresh(6, 1)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=60))
def test_a_pool_holds_what_a_set_holds(steps: list[tuple[bool, int]]) -> None:
    pool, plain, dice = SampledSet(), set[str](), Random(0)
    for add, n in steps:
        (pool.add if add else pool.discard)(str(n))
        (plain.add if add else plain.discard)(str(n))
        assert set(pool) == plain
        assert len(pool) == len(plain)
        assert set(pool.some(dice, 3)) <= plain


def test_each_statement_is_told_a_bounded_number_of_times() -> None:
    spread = Dissemination(TERMS)
    for n in range(20):
        spread.put(said(f"m{n}", 1, 0, ALIVE), 0.0)
    told = 0
    for _ in range(1000):
        rumours, _ = spread.pick(1.0, 24, 1000)
        assert len(rumours) <= TERMS.carry
        told += len(rumours)
    assert told == 20 * spread.times(24)
    assert len(spread) == 0


def test_standing_counts_an_electorate() -> None:
    assert [judge(9, n, n - 1) for n in (1, 2, 4, 5, 8, 9)] == [
        QuorumStatus.ALONE,
        QuorumStatus.MINORITY,
        QuorumStatus.MINORITY,
        QuorumStatus.MAJORITY,
        QuorumStatus.MAJORITY,
        QuorumStatus.WHOLE,
    ]
    assert judge(8, 4, 3) == QuorumStatus.MINORITY  # an even split leaves no majority
    assert judge(0, 0, 0) == QuorumStatus.ALONE  # nor does an empty roll
    three = VoterSet(3, {"x": ("a", "b", "c")})
    assert step_fault(three, VoterSet(4, {"x": ("a", "b", "c", "d")})) == ""
    assert "more than one" in step_fault(three, VoterSet(4, {"x": ("a", "d", "c")}))
    assert "does not follow" in step_fault(three, VoterSet(3, {"x": ("a", "b")}))


def test_reach_rows_read_as_a_matrix() -> None:
    def row(by: str, *cannot: tuple[str, bool]) -> ReachabilityRow:
        return ReachabilityRow(by, 1, 1, cannot)

    assert broken({"a": row("a", ("b", True)), "b": row("b", ("a", False))}) == ["a -> b lost"]
    assert broken({"a": row("a", ("b", False)), "b": row("b", ("a", False))}) == ["a <-> b cut"]
    assert broken({"a": row("a", ("b", False))}) == ["a gets no answer from b"]
    assert broken({"a": row("a")}) == []


def test_bounds_follow_the_settings() -> None:
    assert TERMS.fault() == ""
    assert TERMS.detect_ms(24) < 4000
    assert 1000 < TERMS.pause_ms() < TERMS.detect_ms(2)
    assert MembershipSettings(suspect_min_ms=3000).fault().startswith("suspect_min_ms")
    assert MembershipSettings(probe_ms=0).fault().startswith("probe_ms")
    assert MembershipSettings(carry=9).fault().startswith("carry")


# The codec.

NAMES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=48)
ADDRESSES = st.builds(
    lambda a, b, p: f"127.{a}.{b}.9:{p}", st.integers(0, 255), st.integers(0, 255), st.integers(1, 65535)
)
NUMBERS = st.integers(0, 2**53 - 1)
RUMOURS = st.builds(
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
    RUMOURS,
    st.integers(0, 2**64 - 1),
    NUMBERS,
    BODIES,
    st.lists(RUMOURS, max_size=3).map(tuple),
    st.lists(ROWS, max_size=1).map(tuple),
)


@settings(max_examples=150, deadline=None)
@given(PACKETS)
def test_packets_come_back_as_they_were(packet: Packet) -> None:
    data = peer.encode(packet)
    if len(data) <= peer.MAX_DATAGRAM_BYTES:
        assert peer.decode(data) == packet


@settings(max_examples=300, deadline=None)
@given(PACKETS, st.data())
def test_spoilt_bytes_are_refused_whole(packet: Packet, data: st.DataObject) -> None:
    raw = peer.encode(packet)
    at, to = data.draw(st.integers(0, len(raw) - 1)), data.draw(st.integers(0, 255))
    spoilt = raw[:at] + bytes([to]) + raw[at + 1 :]
    for one in (raw[:at], data.draw(st.binary(max_size=200)), *([spoilt] if spoilt != raw else [])):
        with pytest.raises(peer.MalformedPeerMessageError):
            peer.decode(one)


@pytest.mark.parametrize(
    "change",
    [
        {"sequence_number": 0},
        {"fleet": "a b"},
        {"fleet": "x" * 49},
        {"view_hash": -1},
        {"voter_set_version": -1},
        {"sender": said("", 1, 0, ALIVE)},
        {"sender": said("a", 1, 0, 7)},
        {"sender": MemberUpdate("a", "x", "example.org:1", 1, 0, 0)},
        {"body": IndirectProbe(1, "b", "127.0.0.1:0")},
        {"body": Ping(-1)},
        {"updates": tuple(said("b", 1, 0, ALIVE) for _ in range(10))},
        {"reachability": (ReachabilityRow("a", 1, 1, tuple(("b", True) for _ in range(9))),)},
    ],
)
def test_values_out_of_range_are_refused(change: dict[str, object]) -> None:
    good = Packet("f", 1, said("a", 1, 0, ALIVE), 0, 1, Ping(1))
    assert peer.decode(peer.encode(good)) == good
    with pytest.raises(peer.MalformedPeerMessageError):
        peer.decode(peer.encode(msgspec.structs.replace(good, **change)))


def test_the_fullest_packet_of_a_member_fits_a_datagram() -> None:
    one = Member("n" * 48, "s" * 48, "127.255.255.255:65535", 2**45, "f" * 48, TERMS, ROLL, [], Random(1), 0.0)
    for n in range(40):
        one.outbox.spread.put(
            MemberUpdate(f"{n:048d}", "s" * 48, "127.255.255.255:65535", 2**45, 9, SUSPECT, 9, "b" * 48), 0
        )
    one.outbox.send(1.0, "127.0.0.1:1", IndirectProbe(2**40, "n" * 48, "127.255.255.255:65535"))
    sizes = [len(peer.encode(effect.packet)) for effect in one.outbox.done() if isinstance(effect, SendPacket)]
    assert len(sizes) == 1
    assert 800 < sizes[0] <= peer.MAX_DATAGRAM_BYTES
    assert peer.decode_sync(peer.encode(one.sync(2.0))) == ViewSync("f" * 48, one.self_update, ())


# Files with faults.

GOOD = """
fleet: f
site: x
name: a
bind: 127.0.1.1:7000
seeds: [127.0.1.2:7000]
electorate: {version: 1, sites: {x: [a, b, c]}}
"""


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (GOOD.replace("bind: 127.0.1.1:7000\n", ""), "bind: missing"),
        (GOOD + "speed: 3\n", "speed: unknown key"),
        (GOOD + "membership: {probe: 3}\n", "membership.probe: unknown key"),
        (GOOD + "membership: {probe_ms: often}\n", "membership.probe_ms: expected `int`"),
        (GOOD + "membership: {suspect_min_ms: 9000}\n", "membership.suspect_min_ms: 9000 is over"),
        (GOOD.replace("127.0.1.2:7000", "localhost:7000"), "seeds[0]: expected A.B.C.D:PORT"),
        (GOOD.replace("[a, b, c]", "[]"), "electorate.sites: empty"),
        (GOOD.replace("[a, b, c]", "[a, b, b]"), "electorate.sites.x[2]: b stands twice"),
        (GOOD.replace("{x: [a, b, c]}", "{y: [a, b, c]}"), "electorate.sites.y: a is of site x"),
        (GOOD.replace("{x: [a, b, c]}", "{x: [a], x: [b]}"), "x: stands twice in one table"),
        (GOOD.replace("version: 1", "version: 0"), "electorate.version: expected a number from 1"),
        ("- 1\n", "MYRTLESPAR_FLEET: expected `object`"),
        ("a: [", "MYRTLESPAR_FLEET: not YAML"),
    ],
)
def test_a_fault_in_the_file_is_one_line_naming_the_key(tmp_path: Path, text: str, line: str) -> None:
    path = tmp_path / "fleet.yaml"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        read_fleet(str(path), "a")
    assert str(caught.value).startswith(line) and "\n" not in str(caught.value), str(caught.value)
    path.write_text(GOOD)
    assert read_fleet(str(path), "z").name == "a"
    assert read_fleet(str(path), "z").advertise == "127.0.1.1:7000"


SCRIPT = "fleet: {sites: {a: 2, b: 1}, engine: false}\nlength_s: 9\n"


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("fleet: {sites: {a: 0}}\nlength_s: 9", "fleet.sites.a: expected a count"),
        ("fleet: {sites: {a: 1}, engine: 3}\nlength_s: 9", "fleet.engine: "),
        ("fleet: {sites: {a: 1}}", "length_s: missing"),
        (SCRIPT + "speed: 1", "speed: unknown key"),
        (SCRIPT + "limits: {x: {per_s: 0}}", "limits.x.per_s"),
        (SCRIPT + "judge: [verdicts]", "judge[0]: this build"),
        (SCRIPT + "judge: [joy]", "judge[0]: 'joy'"),
        (SCRIPT + "load: {rate: -1}", "load.rate: "),
        (SCRIPT + "load: {rate: 1, mix: {sell: 1}}", "load.mix.sell: unknown key"),
        (SCRIPT + "events: [{at_s: 1, kill: z9}]", "events[0].kill: no member"),
        (SCRIPT + "events: [{at_s: 1, kill: a1, pause: a1}]", "events[0]: expected one of"),
        (SCRIPT + "events: [{at_s: 10, kill: a1}]", "events[0].at_s: expected"),
        (SCRIPT + "events: [{at_s: 1, kill: a1, for_s: 2}]", "events[0].for_s: unknown key"),
        (SCRIPT + "events: [{at_s: 1, cut: [a1, site z]}]", "events[0].cut[1]: no member"),
        (SCRIPT + "events: [{at_s: 1, cut: [a1, engine]}]", "events[0]: engine: this"),
        (SCRIPT + "events: [{at_s: 1, link: [all, all], drop: 2}]", "events[0].drop: expected"),
        (SCRIPT + "events: [{at_s: 1, kill: a1}, {at_s: 2, leave: a1}]", "events[1].leave: a1 does not run"),
        ("a: [", "script: not YAML"),
        ("3", "script: expected a table"),
    ],
)
def test_a_fault_in_a_script_is_one_line_naming_the_key(text: str, line: str) -> None:
    with pytest.raises(ScriptError) as caught:
        parse(text)
    assert str(caught.value).startswith(line) and "\n" not in str(caught.value), str(caught.value)


def test_rules_of_links_add_up() -> None:
    faults, everyone = ActiveFaults(), frozenset(("a1", "a2", "b1"))
    faults.put(1, FaultRule(everyone, everyone, drop=0.5, delay_ms=10))
    faults.put(2, FaultRule(frozenset(("a1",)), frozenset(("b1",)), one_way=True, cut=True))
    assert faults.link("a1", "b1").cut
    assert not faults.link("b1", "a1").cut
    assert faults.link("b1", "a1").drop == 0.5
    assert not faults.link("b1", "a1").is_reliable
    faults.drop(1)
    assert faults.link("b1", "a1").is_reliable
    assert faults.link("a1", "b1").delays_ms(Random(1)) == []


# The judge can say no, and the emulator says the same each time.


def beliefs_of(script: str, seed: int = 1) -> tuple[SimulatedFleet, GroundTruth]:
    found = parse(script)
    fleet = SimulatedFleet(found.sites, real(TERMS), seed, sizes=False)
    fleet.begin()
    fleet.play(found.steps, 6000)
    fleet.run(6000 + found.length_ms)
    return fleet, GroundTruth(found.members, fleet.deeds, 6000 + found.length_ms, TERMS.pause_ms())


KILL = "fleet: {sites: {a: 3, b: 3, c: 3}}\nlength_s: 14\nevents: [{at_s: 1, kill: b2}]\n"


@pytest.mark.parametrize(
    ("lie", "rule"),
    [
        (Observation(19_000, "a1", "member", "c1", FAILED, 10**13), "no false failure"),
        (Observation(12_000, "a1", "member", "b2", ALIVE, 10**13), "failure known"),
        (Observation(12_000, "a1", "member", "c1", None, 0), "presence known"),
        (Observation(12_000, "a1", "member", "c1", ALIVE, 7), "lives grow"),
        (Observation(9_500, "a1", "standing", "", QuorumStatus.WHOLE), "standing right"),
        (Observation(9_500, "a1", "standing", "a", QuorumStatus.MINORITY), "standing right"),
    ],
)
def test_the_judge_finds_a_lie(lie: Observation, rule: str) -> None:
    fleet, truth = beliefs_of(KILL)
    assert check_membership(truth, fleet.beliefs, TERMS, fleet.sites).broken == []
    found = check_membership(truth, [*fleet.beliefs, lie], TERMS, fleet.sites).broken
    assert any(line.startswith(rule) for line in found), found


def test_the_emulator_is_deterministic_and_sees_seeds() -> None:
    runs = [[dataclasses.astuple(b) for b in beliefs_of(KILL, seed)[0].beliefs] for seed in (3, 3, 4)]
    assert runs[0] == runs[1]
    assert runs[0] != runs[2]


@pytest.mark.parametrize("members", [0, 120])
def test_emulated_fleets_keep_their_promises(members: int) -> None:
    script = KILL.replace(
        "[{at_s: 1, kill: b2}]",
        "[{at_s: 1, kill: b2, restart_after_s: 4}," "{at_s: 1, link: [all, all], drop: 0.05, jitter_ms: 50}]",
    )
    done = play(parse(script, members), 1)
    assert done["broken"] == []
    assert done["false_failures"] == 0
    assert done["detect_ms"]["worst"] < 4000
    assert done["members"] >= (members or 9)


def test_without_health_of_its_own_a_stopped_member_blames_others() -> None:
    """The same stop with and without lateness looked at: it is what keeps others from being failed."""
    script = parse(
        "fleet: {sites: {a: 3, b: 3}}\nlength_s: 20\nevents:\n"
        + "".join(f"  - {{at_s: {n}, pause: a1, for_s: 1.2}}\n" for n in range(1, 16, 2))
    )
    with_it = play(script, 1)
    without = play(script, 1, MembershipSettings(health_most=0, late_ms=86_400_000))
    blamed = "refuted"
    assert with_it["counts"].get("late", 0) > 0
    assert without["counts"].get("late", 0) == 0
    assert with_it["counts"].get(blamed, 0) <= without["counts"].get(blamed, 0)
    assert with_it["broken"] == []


def test_the_design_note_tells_what_the_code_does() -> None:
    text = (Path(__file__).parent.parent / "docs" / "membership.md").read_text()
    for part, acts in ACTS.items():
        assert f"| {part} | {' | '.join(acts)} |" in text
    for name in ("detect_ms", "standing_ms", "heal_ms"):
        row = " | ".join(f"{getattr(TERMS, name)(n):,.0f}" for n in (3, 9, 24, 200))
        assert f"`{name}` | {row} |" in text, row
