"""The beliefs of members about each other and the quorum over time, read from their logs.

Logs of older versions of the program are read too, as a rolling release mixes versions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from myrtlespar.membership.messages import MemberState
from myrtlespar.membership.quorum import FLEET, QuorumStatus

JOINING_EVENT = "fleet: joining"
MEMBER_EVENT = "fleet member"
QUORUM_EVENT = "fleet standing"

Step = tuple[float, int | None, int]  # time in ms, state (None: unknown or forgotten), incarnation
UNKNOWN: Step = (float("-inf"), None, 0)


@dataclass(frozen=True, slots=True)
class Observation:
    """A change of what `observer` believes.

    `kind` is `begin` (the observer has a new process, which knows nothing yet), `member` (the state of a member) or
    `standing` (the quorum status, which the log calls so).
    """

    at: float
    observer: str
    kind: str
    subject: str = ""  # the member, or the scope of the quorum
    state: int | None = None  # a MemberState or QuorumStatus; None: forgotten
    incarnation: int = 0


def observation_of(name: str, row: dict[str, Any]) -> Observation | None:
    """Return the observation in a line of the member's log, with its time in Unix ms; None if the line has none."""
    event = row["event"]
    if event == JOINING_EVENT:
        return Observation(row["at"], name, "begin")
    if event == MEMBER_EVENT:
        state = None if row["new"] is None else MemberState[row["new"].upper()]
        return Observation(row["at"], name, "member", row["member"], state, row["life"][0])
    if event == QUORUM_EVENT:
        return Observation(row["at"], name, "standing", row["scope"] or FLEET, QuorumStatus[row["new"].upper()])
    return None


class ObservationHistory:
    """Observations by observer and subject, ordered by time."""

    def __init__(self, observations: Iterable[Observation]) -> None:
        self.rows = sorted(observations, key=lambda observation: observation.at)
        self._members: dict[tuple[str, str], list[Step]] = {}
        self._quorums: dict[tuple[str, str], list[Step]] = {}
        for row in self.rows:
            if row.kind == "begin":
                self._forget(row)
            else:
                table = self._members if row.kind == "member" else self._quorums
                steps = table.setdefault((row.observer, row.subject), [UNKNOWN])
                steps.append((row.at, row.state, row.incarnation))

    def of_member(self, observer: str, member: str) -> list[Step]:
        """Return the states that the observer believed the member to be in."""
        return self._members.get((observer, member), [UNKNOWN])

    def of_quorum(self, observer: str, scope: str) -> list[Step]:
        """Return the observer's quorum statuses in a scope; empty if it logged none."""
        return self._quorums.get((observer, scope), [])

    def _forget(self, begin: Observation) -> None:
        """Reset the beliefs of an observer that has a new process."""
        for table in (self._members, self._quorums):
            for (observer, _), steps in table.items():
                if observer == begin.observer:
                    steps.append((begin.at, None, 0))


def steps_during(steps: list[Step], start: float, end: float) -> list[Step]:
    """Return the step in force at `start` and those that begin before `end`."""
    before = [step for step in steps if step[0] <= start]
    return before[-1:] + [step for step in steps if start < step[0] < end]
