"""Promises that hold at each single step, checked as a run goes on."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from myrtlespar.membership.messages import (
    FAILED,
    LEFT,
    PRESENT_STATES,
    SUSPECT,
    CountEvent,
    MemberChanged,
    MembershipEffect,
    MemberUpdate,
    QuorumChanged,
)
from myrtlespar.model_checker.fleet.faults import Cut, Fault, LosePacket, Stop


@dataclass(slots=True)
class FaultHistory:
    """The faults of a run so far."""

    faults: list[tuple[float, Fault]] = field(default_factory=list)  # time, fault
    lost_packets: int = 0
    affected: set[str] = field(default_factory=set)  # members that anything but lost packets happened to


@dataclass(slots=True)
class StepInvariants:
    """Remembers what each member has believed, and finds broken promises."""

    history: FaultHistory
    violations: list[str] = field(default_factory=list)
    beliefs: dict[tuple[str, str], tuple[int, int, int]] = field(default_factory=dict)  # greatest precedence seen
    left: dict[tuple[str, str], int] = field(default_factory=dict)  # observer, member: incarnation that left
    quorum_statuses: dict[tuple[str, str], int] = field(default_factory=dict)  # member, scope
    own_updates: dict[str, tuple[int, int]] = field(default_factory=dict)  # the greatest of each about itself

    def record_violation(self, invariant: str, text: str, now: float) -> None:
        """Record a broken promise."""
        self.violations.append(f"{invariant}: {text} at {now:.0f} ms")

    def restarted(self, name: str) -> None:
        """A process started: what its earlier incarnation believed is void."""
        for pair in [pair for pair in self.beliefs if pair[0] == name]:
            del self.beliefs[pair]
        for pair in [pair for pair in self.left if pair[0] == name]:
            del self.left[pair]
        for pair in [pair for pair in self.quorum_statuses if pair[0] == name]:
            del self.quorum_statuses[pair]

    def latest_incarnation(self, name: str, default: int) -> int:
        """The latest incarnation of a member that any other has believed in."""
        return max((key[0] for (_, other), key in self.beliefs.items() if other == name), default=default)

    def check_own_update(self, update: MemberUpdate) -> None:
        """Remember what a member says of itself."""
        self.own_updates[update.name] = max(self.own_updates.get(update.name, (0, 0)), update.precedence[:2])

    def check_quorum_change(self, name: str, change: QuorumChanged, now: float) -> None:
        """Changes of the quorum status come in order."""
        before = self.quorum_statuses.get((name, change.scope), change.old_status)
        if before != change.old_status:
            self.record_violation("changes of standing come in order", f"{name} told {change}", now)
        self.quorum_statuses[name, change.scope] = change.new_status

    def check_replay(
        self,
        receiver: str,
        sender: str,
        duplicate: bool,
        outdated: bool,
        same_view: bool,
        effects: Sequence[MembershipEffect],
        now: float,
    ) -> None:
        """Duplicate packets and those of an earlier incarnation change nothing."""
        counted = any(isinstance(effect, CountEvent) and effect.counter == "replayed" for effect in effects)
        changed = any(isinstance(effect, MemberChanged | QuorumChanged) for effect in effects)
        if duplicate and (not same_view or changed or not counted):
            self.record_violation("a doubled packet changes nothing", f"{receiver} took one of {sender} twice", now)
        if outdated and not counted:
            self.record_violation("a packet of an old life changes nothing", f"{receiver} took one of {sender}", now)

    def check_member_change(self, name: str, change: MemberChanged, now: float) -> None:
        """Check all promises about one change of one member's view."""
        pair = (name, change.name)
        if change.new_state is None:
            self.beliefs.pop(pair, None)
            return
        self._check_precedence(name, change, change.new_state, now)
        if change.new_state == LEFT:
            self.left[pair] = change.incarnation
        elif change.new_state in PRESENT_STATES and self.left.get(pair, -1) >= change.incarnation:
            self.record_violation("nobody is brought back after it left", f"{name} believes {change.name} back", now)
        own = self.own_updates[change.name]
        if (change.incarnation, change.refutation) > own:
            text = f"{name} has {change.incarnation, change.refutation} of {change.name}, it had {own}"
            self.record_violation("only a member raises its own counter", text, now)
        if change.new_state == SUSPECT:
            self._check_suspicion(name, change, now)
        is_undisturbed = not {name, change.name} & self.history.affected
        if change.new_state == FAILED and is_undisturbed and self.history.lost_packets <= 2:
            self.record_violation("who is well is not failed", f"{name} failed {change.name}", now)

    def _check_precedence(self, name: str, change: MemberChanged, state: int, now: float) -> None:
        pair = (name, change.name)
        precedence = (change.incarnation, change.refutation, state)
        known = self.beliefs.get(pair)
        if known is not None and precedence < known:
            text = f"{name} went from {known} to {precedence} of {change.name}"
            self.record_violation("an old life never beats a new one", text, now)
        self.beliefs[pair] = max(precedence, known or precedence)

    def _check_suspicion(self, name: str, change: MemberChanged, now: float) -> None:
        faults = [fault for _, fault in self.history.faults]
        first = faults[0] if faults else None
        if len(faults) == 1 and isinstance(first, Cut) and len({end for link in first.links for end in link}) == 2:
            self.record_violation("who answers another is not suspected", f"{name} suspects {change.name}", now)
        if (
            change.accuser == name
            and change.name not in self.history.affected
            and self.history.lost_packets <= 1
            and all(isinstance(fault, LosePacket | Stop) for fault in faults)
        ):
            self.record_violation("one lost packet and a stop blame nobody", f"{name} suspects {change.name}", now)
