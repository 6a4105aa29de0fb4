"""The judge: each promise of membership is one check here, with its bound as a formula of the settings.

It reads what was true (`truth`) and what each member believed when. The same checks judge real processes and the
emulator. Times are milliseconds from the start of a run.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from myrtlespar.fleet_tests.ground_truth import GroundTruth, TruthInterval
from myrtlespar.membership.messages import HERE, MemberState
from myrtlespar.membership.quorum import FLEET, judge
from myrtlespar.membership.settings import MembershipSettings

SLACK_MS = 250.0  # for processes that share cores, and for log lines on their way


@dataclass(frozen=True, slots=True)
class Observation:
    """What `observer` came to believe: kind is begin (a new process of it), member, or standing."""

    at: float
    observer: str
    kind: str
    subject: str = ""  # a member, or the scope of a standing
    state: int | None = None  # a State or Standing; None: forgotten
    incarnation: int = 0


@dataclass(slots=True)
class InvariantReport:
    """What the judge found. `broken` holds a line for each broken promise, with time and members."""

    broken: list[str] = field(default_factory=list)
    detect_ms: list[float] = field(default_factory=list)  # a stopped member, until each survivor knew
    known_ms: list[float] = field(default_factory=list)  # a member up or linked again, until each knew
    restart_ms: list[float] = field(default_factory=list)  # a new process, until each knew of its new life
    standing_ms: list[float] = field(default_factory=list)  # a change of links, until a standing was right for good
    false_failures: int = 0
    checked: dict[str, int] = field(default_factory=dict)  # by promise: how often it was judged

    def judged(self, promise: str) -> None:
        """Count a check."""
        self.checked[promise] = self.checked.get(promise, 0) + 1


Steps = list[tuple[float, int | None, int]]  # time, state, boot


class ObservationHistory:
    """By observer and subject, over time."""

    def __init__(self, beliefs: Iterable[Observation]) -> None:
        self.of: dict[tuple[str, str], Steps] = {}
        self.standings: dict[tuple[str, str], Steps] = {}
        self.rows = sorted(beliefs, key=lambda belief: belief.at)
        for belief in self.rows:
            if belief.kind == "begin":
                for table in (self.of, self.standings):
                    for (observer, _), steps in table.items():
                        if observer == belief.observer:
                            steps.append((belief.at, None, 0))
            else:
                table = self.of if belief.kind == "member" else self.standings
                table.setdefault((belief.observer, belief.subject), [(float("-inf"), None, 0)]).append(
                    (belief.at, belief.state, belief.incarnation)
                )

    @staticmethod
    def during(steps: Steps, start: float, end: float) -> Steps:
        """What was believed at some time in [start, end)."""
        before = [step for step in steps if step[0] <= start]
        return before[-1:] + [step for step in steps if start < step[0] < end]


def check_membership(
    truth: GroundTruth,
    beliefs: Iterable[Observation],
    terms: MembershipSettings,
    sites: Mapping[str, Sequence[str]],
    observers: Sequence[str] = (),
    settle_ms: float = SLACK_MS,
) -> InvariantReport:
    """All promises of membership; `observers` limits who is looked at (all, if empty)."""
    out, seen, n = InvariantReport(), ObservationHistory(beliefs), len(truth.members)
    who = list(observers) or list(truth.members)
    _no_false_failure(out, truth, seen, terms, n, who, settle_ms)
    for a in who:
        for b in truth.members:
            if a != b:
                steps = seen.of.get((a, b), [(float("-inf"), None, 0)])
                _failure_known(out, truth, steps, terms, n, a, b, settle_ms)
                _presence_known(out, truth, steps, terms, n, a, b, settle_ms)
                _lives_grow(out, steps, a, b)
                _restarts(out, truth, steps, a, b)
    for scope, names in {FLEET: truth.members, **sites}.items():
        for a in who:
            _standing_right(out, truth, seen.standings.get((a, scope), []), terms, n, a, scope, names, settle_ms)
    return out


def _no_false_failure(
    out: InvariantReport,
    truth: GroundTruth,
    seen: ObservationHistory,
    terms: MembershipSettings,
    n: int,
    who: Sequence[str],
    slack: float,
) -> None:
    """Promise: who ran and was linked to the observer for all of the last standing_ms(n) is not failed by it."""
    watch, window = set(who), terms.standing_ms(n) + slack
    for row in seen.rows:
        if row.kind == "member" and row.state == MemberState.FAILED and row.observer in watch and row.at <= truth.end:
            out.judged("no false failure")
            moments = truth.between(row.at - window, row.at)
            if row.at > window and moments and all(m.linked(row.observer, row.subject) for m in moments):
                out.false_failures += 1
                out.broken.append(f"no false failure: {row.observer} failed {row.subject} at {row.at / 1000:.2f} s")


def _failure_known(
    out: InvariantReport,
    truth: GroundTruth,
    steps: Steps,
    terms: MembershipSettings,
    n: int,
    a: str,
    b: str,
    slack: float,
) -> None:
    """Promise: who stopped or is cut off is not believed here later than its bound: detect_ms(n) where it does not
    run and the observer is linked to a majority, else standing_ms(n). Who runs unheard over bad links comes back to
    an observer by each refutation of what others say of it; there the standing alone is promised.
    """
    for start, end in truth.spans(lambda m: m.apart(a, b) and (m.good or b not in m.well)):
        moment = truth.between(start, start)[-1]
        many = sum(moment.linked(a, other) for other in truth.members) * 2 >= n
        bound = (terms.detect_ms(n) if b not in moment.running and many else terms.standing_ms(n)) + slack
        spans = ObservationHistory.during(steps, start, end)
        if spans and spans[0][1] in HERE and spans[0][0] <= start:
            right = next((at for at, state, _ in spans if at > start and state not in HERE), None)
            if right is not None and b not in moment.running:
                out.detect_ms.append(right - start)
        if end - start <= bound:
            continue
        out.judged("failure known")
        for number, (_, state, _) in enumerate(spans):
            until = spans[number + 1][0] if number + 1 < len(spans) else end
            if state in HERE and until > start + bound:
                out.broken.append(
                    f"failure known: {a} believed {b} here at {until / 1000:.2f} s, gone since "
                    f"{start / 1000:.2f} s, bound {bound:.0f} ms"
                )
                break


def _presence_known(
    out: InvariantReport,
    truth: GroundTruth,
    steps: Steps,
    terms: MembershipSettings,
    n: int,
    a: str,
    b: str,
    slack: float,
) -> None:
    """Promise: who runs and is linked is believed here at the latest heal_ms(n) after that began."""
    bound = terms.heal_ms(n) + slack
    for start, end in truth.spans(lambda m: m.linked(a, b)):
        spans = ObservationHistory.during(steps, start, end)
        here = [at for at, state, _ in spans if state in HERE]
        if here and start > 0 and not (spans[0][1] in HERE and spans[0][0] <= start):
            out.known_ms.append(max(0.0, here[-1] - start) if len(here) == 1 else here[0] - start)
        if end - start <= bound:
            continue
        out.judged("presence known")
        for number, (_, state, _) in enumerate(spans):
            until = spans[number + 1][0] if number + 1 < len(spans) else end
            if state not in HERE and until > start + bound:
                out.broken.append(
                    f"presence known: {a} did not believe {b} here at {until / 1000:.2f} s, linked since "
                    f"{start / 1000:.2f} s, bound {bound:.0f} ms"
                )
                break


def _lives_grow(out: InvariantReport, steps: Steps, a: str, b: str) -> None:
    """Promise: an old life never beats a new one, and no rumour brings back one that left (bound: 0)."""
    out.judged("lives grow")
    boot, left = 0, 0
    for at, state, life in steps:
        if state is None:
            boot = left = 0
            continue
        if life < boot:
            out.broken.append(f"lives grow: {a} went from life {boot} of {b} back to {life} at {at / 1000:.2f} s")
        if left == life and state in HERE:
            out.broken.append(f"lives grow: {a} believed {b} back after it left, at {at / 1000:.2f} s")
        boot = max(boot, life)
        if state == MemberState.LEFT:
            left = life


def _restarts(out: InvariantReport, truth: GroundTruth, steps: Steps, a: str, b: str) -> None:
    """Figure: from a new process of b that serves until a, linked to it, knows its new life."""
    downs = [deed.at for deed in truth.actions if deed.name == b and deed.kind == "down"]
    for deed in truth.actions:
        if deed.kind == "up" and deed.name == b and any(at <= deed.at for at in downs):
            since = max(at for at in downs if at <= deed.at)
            before = max((boot for at, _, boot in steps if at <= since), default=0)
            known = next((at for at, state, boot in steps if at > since and state in HERE and boot > before), None)
            if known is not None and all(m.linked(a, b) for m in truth.between(deed.at, max(known, deed.at))):
                out.restart_ms.append(max(0.0, known - deed.at))


def present(moment: TruthInterval, a: str, electors: Sequence[str]) -> frozenset[str] | None:
    """The other electors that `a` should believe here; None where a lossy link leaves it open."""
    here = set()
    for name in electors:
        if name == a:
            continue
        if moment.linked(a, name):
            here.add(name)
        elif not moment.apart(a, name):
            return None
    return frozenset(here)


def _standing_right(
    out: InvariantReport,
    truth: GroundTruth,
    steps: Steps,
    terms: MembershipSettings,
    n: int,
    a: str,
    scope: str,
    electors: Sequence[str],
    slack: float,
) -> None:
    """Promise: a standing is right standing_ms(n) after the last change of who should be counted."""
    bound = terms.standing_ms(n) + slack
    sets = {present(moment, a, electors) for moment in truth.intervals if a in moment.running} - {None}
    for here in sorted(sets, key=sorted):  # type: ignore[arg-type]
        wanted = judge(len(electors), len(here or ()) + int(a in electors), len(here or ()))
        for start, end in truth.spans(lambda m: a in m.well and present(m, a, electors) == here):  # noqa: B023
            spans = ObservationHistory.during(steps, start, end)
            if not spans:
                continue
            wrong = [number for number, (_, state, _) in enumerate(spans) if state != wanted]
            late = 0.0
            if wrong:
                late = (spans[wrong[-1] + 1][0] if wrong[-1] + 1 < len(spans) else end) - start
            if start > 0 and wrong and wrong[-1] + 1 < len(spans):
                out.standing_ms.append(late)
            if end - start <= bound:
                continue
            out.judged("standing right")
            if late > bound:
                out.broken.append(
                    f"standing right: {a} was not {wanted.name.lower()} in {scope or 'the fleet'} "
                    f"{late:.0f} ms after {start / 1000:.2f} s, bound {bound:.0f} ms"
                )
