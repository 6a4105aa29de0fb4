"""What one member believes of all others: the update about each that takes precedence, with the age of the evidence."""

from __future__ import annotations

import hashlib
from collections.abc import Container, Sequence
from dataclasses import dataclass
from random import Random

from myrtlespar.membership.messages import (
    FAILED,
    PRESENT_STATES,
    MemberState,
    MemberUpdate,
    ReachabilityRow,
    UpdatePrecedence,
)
from myrtlespar.membership.sampled_set import SampledSet

MAX_MEMBERS = 16384  # in one view; more are counted and left out
REPLAY_WINDOW = 1024  # packets; one received twice, or older than this many, is dropped
PROBE_CANDIDATES = 3


@dataclass(slots=True)
class MemberEntry:
    """One other member. Times are the driver's monotonic milliseconds."""

    update: MemberUpdate
    since: float  # when it came to this state in our view
    evidence_at: float  # when the freshest evidence of this state was made
    last_packet_at: float = float("-inf")  # when the last packet from the member itself came
    last_answered_at: float = float("-inf")  # its last answer to a probe of ours
    last_probed_at: float = float("-inf")  # start of our last probe of it
    packet_incarnation: int = 0  # the latest one that its packets stated
    highest_sequence_number: int = 0  # of its packets within that incarnation
    received_packets: int = 0  # bit n: the packet n before the highest one was received
    missed_probes: int = 0  # direct probes in a row that only indirect ones saved
    missed_since: float = 0.0  # of the first of these

    @property
    def present(self) -> bool:
        """Alive or suspect."""
        return self.update.state in PRESENT_STATES

    def accept_packet(self, incarnation: int, sequence_number: int) -> bool:
        """Mark a packet as received; false if it is a replay, too old, or of an earlier incarnation."""
        if incarnation != self.packet_incarnation:
            if incarnation < self.packet_incarnation:
                return False
            self.packet_incarnation = incarnation
            self.highest_sequence_number = sequence_number
            self.received_packets = 1
            return True
        ahead = sequence_number - self.highest_sequence_number
        if ahead > 0:
            shifted = self.received_packets << min(ahead, REPLAY_WINDOW)
            self.received_packets = (shifted | 1) & (1 << REPLAY_WINDOW) - 1
            self.highest_sequence_number = sequence_number
            return True
        behind = -ahead
        if behind >= REPLAY_WINDOW or self.received_packets >> behind & 1:
            return False
        self.received_packets |= 1 << behind
        return True


def entry_hash(name: str, precedence: UpdatePrecedence) -> int:
    """One member's part of a view's hash; suspicion is local and passing, so it counts as alive."""
    incarnation, refutation, state = precedence
    if state == MemberState.SUSPECT:
        state = MemberState.ALIVE
    return _hash(f"{name}\0{incarnation}\0{refutation}\0{int(state)}")


def row_hash(row: ReachabilityRow | None) -> int:
    """A reachability row's part of a view's hash; an empty one counts as none."""
    if row is None or not row.unreachable:
        return 0
    return _hash(f"{row.reporter}\0{row.incarnation}\0{row.version}")


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class View:
    """All other members that this member knows; it is itself part of `hash` only."""

    def __init__(self, self_id: str) -> None:
        self.self_id = self_id
        self.entries: dict[str, MemberEntry] = {}
        self.hash = 0
        self.failed = SampledSet()
        self.present = SampledSet()
        self.sites: dict[str, SampledSet] = {}  # present members by site
        self.addresses: dict[str, str] = {}  # address: the name last known there
        self.own_precedence: UpdatePrecedence | None = None

    def set_self(self, precedence: UpdatePrecedence) -> None:
        """Replace this member's own part of the hash."""
        if self.own_precedence is not None:
            self.hash ^= entry_hash(self.self_id, self.own_precedence)
        self.own_precedence = precedence
        self.hash ^= entry_hash(self.self_id, precedence)

    def put(self, update: MemberUpdate, now: float) -> MemberEntry:
        """Store an update that takes precedence over the known one."""
        name = update.name
        entry = self.entries.get(name)
        if entry is None:
            entry = self.entries[name] = MemberEntry(update, now, now - update.age_ms)
        else:
            self._replace(entry, update, now)
        self.hash ^= entry_hash(name, update.precedence)
        self.addresses[update.address] = name
        self._index(update)
        return entry

    def _replace(self, entry: MemberEntry, update: MemberUpdate, now: float) -> None:
        known = entry.update
        name = update.name
        self.hash ^= entry_hash(name, known.precedence)
        if known.state != update.state:
            entry.since = now
        if known.site != update.site:
            self.sites[known.site].discard(name)
        if known.address != update.address and self.addresses.get(known.address) == name:
            del self.addresses[known.address]
        entry.update = update
        entry.evidence_at = now - update.age_ms

    def _index(self, update: MemberUpdate) -> None:
        name = update.name
        site = self.sites.setdefault(update.site, SampledSet())
        if update.state in PRESENT_STATES:
            self.present.add(name)
            site.add(name)
        else:
            self.present.discard(name)
            site.discard(name)
        if update.state == FAILED:
            self.failed.add(name)
        else:
            self.failed.discard(name)

    def fill(self, updates: Sequence[MemberUpdate], now: float, view_hash: int) -> None:
        """Start with all of these alive, except this member; for simulations of large fleets that joined long ago.

        `view_hash` is the hash of a view of all of them, this member included.
        """
        for update in updates:
            if update.name != self.self_id:
                self.entries[update.name] = MemberEntry(update, now, now)
                self.addresses[update.address] = update.name
                self._index(update)
        self.hash = view_hash

    def drop(self, name: str) -> MemberEntry:
        """Forget a member."""
        entry = self.entries.pop(name)
        self.hash ^= entry_hash(name, entry.update.precedence)
        if self.addresses.get(entry.update.address) == name:
            del self.addresses[entry.update.address]
        for names in (self.present, self.failed, *self.sites.values()):
            names.discard(name)
        return entry

    def mark_answered(self, name: str, now: float) -> None:
        """A member answered a probe of ours."""
        entry = self.entries[name]
        entry.last_answered_at = now
        entry.evidence_at = now

    def next_to_probe(self, random: Random, busy: Container[str]) -> str | None:
        """Of PROBE_CANDIDATES sampled present members that are not in `busy`, the one least recently probed.

        Sampling keeps the members' turns apart: in one common order all would probe one member at once, and then none
        for long.
        """
        candidates = [name for name in self.present.sample(random, PROBE_CANDIDATES) if name not in busy]
        if not candidates:
            candidates = [name for name in self.present if name not in busy][:PROBE_CANDIDATES]
        return min(candidates, key=lambda name: self.entries[name].last_probed_at) if candidates else None
