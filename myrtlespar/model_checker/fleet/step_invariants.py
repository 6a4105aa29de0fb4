"""Invariants that hold at each step, checked during a run."""

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
    """The faults of a run so far, with their times."""

    faults: list[tuple[float, Fault]] = field(default_factory=list)  # (time in ms, fault)
    lost_packets: int = 0  # lost and delayed packets
    affected: set[str] = field(default_factory=set)  # members with a fault other than lost or delayed packets


@dataclass(slots=True)
class StepInvariants:
    """Records what each member has believed, and finds broken invariants."""

    history: FaultHistory
    violations: list[str] = field(default_factory=list)
    # By (observer, member): the greatest precedence of that member that the observer has believed.
    beliefs: dict[tuple[str, str], tuple[int, int, int]] = field(default_factory=dict)
    # By (observer, member): the incarnation of the member that the observer saw leave.
    left: dict[tuple[str, str], int] = field(default_factory=dict)
    quorum_statuses: dict[tuple[str, str], int] = field(default_factory=dict)  # by (member, scope)
    # By member: the greatest (incarnation, refutation counter) that it has announced about itself.
    own_updates: dict[str, tuple[int, int]] = field(default_factory=dict)

    def record_violation(self, invariant: str, text: str, now: float) -> None:
        """Record a broken invariant, with the time in milliseconds."""
        self.violations.append(f"{invariant}: {text} at {now:.0f} ms")

    def restarted(self, name: str) -> None:
        """Forget what the earlier incarnation of a restarted member believed."""
        for pair in [pair for pair in self.beliefs if pair[0] == name]:
            del self.beliefs[pair]
        for pair in [pair for pair in self.left if pair[0] == name]:
            del self.left[pair]
        for pair in [pair for pair in self.quorum_statuses if pair[0] == name]:
            del self.quorum_statuses[pair]

    def latest_incarnation(self, name: str, default: int) -> int:
        """Return the latest incarnation of a member that any other member has believed, or `default`."""
        return max((key[0] for (_, other), key in self.beliefs.items() if other == name), default=default)

    def check_own_update(self, update: MemberUpdate) -> None:
        """Record what a member announces about itself."""
        self.own_updates[update.name] = max(self.own_updates.get(update.name, (0, 0)), update.precedence[:2])

    def check_quorum_change(self, name: str, change: QuorumChanged, now: float) -> None:
        """Check that a change of the quorum status begins with the status that was reported last."""
        before = self.quorum_statuses.get((name, change.scope), change.old_status)
        if before != change.old_status:
            self.record_violation("changes of standing come in order", f"{name} reported {change}", now)
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
        """Check that duplicate packets and those of an earlier incarnation change nothing and are counted.

        Args:
            receiver: The member that received the packet.
            sender: The member that sent it.
            duplicate: Whether the packet is the second copy of one that has arrived.
            outdated: Whether it is from an earlier incarnation of the sender than the receiver has seen.
            same_view: Whether the receiver's view is the same as before the packet.
            effects: The receiver's effects for the packet.
            now: The time in milliseconds.
        """
        counted = any(isinstance(effect, CountEvent) and effect.counter == "replayed" for effect in effects)
        changed = any(isinstance(effect, MemberChanged | QuorumChanged) for effect in effects)
        if duplicate and (not same_view or changed or not counted):
            self.record_violation(
                "a doubled packet changes nothing", f"{receiver} accepted a packet of {sender} twice", now
            )
        if outdated and not counted:
            self.record_violation(
                "a packet of an old life changes nothing", f"{receiver} accepted a packet of {sender}", now
            )

    def check_member_change(self, name: str, change: MemberChanged, now: float) -> None:
        """Check all invariants about one change of a member's view."""
        pair = (name, change.name)
        if change.new_state is None:
            self.beliefs.pop(pair, None)
            return
        self._check_precedence(name, change, change.new_state, now)
        if change.new_state == LEFT:
            self.left[pair] = change.incarnation
        elif change.new_state in PRESENT_STATES and self.left.get(pair, -1) >= change.incarnation:
            self.record_violation(
                "nobody is brought back after it left", f"{name} believes {change.name} present again", now
            )
        own = self.own_updates[change.name]
        if (change.incarnation, change.refutation) > own:
            text = f"{name} has {change.incarnation, change.refutation} of {change.name}, which announced {own}"
            self.record_violation("only a member raises its own counter", text, now)
        if change.new_state == SUSPECT:
            self._check_suspicion(name, change, now)
        # Up to two lost or delayed packets may not make one undisturbed member declare another one failed.
        is_undisturbed = not {name, change.name} & self.history.affected
        if change.new_state == FAILED and is_undisturbed and self.history.lost_packets <= 2:
            self.record_violation("who is well is not failed", f"{name} declared {change.name} failed", now)

    def _check_precedence(self, name: str, change: MemberChanged, state: int, now: float) -> None:
        pair = (name, change.name)
        precedence = (change.incarnation, change.refutation, state)
        known = self.beliefs.get(pair)
        if known is not None and precedence < known:
            text = f"{name} went back from {known} to {precedence} of {change.name}"
            self.record_violation("an old life never beats a new one", text, now)
        self.beliefs[pair] = max(precedence, known or precedence)

    def _check_suspicion(self, name: str, change: MemberChanged, now: float) -> None:
        faults = [fault for _, fault in self.history.faults]
        first = faults[0] if faults else None
        # If only the link between two members is cut, indirect probes through the third must prevent a suspicion.
        if len(faults) == 1 and isinstance(first, Cut) and len({end for link in first.links for end in link}) == 2:
            self.record_violation("who answers another is not suspected", f"{name} suspects {change.name}", now)
        # Neither one lost packet nor the stop of the accuser itself may lead to a suspicion of an undisturbed member.
        if (
            change.accuser == name
            and change.name not in self.history.affected
            and self.history.lost_packets <= 1
            and all(isinstance(fault, LosePacket | Stop) for fault in faults)
        ):
            self.record_violation("one lost packet and a stop blame nobody", f"{name} suspects {change.name}", now)
