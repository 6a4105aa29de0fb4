"""The invariants of membership, also called promises: one check for each, with a bound computed from the settings.

The checks compare the ground truth with the times at which each member observed it. They verify both real processes
and the simulation. Times are milliseconds from the start of a run.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from myrtlespar.fleet_tests.ground_truth import GroundTruth, TruthInterval
from myrtlespar.fleet_tests.observations import Observation, ObservationHistory, Step, steps_during
from myrtlespar.membership.messages import PRESENT_STATES, MemberState
from myrtlespar.membership.quorum import FLEET, quorum_status
from myrtlespar.membership.settings import MembershipSettings

SLACK_MS = 250.0  # allowance for processes that share cores and for the delay of log lines


@dataclass(slots=True)
class InvariantReport:
    """The results of the checks.

    The names of the promises call a quorum status "standing" and an incarnation "life", as the logs do.

    Attributes:
        broken: A line for each violation, with its time and members.
        detect_ms: Times from the stop of a member until an observer noticed it.
        known_ms: Times from the return of a member or its link until an observer noticed it.
        restart_ms: Times from the start of a new process until an observer knew its incarnation.
        standing_ms: Times from a change of members or links until an observer's quorum status was right for good.
        false_failures: The number of members wrongly declared failed.
        checked: The number of checks by promise.
    """

    broken: list[str] = field(default_factory=list)
    detect_ms: list[float] = field(default_factory=list)
    known_ms: list[float] = field(default_factory=list)
    restart_ms: list[float] = field(default_factory=list)
    standing_ms: list[float] = field(default_factory=list)
    false_failures: int = 0
    checked: dict[str, int] = field(default_factory=dict)

    def count_check(self, promise: str) -> None:
        """Count a check of a promise."""
        self.checked[promise] = self.checked.get(promise, 0) + 1


def check_membership(
    truth: GroundTruth,
    observations: Iterable[Observation],
    settings: MembershipSettings,
    sites: Mapping[str, Sequence[str]],
    observers: Sequence[str] = (),
    slack_ms: float = SLACK_MS,
) -> InvariantReport:
    """Check all promises of membership.

    Args:
        truth: The ground truth of the run.
        observations: What the members logged.
        settings: The members' settings, from which the bounds are computed.
        sites: The voters of each site. For the quorum of the whole fleet, all members count as voters.
        observers: The members whose observations are checked; empty: all.
        slack_ms: Added to each bound.
    """
    checker = _MembershipChecker(truth, ObservationHistory(observations), settings, slack_ms)
    observers = list(observers) or list(truth.members)
    checker.no_false_failure(set(observers))
    for observer in observers:
        for member in truth.members:
            if observer != member:
                checker.failure_known(observer, member)
                checker.presence_known(observer, member)
                checker.incarnations_grow(observer, member)
                checker.measure_restarts(observer, member)
    for scope, electors in {FLEET: truth.members, **sites}.items():
        for observer in observers:
            checker.quorum_status_right(observer, scope, electors)
    return checker.report


def present(interval: TruthInterval, observer: str, electors: Sequence[str]) -> frozenset[str] | None:
    """Return the other electors that the observer should believe present; None if a lossy link allows either belief."""
    members = set()
    for name in electors:
        if name == observer:
            continue
        if interval.linked(observer, name):
            members.add(name)
        elif not interval.apart(observer, name):
            return None
    return frozenset(members)


class _MembershipChecker:
    """Runs the checks on one run and adds the results to `report`."""

    def __init__(
        self, truth: GroundTruth, history: ObservationHistory, settings: MembershipSettings, slack_ms: float
    ) -> None:
        self.truth = truth
        self.history = history
        self.settings = settings
        self.slack_ms = slack_ms
        self.member_count = len(truth.members)
        self.report = InvariantReport()

    def no_false_failure(self, observers: set[str]) -> None:
        """Promise: no observer declares a member failed wrongly.

        It is wrong if the member was running and linked to the observer throughout the last standing_ms.
        """
        window = self.settings.standing_ms(self.member_count) + self.slack_ms
        for row in self.history.rows:
            if row.kind != "member" or row.state != MemberState.FAILED:
                continue
            if row.observer not in observers or row.at > self.truth.end:
                continue
            self.report.count_check("no false failure")
            intervals = self.truth.between(row.at - window, row.at)
            linked = all(interval.linked(row.observer, row.subject) for interval in intervals)
            if row.at > window and intervals and linked:
                self.report.false_failures += 1
                self.report.broken.append(
                    f"no false failure: {row.observer} failed {row.subject} at {row.at / 1000:.2f} s"
                )

    def failure_known(self, observer: str, member: str) -> None:
        """Promise: an observer does not believe a stopped or cut-off member present after the bound.

        The bound is detect_ms if the member is down and the observer is linked to at least half of the members (an
        observer counts as linked to itself), else standing_ms. The promise does not cover a running member that is cut
        off while other links are bad: each of its refutations that gets through makes the observer believe it present
        again. Only the quorum status is promised then.
        """
        spans = self.truth.spans(
            lambda interval: (
                interval.apart(observer, member) and (interval.all_links_good or member not in interval.running)
            )
        )
        for start, end in spans:
            interval = self.truth.between(start, start)[-1]
            is_down = member not in interval.running
            steps = steps_during(self.history.of_member(observer, member), start, end)
            if is_down:
                self._measure_detection(steps, start)
            bound = self._failure_bound(interval, observer, is_down)
            if end - start <= bound:
                continue
            self.report.count_check("failure known")
            until = _first_late(steps, start + bound, end, while_present=True)
            if until is not None:
                self.report.broken.append(
                    f"failure known: {observer} believed {member} here at {until / 1000:.2f} s, gone since "
                    f"{start / 1000:.2f} s, bound {bound:.0f} ms"
                )

    def presence_known(self, observer: str, member: str) -> None:
        """Promise: an observer believes a member present at most heal_ms after the member became running and linked."""
        bound = self.settings.heal_ms(self.member_count) + self.slack_ms
        for start, end in self.truth.spans(lambda interval: interval.linked(observer, member)):
            steps = steps_during(self.history.of_member(observer, member), start, end)
            present_at = [at for at, state, _ in steps if state in PRESENT_STATES]
            if present_at and start > 0 and not _is_present_at(steps, start):
                self.report.known_ms.append(present_at[0] - start)
            if end - start <= bound:
                continue
            self.report.count_check("presence known")
            until = _first_late(steps, start + bound, end, while_present=False)
            if until is not None:
                self.report.broken.append(
                    f"presence known: {observer} did not believe {member} here at {until / 1000:.2f} s, linked since "
                    f"{start / 1000:.2f} s, bound {bound:.0f} ms"
                )

    def incarnations_grow(self, observer: str, member: str) -> None:
        """Promise: an old incarnation never supersedes a newer one.

        An incarnation that left the fleet is not believed present again.
        """
        self.report.count_check("lives grow")
        newest = 0
        left = 0
        for at, state, incarnation in self.history.of_member(observer, member):
            if state is None:
                newest = 0
                left = 0
                continue
            if incarnation < newest:
                self.report.broken.append(
                    f"lives grow: {observer} went from life {newest} of {member} back to {incarnation} "
                    f"at {at / 1000:.2f} s"
                )
            if left == incarnation and state in PRESENT_STATES:
                self.report.broken.append(
                    f"lives grow: {observer} believed {member} back after it left, at {at / 1000:.2f} s"
                )
            newest = max(newest, incarnation)
            if state == MemberState.LEFT:
                left = incarnation

    def measure_restarts(self, observer: str, member: str) -> None:
        """Measure the time from a restart until an observer that is linked throughout knows the new incarnation."""
        steps = self.history.of_member(observer, member)
        actions = [action for action in self.truth.actions if action.name == member]
        downs = [action.at for action in actions if action.kind == "down"]
        for action in actions:
            if action.kind != "up" or not any(at <= action.at for at in downs):
                continue
            since = max(at for at in downs if at <= action.at)
            before = max((incarnation for at, _, incarnation in steps if at <= since), default=0)
            known_at = next(
                (
                    at
                    for at, state, incarnation in steps
                    if at > since and state in PRESENT_STATES and incarnation > before
                ),
                None,
            )
            if known_at is None:
                continue
            intervals = self.truth.between(action.at, max(known_at, action.at))
            if all(interval.linked(observer, member) for interval in intervals):
                self.report.restart_ms.append(max(0.0, known_at - action.at))

    def quorum_status_right(self, observer: str, scope: str, electors: Sequence[str]) -> None:
        """Promise: a quorum status is right at most standing_ms after the set of reachable electors last changed."""
        sets = {
            present(interval, observer, electors) for interval in self.truth.intervals if observer in interval.running
        }
        for members in sorted((found for found in sets if found is not None), key=sorted):
            self._quorum_status_right_while(observer, scope, electors, members)

    def _quorum_status_right_while(
        self, observer: str, scope: str, electors: Sequence[str], members: frozenset[str]
    ) -> None:
        """Check the promise in all time spans in which the observer should count exactly these members."""
        bound = self.settings.standing_ms(self.member_count) + self.slack_ms
        wanted = quorum_status(len(electors), len(members) + int(observer in electors), len(members))
        spans = self.truth.spans(
            lambda interval: observer in interval.running and present(interval, observer, electors) == members
        )
        for start, end in spans:
            steps = steps_during(self.history.of_quorum(observer, scope), start, end)
            if not steps:
                continue
            wrong = [index for index, (_, state, _) in enumerate(steps) if state != wanted]
            became_right = not wrong or wrong[-1] + 1 < len(steps)
            late = 0.0
            if wrong:
                late = (steps[wrong[-1] + 1][0] if became_right else end) - start
            if start > 0 and wrong and became_right:
                self.report.standing_ms.append(late)
            if end - start <= bound:
                continue
            self.report.count_check("standing right")
            if late > bound:
                self.report.broken.append(
                    f"standing right: {observer} was not {wanted.name.lower()} in {scope or 'the fleet'} "
                    f"{late:.0f} ms after {start / 1000:.2f} s, bound {bound:.0f} ms"
                )

    def _failure_bound(self, interval: TruthInterval, observer: str, is_down: bool) -> float:
        linked = sum(interval.linked(observer, other) for other in self.truth.members)
        if is_down and linked * 2 >= self.member_count:
            return self.settings.detect_ms(self.member_count) + self.slack_ms
        return self.settings.standing_ms(self.member_count) + self.slack_ms

    def _measure_detection(self, steps: list[Step], start: float) -> None:
        if not _is_present_at(steps, start):
            return
        known_at = next((at for at, state, _ in steps if at > start and state not in PRESENT_STATES), None)
        if known_at is not None:
            self.report.detect_ms.append(known_at - start)


def _is_present_at(steps: list[Step], start: float) -> bool:
    """Return whether the observer believed the member present at the start of a time span."""
    return bool(steps) and steps[0][1] in PRESENT_STATES and steps[0][0] <= start


def _first_late(steps: list[Step], deadline: float, end: float, while_present: bool) -> float | None:
    """Return the end of the first step that lasts past the deadline and has presence `while_present`, if any."""
    for index, (_, state, _) in enumerate(steps):
        until = steps[index + 1][0] if index + 1 < len(steps) else end
        if (state in PRESENT_STATES) is while_present and until > deadline:
            return until
    return None
