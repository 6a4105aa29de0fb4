"""One member's view of all others: the update about each that takes precedence, with the age of its evidence."""

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

MAX_MEMBERS = 16384  # in one view; updates about further members are counted and ignored
REPLAY_WINDOW = 1024  # packets; a duplicate, or one that is this many behind the newest, is dropped
PROBE_CANDIDATES = 3  # sampled members, of which the least recently probed one is probed


@dataclass(slots=True)
class MemberEntry:
    """One other member. Times are monotonic milliseconds of the driver's clock."""

    update: MemberUpdate
    since: float  # when the member's state last changed in this view
    evidence_at: float  # time of the latest evidence of this state
    last_packet_at: float = float("-inf")  # receipt of the last packet from the member itself
    last_answered_at: float = float("-inf")  # its last answer to a probe of ours, direct or indirect
    last_probed_at: float = float("-inf")  # start of our last probe of it
    packet_incarnation: int = 0  # latest incarnation in its packets
    highest_sequence_number: int = 0  # of its packets in `packet_incarnation`
    received_packets: int = 0  # bit n: whether the packet n below the highest number was received
    missed_probes: int = 0  # consecutive probes that it answered only indirectly
    first_missed_at: float = 0.0  # time of the indirect answer to the first of `missed_probes`

    @property
    def present(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.update.state in PRESENT_STATES

    def accept_packet(self, incarnation: int, sequence_number: int) -> bool:
        """Record a packet as received; false if it is a duplicate, too old, or of an earlier incarnation."""
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
    """Return one member's part of a view's hash; a suspect counts as alive, as suspicions are local and short-lived."""
    incarnation, refutation, state = precedence
    if state == MemberState.SUSPECT:
        state = MemberState.ALIVE
    return _hash(f"{name}\0{incarnation}\0{refutation}\0{int(state)}")


def row_hash(row: ReachabilityRow | None) -> int:
    """Return a reachability row's part of a view's hash; 0 for no row or one without broken links."""
    if row is None or not row.unreachable:
        return 0
    return _hash(f"{row.reporter}\0{row.incarnation}\0{row.version}")


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class View:
    """All other members that this member knows. The member itself is part of `hash` only."""

    def __init__(self, self_id: str) -> None:
        self.self_id = self_id
        self.entries: dict[str, MemberEntry] = {}
        self.hash = 0  # exclusive or of the hashes of all entries, rows and this member
        self.failed = SampledSet()
        self.present = SampledSet()
        self.sites: dict[str, SampledSet] = {}  # present members by site
        self.addresses: dict[str, str] = {}  # by address: name of the member last known there
        self.own_precedence: UpdatePrecedence | None = None

    def set_self(self, precedence: UpdatePrecedence) -> None:
        """Replace this member's own part of `hash`."""
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
        """Fill an empty view with these updates, all alive; for simulations of large fleets that joined long ago.

        An update about this member is skipped. `view_hash` is the hash of a view of all of them, this member included.
        """
        for update in updates:
            if update.name != self.self_id:
                self.entries[update.name] = MemberEntry(update, now, now)
                self.addresses[update.address] = update.name
                self._index(update)
        self.hash = view_hash

    def drop(self, name: str) -> MemberEntry:
        """Remove a member and return its entry."""
        entry = self.entries.pop(name)
        self.hash ^= entry_hash(name, entry.update.precedence)
        if self.addresses.get(entry.update.address) == name:
            del self.addresses[entry.update.address]
        for names in (self.present, self.failed, *self.sites.values()):
            names.discard(name)
        return entry

    def record_answer(self, name: str, now: float) -> None:
        """Record that a member answered a probe of ours."""
        entry = self.entries[name]
        entry.last_answered_at = now
        entry.evidence_at = now

    def next_to_probe(self, random: Random, exclude: Container[str]) -> str | None:
        """Return the least recently probed of PROBE_CANDIDATES sampled present members that are not in `exclude`.

        Sampling lets members probe in different orders: in a common order all would probe one member at the same time,
        and then none would probe it for long.
        """
        candidates = [name for name in self.present.sample(random, PROBE_CANDIDATES) if name not in exclude]
        if not candidates:
            candidates = [name for name in self.present if name not in exclude][:PROBE_CANDIDATES]
        return min(candidates, key=lambda name: self.entries[name].last_probed_at) if candidates else None
