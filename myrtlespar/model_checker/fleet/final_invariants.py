"""Invariants that hold once no fault has happened for long enough, checked at the end of each run."""

from __future__ import annotations

from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import LEFT, PRESENT_STATES
from myrtlespar.membership.quorum import QuorumStatus, quorum_status
from myrtlespar.model_checker.fleet.events import MESSAGE_KINDS
from myrtlespar.model_checker.fleet.world import HOP_MS, MEMBER_NAMES, SETTINGS, World

MAX_STEPS = 20_000  # steps after which a run counts as one that does not converge
REST_MARGIN_MS = 300.0  # added to the time within which the members must have converged


def run_to_convergence(world: World) -> None:
    """Continue without further faults until all invariants must hold, and check them.

    The quorum status is also checked in between, once after each change to the running members and working links.
    """
    fleet_size = len(MEMBER_NAMES)
    quorum_bound = SETTINGS.standing_ms(fleet_size)
    rest_ms = max(quorum_bound, SETTINGS.heal_ms(fleet_size), SETTINGS.detect_ms(fleet_size)) + REST_MARGIN_MS
    checked_change = -1.0
    while world.steps < MAX_STEPS:
        pending = any(event.kind not in MESSAGE_KINDS for event in world.queue)
        if not pending and world.now > max(world.changed_at, world.history.faults[-1][0]) + rest_ms:
            break
        settled = world.now > world.changed_at + quorum_bound and not world.stopped
        if settled and checked_change != world.changed_at:
            checked_change = world.changed_at
            check_quorum(world)
        world.step()
        if world.violations:
            return
    else:
        world.record_violation("a run comes to rest", f"not within {MAX_STEPS} steps")
        return
    check_quorum(world)
    check_views(world)


def are_linked(world: World, first: str, second: str) -> bool | None:
    """Return whether two members receive messages from one another, directly or through the third member.

    Returns None if this is so only over a circle of one-way links. There, a member is repeatedly suspected and refutes
    the suspicion, so that no particular quorum status can be expected.
    """
    third = next(name for name in MEMBER_NAMES if name not in (first, second))
    third_runs = world.members[third] is not None and third not in world.left

    def one_way(sender: str, receiver: str) -> bool:
        """Return whether the direct link in this direction is not cut."""
        return (sender, receiver) not in world.cuts

    def both_ways(origin: str, target: str) -> bool:
        """Return whether the direct links between two members are not cut in either direction."""
        return one_way(origin, target) and one_way(target, origin)

    if both_ways(first, second) or (third_runs and both_ways(first, third) and both_ways(third, second)):
        return True
    paths = [
        one_way(origin, target) or (third_runs and one_way(origin, third) and one_way(third, target))
        for origin, target in ((first, second), (second, first))
    ]
    return None if all(paths) else False


def check_quorum(world: World) -> None:
    """Check each member's quorum status, and that no two members that can't reach one another both claim a majority."""
    majority_claims = []
    for name, member in world.members.items():
        if member is None or member.leaving:
            continue
        links = [
            are_linked(world, name, other)
            for other in MEMBER_NAMES
            if other != name and (peer := world.members[other]) is not None and not peer.leaving
        ]
        if None in links:
            continue
        others = sum(bool(linked) for linked in links)
        expected = quorum_status(len(MEMBER_NAMES), others + 1, others)
        actual = member.quorum.fleet.status
        if actual != expected:
            world.record_violation("a standing is right in time", f"{name} has {actual.name}, expected {expected.name}")
        if actual >= QuorumStatus.MAJORITY:
            majority_claims.append(name)
    for first in majority_claims:
        for second in majority_claims:
            if first < second and are_linked(world, first, second) is False:
                world.record_violation("two parts never both claim a majority", f"{first} and {second}")


def check_views(world: World) -> None:
    """Check the views of all members once they have converged and all links work.

    Each member must know the present state of every other, all views must be equal, and no suspicion, probe or update
    may be left.
    """
    running = {name: member for name, member in world.members.items() if member is not None}
    for name, member in running.items():
        for other in MEMBER_NAMES:
            if other != name:
                _check_belief(world, name, member, other, running.get(other))
        _check_no_leftovers(world, name, member)
    if len({member.view.hash for member in running.values()}) > 1:
        world.record_violation("views at rest are equal", " ".join(sorted(running)))


def _check_belief(world: World, name: str, member: Member, other: str, peer: Member | None) -> None:
    entry = member.view.entries.get(other)
    if peer is not None:
        if entry is None or entry.update.precedence != peer.self_update.precedence:
            text = f"{name} has {entry and entry.update} of {other}, expected {peer.self_update}"
            world.record_violation("all know who is there, in its present life", text)
        return
    if entry is None:
        return
    if entry.update.state in PRESENT_STATES:
        world.record_violation("all know who is not there", f"{name} believes {other} present")
    undisturbed = world.history.lost_packets == 0 and len(world.history.faults) == 1
    if other in world.left and entry.update.state != LEFT and undisturbed:
        world.record_violation("a goodbye is heard", f"{name} has {other} in state {entry.update.state}")


def _check_no_leftovers(world: World, name: str, member: Member) -> None:
    others_present = len(member.view.present) > 0
    if member.suspicions.by_name:
        world.record_violation("nothing is left behind", f"{name} still suspects {sorted(member.suspicions.by_name)}")
    if len(member.outbox.dissemination) and others_present:
        world.record_violation("spreading ends", f"{name} still spreads {len(member.outbox.dissemination)} updates")
    late = [probe for probe in member.prober.probes.values() if probe.deadline < world.now - HOP_MS]
    if late:
        world.record_violation("nothing is left behind", f"{name} holds {len(late)} probes past their deadlines")
    if member.prober.health and others_present:
        world.record_violation("who is well trusts itself again", f"{name} has local health {member.prober.health}")
    # All links work, so no reachability row may contain an unreachable member.
    if any(row.unreachable for row in member.reachability.rows.values()):
        world.record_violation(
            "whole links are named whole", f"{name} has reachability rows {member.reachability.rows}"
        )
