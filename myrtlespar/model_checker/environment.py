"""The kernel and the policy as the checker sees them: they do whatever the protocol allows, in any order."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

Item = tuple[Any, ...]
ENDS = ("PASS", "FAIL", "KILLED", "NOOP")


@dataclass(slots=True)
class KernelModel:
    """Reads commands one by one, runs, and tells. `up` and `down` are what is on its way on the link."""

    life: int = 0
    linked: bool = False
    runs: dict[str, list[int]] = field(default_factory=dict)  # by request: waits at a call, calls made
    starts: dict[str, int] = field(default_factory=dict)
    passed: set[str] = field(default_factory=set)
    wrong_reply: str = ""  # a run that got the reply to another call of it
    notices: list[Item] = field(default_factory=list)
    up: list[Item] = field(default_factory=list)
    down: list[Item] = field(default_factory=list)

    def tell(self, *notice: Any) -> None:
        """Number a notice, keep it, and send it if there is a link."""
        self.notices.append(notice)
        if self.linked:
            self.down.append(("N", len(self.notices), *notice))

    def cut(self) -> None:
        """The link is over, and all that was on its way with it."""
        self.linked = False
        self.up.clear()
        self.down.clear()

    def restart(self) -> None:
        """A new kernel knows nothing of the old one's runs and notices."""
        self.cut()
        self.life += 1
        self.runs.clear()
        self.notices.clear()

    def new_server(self) -> None:
        """A server started anew: notices are numbered again; runs go on."""
        self.cut()
        self.notices.clear()

    def read(self, refuse: bool, over: bool) -> None:
        """Read the next command. `refuse`: with EINVAL; `over`: its request is over, so nothing is started."""
        kind, *rest = self.up.pop(0)
        if kind == "OPEN":
            self.linked = True
            self.down.append(("BOOTED", self.life))
            self.down += [("N", n + 1, *notice) for n, notice in enumerate(self.notices) if n >= rest[0]]
        elif kind == "MARK":
            self.down.append(("INFO", rest[0]))
        elif kind == "SCHED":
            rid = rest[0]
            if refuse:
                self.down.append(("EINVAL", rid))
            elif over:
                self.tell("REAP", rid, "NOOP")
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

    def ask(self, rid: str) -> None:
        """A run makes its next call."""
        run = self.runs[rid]
        run[0], run[1] = 1, run[1] + 1
        self.tell("IOREQ", rid, run[1])

    def end(self, rid: str, status: str) -> None:
        """A run is over."""
        del self.runs[rid]
        if status == "PASS":
            self.passed.add(rid)
        self.tell("REAP", rid, status)


@dataclass(slots=True)
class PolicyModel:
    """What a policy knows: it may decide anything about what it was told of and has not decided."""

    held: list[str] = field(default_factory=list)
    running: list[str] = field(default_factory=list)
    at_call: list[str] = field(default_factory=list)

    def arrival(self, id: str) -> None:
        """It has a new try."""
        self.held.append(id)

    def forget(self, id: str) -> None:
        """It will decide nothing more about this try."""
        for row in (self.held, self.running, self.at_call):
            if id in row:
                row.remove(id)

    def ran(self, id: str) -> None:
        """It decided to run it."""
        self.held.remove(id)
        self.running.append(id)

    def call_needed(self, id: str) -> None:
        """A run waits for its decision."""
        if id in self.running and id not in self.at_call:
            self.at_call.append(id)
