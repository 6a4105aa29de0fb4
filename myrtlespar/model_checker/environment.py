"""Models of the engine and the policy, which may do anything that the protocol allows, in any order."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from myrtlespar.state_machines import command_log
from myrtlespar.state_machines.attempts import AttemptAction

# A line on the engine link: its kind and arguments, of plain types so that states can be stored with marshal.
LinkLine = tuple[Any, ...]
# The statuses with which the engine reports the end of a run.
ENDS = ("PASS", "FAIL", "KILLED", "NOOP")
# Effects of the request tracker that notify the policy.
POLICY_NOTIFICATIONS = (
    AttemptAction.TELL_ARRIVAL,
    AttemptAction.TELL_CALL_NEEDED,
    AttemptAction.TELL_CALL_ENDED,
    AttemptAction.TELL_GONE,
    AttemptAction.TELL_ENDED,
)


def engine_line(effect: command_log.LinkEffect) -> LinkLine:
    """Return the line that is sent to the engine for this effect."""
    if isinstance(effect, command_log.RequestMark):
        return ("MARK", effect.name)
    if isinstance(effect, command_log.SendOpen):
        return ("OPEN", effect.last_notice)
    assert isinstance(effect, command_log.WriteCommand)
    command = effect.command
    return ("SCHED", command.request_id) if command.is_start else ("IODONE", command.request_id, int(command.line))


@dataclass(slots=True)
class EngineModel:
    """An engine that reads commands one by one, runs requests and sends notices.

    Attributes:
        incarnation: 0 at first, one more after each restart.
        linked: Whether a server is connected.
        runs: For each run, by request id: 1 if it waits for the reply to a call, else 0; and the number of calls made.
        starts: The number of starts, by request id.
        passed: The ids of requests whose run succeeded.
        wrong_reply: The id of a request whose run received the reply to another call; empty if there is none.
        notices: All notices since the engine or the server was started.
        lines_to_engine: Lines in transit to the engine.
        lines_to_server: Lines in transit to the server.
    """

    incarnation: int = 0
    linked: bool = False
    runs: dict[str, list[int]] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)
    passed: set[str] = field(default_factory=set)
    wrong_reply: str = ""
    notices: list[LinkLine] = field(default_factory=list)
    lines_to_engine: list[LinkLine] = field(default_factory=list)
    lines_to_server: list[LinkLine] = field(default_factory=list)

    def send_notice(self, *notice: Any) -> None:
        """Number a notice, store it for later links, and send it if a server is connected."""
        self.notices.append(notice)
        if self.linked:
            self.lines_to_server.append(("N", len(self.notices), *notice))

    def break_link(self) -> None:
        """Break the link; all lines in transit are lost."""
        self.linked = False
        self.lines_to_engine.clear()
        self.lines_to_server.clear()

    def restart(self) -> None:
        """Restart the engine; runs and notices are lost."""
        self.break_link()
        self.incarnation += 1
        self.runs.clear()
        self.notices.clear()

    def server_restarted(self) -> None:
        """Handle a restart of the server: notices are numbered from 1 again, and runs continue."""
        self.break_link()
        self.notices.clear()

    def read(self, refuse: bool, over: bool) -> None:
        """Read and execute the next command.

        Args:
            refuse: Answer a start with EINVAL.
            over: Report the run as ended with NOOP instead of starting it, because no caller waits any longer.
        """
        kind, *rest = self.lines_to_engine.pop(0)
        if kind == "OPEN":
            self.linked = True
            self.lines_to_server.append(("BOOTED", self.incarnation))
            self.lines_to_server += [("N", n + 1, *notice) for n, notice in enumerate(self.notices) if n >= rest[0]]
        elif kind == "MARK":
            self.lines_to_server.append(("INFO", rest[0]))
        elif kind == "SCHED":
            rid = rest[0]
            if refuse:
                self.lines_to_server.append(("EINVAL", rid))
            elif over:
                self.send_notice("REAP", rid, "NOOP")
            elif rid not in self.runs:
                self.runs[rid] = [0, 0]
                self.starts[rid] = self.starts.get(rid, 0) + 1
        else:
            rid, reply = rest
            run = self.runs.get(rid)
            if run is not None and run[0]:
                if reply != run[1]:
                    self.wrong_reply = rid
                run[0] = 0

    def begin_call(self, rid: str) -> None:
        """Let a run make its next call, and send the notice of it."""
        run = self.runs[rid]
        run[0] = 1
        run[1] = run[1] + 1
        self.send_notice("IOREQ", rid, run[1])

    def end(self, rid: str, status: str) -> None:
        """End a run with this status, and send the notice of it."""
        del self.runs[rid]
        if status == "PASS":
            self.passed.add(rid)
        self.send_notice("REAP", rid, status)


@dataclass(slots=True)
class PolicyModel:
    """A policy that may take any decision about the attempts that it was notified of.

    Attributes:
        held: Ids of attempts that wait for the decision to start.
        running: Ids of attempts that were started.
        at_call: Ids of attempts whose run waits for the decision on its call.
    """

    held: list[str] = field(default_factory=list)
    running: list[str] = field(default_factory=list)
    at_call: list[str] = field(default_factory=list)

    def arrival(self, id: str) -> None:
        """Add a new attempt."""
        self.held.append(id)

    def forget(self, id: str) -> None:
        """Remove an attempt about which nothing more is to be decided."""
        for ids in (self.held, self.running, self.at_call):
            if id in ids:
                ids.remove(id)

    def run_started(self, id: str) -> None:
        """Record that the attempt was started."""
        self.held.remove(id)
        self.running.append(id)

    def call_needed(self, id: str) -> None:
        """Record that a run waits for the decision on its call."""
        if id in self.running and id not in self.at_call:
            self.at_call.append(id)
