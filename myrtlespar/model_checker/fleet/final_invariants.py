"""Promises that hold once the network has been quiet for long enough, checked at the end of each run."""

from __future__ import annotations

from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import LEFT, PRESENT_STATES
from myrtlespar.membership.quorum import QuorumStatus, quorum_status
from myrtlespar.model_checker.fleet.events import MESSAGE_KINDS
from myrtlespar.model_checker.fleet.world import HOP_MS, MEMBER_NAMES, SETTINGS, World

MAX_STEPS = 20_000  # of one run; more means that it does not come to rest
REST_MARGIN_MS = 300.0


def run_to_convergence(world: World) -> None:
    """Continue by default until all that was promised must hold, and check it.

    The quorum status is also checked at the end of cuts.
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


def are_linked(world: World, a: str, b: str) -> bool | None:
    """Whether both receive from one another, directly or through the third.

    None if only round a circle of one-way links, where a member is suspected and refutes again and again, and no
    quorum status is promised.
    """
    third = next(name for name in MEMBER_NAMES if name not in (a, b))
    third_runs = world.members[third] is not None and third not in world.left

    def one_way(sender: str, receiver: str) -> bool:
        return (sender, receiver) not in world.cuts

    def both_ways(x: str, y: str) -> bool:
        return one_way(x, y) and one_way(y, x)

    if both_ways(a, b) or (third_runs and both_ways(a, third) and both_ways(third, b)):
        return True
    paths = [one_way(x, y) or (third_runs and one_way(x, third) and one_way(third, y)) for x, y in ((a, b), (b, a))]
    return None if all(paths) else False


def check_quorum(world: World) -> None:
    """Each quorum status is right, and no two members that can't reach one another both claim a majority."""
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
            world.record_violation(
                "a standing is right in time", f"{name} has {actual.name}, should have {expected.name}"
            )
        if actual >= QuorumStatus.MAJORITY:
            majority_claims.append(name)
    for a in majority_claims:
        for b in majority_claims:
            if a < b and are_linked(world, a, b) is False:
                world.record_violation("two parts never both claim a majority", f"{a} and {b}")


def check_views(world: World) -> None:
    """At rest, with all links working: each knows all as they are, views are equal, nothing is left over."""
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
            text = f"{name} has {entry and entry.update} of {other}"
            world.record_violation("all know who is there, in its present life", text)
        return
    if entry is None:
        return
    if entry.update.state in PRESENT_STATES:
        world.record_violation("all know who is not there", f"{name} believes {other} here")
    undisturbed = world.history.lost_packets == 0 and len(world.history.faults) == 1
    if other in world.left and entry.update.state != LEFT and undisturbed:
        world.record_violation("a goodbye is heard", f"{name} has {other} as {entry.update.state}")


def _check_no_leftovers(world: World, name: str, member: Member) -> None:
    others_present = len(member.view.present) > 0
    if member.suspicions.by_name:
        world.record_violation("nothing is left behind", f"{name} still suspects {sorted(member.suspicions.by_name)}")
    if len(member.outbox.dissemination) and others_present:
        world.record_violation("spreading ends", f"{name} still tells {len(member.outbox.dissemination)}")
    late = [probe for probe in member.prober.probes.values() if probe.deadline < world.now - HOP_MS]
    if late:
        world.record_violation("nothing is left behind", f"{name} holds {len(late)} probes past their time")
    if member.prober.health and others_present:
        world.record_violation("who is well trusts itself again", f"{name} has health {member.prober.health}")
    if any(row.unreachable for row in member.reachability.rows.values()):
        world.record_violation("whole links are named whole", f"{name} has {member.reachability.rows}")
