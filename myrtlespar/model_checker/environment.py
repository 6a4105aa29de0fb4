"""Models of the engine and the policy: they do whatever the protocol allows, in any order."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from myrtlespar.state_machines import command_log
from myrtlespar.state_machines.attempts import AttemptAction

LinkLine = tuple[
    Any, ...
]  # a line on the link: its kind and arguments, plain so that states can be stored with marshal
ENDS = ("PASS", "FAIL", "KILLED", "NOOP")
# Effects of the request tracker that are for the policy.
POLICY_NOTIFICATIONS = (
    AttemptAction.TELL_ARRIVAL,
    AttemptAction.TELL_CALL_NEEDED,
    AttemptAction.TELL_CALL_ENDED,
    AttemptAction.TELL_GONE,
    AttemptAction.TELL_ENDED,
)


def engine_line(effect: command_log.LinkEffect) -> LinkLine:
    """What goes to the engine for this effect."""
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
        incarnation: One more after each restart.
        linked: A server is connected.
        runs: By request id: whether the run waits at a call, and the number of calls made.
        starts: By request id, the number of starts.
        passed: The ids of requests whose run succeeded.
        wrong_reply: The id of a request whose run got the reply to another call.
        notices: All notices of this incarnation.
        up: Lines on their way to the engine.
        down: Lines on their way to the server.
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
        """Number a notice, keep it, and send it if there is a link."""
        self.notices.append(notice)
        if self.linked:
            self.lines_to_server.append(("N", len(self.notices), *notice))

    def break_link(self) -> None:
        """The link breaks; all that was on its way is lost."""
        self.linked = False
        self.lines_to_engine.clear()
        self.lines_to_server.clear()

    def restart(self) -> None:
        """Restart: runs and notices are lost."""
        self.break_link()
        self.incarnation += 1
        self.runs.clear()
        self.notices.clear()

    def server_restarted(self) -> None:
        """The server was restarted: notices are numbered from 1 again; runs go on."""
        self.break_link()
        self.notices.clear()

    def read(self, refuse: bool, over: bool) -> None:
        """Read the next command. `refuse`: with EINVAL; `over`: its request is over, so nothing is started."""
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
        """A run makes its next call."""
        run = self.runs[rid]
        run[0] = 1
        run[1] = run[1] + 1
        self.send_notice("IOREQ", rid, run[1])

    def end(self, rid: str, status: str) -> None:
        """A run ends with this status."""
        del self.runs[rid]
        if status == "PASS":
            self.passed.add(rid)
        self.send_notice("REAP", rid, status)


@dataclass(slots=True)
class PolicyModel:
    """A policy that may decide anything about attempts that it knows and has not decided."""

    held: list[str] = field(default_factory=list)
    running: list[str] = field(default_factory=list)
    at_call: list[str] = field(default_factory=list)

    def arrival(self, id: str) -> None:
        """A new attempt arrived."""
        self.held.append(id)

    def forget(self, id: str) -> None:
        """Nothing more is decided about this attempt."""
        for row in (self.held, self.running, self.at_call):
            if id in row:
                row.remove(id)

    def run_started(self, id: str) -> None:
        """The attempt was started."""
        self.held.remove(id)
        self.running.append(id)

    def call_needed(self, id: str) -> None:
        """A run waits for the decision on its call."""
        if id in self.running and id not in self.at_call:
            self.at_call.append(id)
