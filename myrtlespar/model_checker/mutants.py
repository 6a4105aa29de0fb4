"""Planted bugs: one-line changes of the machines that the checker must find, and the program with one of them in it.

`python -m myrtlespar.model_checker.mutants NAME` is the real server with that bug; nothing else can load one."""

from __future__ import annotations

import ast
import importlib.abc
import importlib.machinery
import importlib.util
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType


@dataclass(frozen=True, slots=True)
class Plant:
    """`old` stands once in `module` and becomes `new`; the scenario must show it."""

    name: str
    module: str
    old: str
    new: str
    scenario: str


def _plant(name: str, module: str, old: str, new: str, scenario: str) -> Plant:
    return Plant(name, f"myrtlespar.state_machines.{module}", old, new, scenario)


PLANTS = {
    one.name: one
    for one in (
        _plant(
            "started twice",
            "attempts",
            "(Try.RUNNING, On.CALL_NEEDED): Row(Try.AT_CALL",
            "(Try.RUNNING, On.START): Row(Try.RUNNING, (Do.START_RUN,)),\n"
            "    (Try.RUNNING, On.CALL_NEEDED): Row(Try.AT_CALL",
            "rude",
        ),
        _plant(
            "refused after the start",
            "attempts",
            "(Try.RUNNING, On.REFUSE): Row(Try.RUNNING_UNWANTED, " "(Do.DELIVER_FAILED,))",
            "(Try.RUNNING, On.REFUSE): Row(Try.RUNNING_UNWANTED, (Do.DELIVER,))",
            "rude",
        ),
        _plant(
            "answered twice",
            "attempts",
            "_LATE_END = (Do.LEAVE, Do.REMEMBER",
            "_LATE_END = (Do.LEAVE, Do.DELIVER, Do.REMEMBER",
            "quick",
        ),
        _plant(
            "gone and still answered",
            "attempts",
            "(Try.RUNNING, On.GONE): Row(Try.RUNNING_UNWANTED, ",
            "(Try.RUNNING, On.GONE): Row(Try.RUNNING, ",
            "quick",
        ),
        _plant(
            "departure not booked",
            "attempts",
            "(Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, ",
            "(Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, ",
            "quick",
        ),
        _plant(
            "followers not shared with",
            "attempts",
            "_END = (Do.LEAVE, Do.DELIVER, Do.REMEMBER, Do.TELL_ENDED)",
            "_END = (Do.LEAVE, Do.DELIVER, Do.TELL_ENDED)",
            "quick",
        ),
        _plant(
            "heir not called",
            "attempts",
            "(Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, Do.PASS_ON, ",
            "(Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, ",
            "quick",
        ),
        _plant(
            "a run frees its key",
            "attempts",
            "_LATE_END = (Do.LEAVE, Do.REMEMBER",
            "_LATE_END = (Do.LEAVE, Do.FREE_KEY",
            "quick",
        ),
        _plant(
            "overdue and still open",
            "attempts",
            "(Try.HELD, On.OVERDUE): Row(Try.OVER, (Do.LEAVE, ",
            "(Try.HELD, On.OVERDUE): Row(Try.HELD, (",
            "forgets",
        ),
        _plant(
            "follower left in the list",
            "attempts",
            "(Try.FOLLOWING, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, " "Do.UNFOLLOW))",
            "(Try.FOLLOWING, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW))",
            "quick",
        ),
        _plant(
            "late reply to a given-up call",
            "attempts",
            "(Try.CALLING, On.GONE): Row(Try.AT_CALL_UNWANTED, (Do.WITHDRAW, Do.DROP_CALL, ",
            "(Try.CALLING, On.GONE): Row(Try.AT_CALL_UNWANTED, (Do.WITHDRAW, ",
            "calls",
        ),
        _plant(
            "nobody is overdue",
            "request_tracker",
            "if x.state in OWED:\n                slack",
            "if x.state == Try.HELD:\n                slack",
            "quick",
        ),
        _plant("due time ignored", "request_tracker", "if now >= min(x.due + slack, end)", "if now >= end", "quick"),
        _plant("kill ignored", "request_tracker", "min(x.due + slack, end)", "x.due + 10 * slack", "forgets"),
        _plant("grace ignored", "request_tracker", "if not self.process.may_start(x.arrived):", "if False:", "quick"),
        _plant(
            "every repeat starts",
            "request_tracker",
            "if then is THEN_FOLLOW:\n            return self._step(x, ON_FOLLOW)",
            "if then is THEN_FOLLOW:\n            return self._step(x, ON_ADMIT)",
            "quick",
        ),
        _plant(
            "a late refusal ends the run",
            "request_tracker",
            "event = ON_NEVER_RAN if final.kind is Kind.REFUSED or",
            "event = ON_NEVER_RAN if final.kind is not Kind.SERVED or",
            "quick",
        ),
        _plant(
            "grace one step too long",
            "process",
            "return arrived <= self.notice_at + self.grace_ms",
            "return arrived <= self.notice_at + 2 * self.grace_ms",
            "quick",
        ),
        _plant(
            "crossing leaves with answers owed",
            "process",
            "crossed = now >= self.closed_at + self.crossing_ms and (not owed)",
            "crossed = now >= self.closed_at",
            "fronts",
        ),
        _plant(
            "hand-over leaves with answers owed",
            "process",
            "(Stage.SERVING, Say.HANDOVER): Row(Stage.CROSSING, _CLOSE)",
            "(Stage.SERVING, Say.HANDOVER): Row(Stage.FLUSHING, (Act.FLUSH, *_CLOSE))",
            "handover",
        ),
        _plant(
            "key forgotten at its outcome",
            "idempotency_keys",
            "(Key.OWNED, At.OUTCOME): Row(Key.KNOWN,",
            "(Key.OWNED, At.OUTCOME): Row(Key.FREE,",
            "quick",
        ),
        _plant(
            "key forgotten early",
            "idempotency_keys",
            "while self.expiry and self.expiry[0][0] <= now:",
            "while self.expiry and self.expiry[0][0] <= now + 2 * self.key_ms:",
            "heirs",
        ),
        _plant(
            "second heir lost",
            "idempotency_keys",
            "entry.owner = entry.followers.pop(0)",
            "entry.owner, entry.followers = entry.followers[0], []",
            "heirs",
        ),
        _plant(
            "key kept by nobody",
            "idempotency_keys",
            "(Key.OWNED, At.LAST_LEFT): Row(Key.FREE, (Then.DROP,))",
            "(Key.OWNED, At.LAST_LEFT): Row(Key.OWNED, (Then.DROP,))",
            "quick",
        ),
        _plant(
            "orders repeated after a break",
            "engine_link",
            "command.state == SENT_DOUBTFUL and command.harmless and",
            "command.state == SENT_DOUBTFUL and",
            "once",
        ),
        _plant(
            "repeated once the mark is back",
            "engine_link",
            "if command.state == SENT_DOUBTFUL and (not self.wanted(command.rid)):\n"
            "                out += self._prove(command, Prove.GIVE_UP)",
            "if command.state == SENT_DOUBTFUL:\n" "                out += self._prove(command, Prove.REPEAT)",
            "once",
        ),
        _plant(
            "replies repeated",
            "engine_link",
            "command.state == SENT_DOUBTFUL and command.harmless and",
            "command.state == SENT_DOUBTFUL and (command.harmless or not command.start) and",
            "calls",
        ),
        _plant("doubt forgotten", "engine_link", "(Make.DOUBT, Make.GREET)", "(Make.GREET,)", "once"),
        _plant(
            "proof by any mark",
            "engine_link",
            "command.state == SENT_SENT and command.sent <= newest",
            "command.state != SENT_KEPT",
            "once",
        ),
        _plant(
            "lost place not freed",
            "engine_link",
            "(Sent.DOUBTFUL, Prove.GIVE_UP): Row(Sent.DONE, (Do.END,))",
            "(Sent.DOUBTFUL, Prove.GIVE_UP): Row(Sent.DONE)",
            "once",
        ),
        _plant("notices taken twice", "engine_link", "if number <= self.last:", "if number < self.last:", "calls"),
        _plant(
            "gap passed over",
            "engine_link",
            "if number > self.last + 1 and self.gap != self.last:",
            "if False:",
            "gaps",
        ),
        _plant(
            "new kernel not noticed", "engine_link", "        self.last = 0\n        lost", "        lost", "kernels"
        ),
        _plant(
            "call twice on one connection",
            "dependency_calls",
            "if id not in wire.served and self.quiet(wire):",
            "if self.quiet(wire):",
            "store",
        ),
        _plant(
            "broken call not told",
            "dependency_calls",
            "(Stand.MADE, Get.CUT): Row(Stand.OVER, (Outcome.CUT_OFF,))",
            "(Stand.MADE, Get.CUT): Row(Stand.OVER)",
            "store",
        ),
        _plant(
            "waiting calls stranded", "dependency_calls", "if self.waiting and (not self.wires):", "if False:", "stores"
        ),
        _plant(
            "given-up connection used again",
            "dependency_calls",
            "self._hear(wire, event)\n        return Close(wire, drop)",
            "self._hear(wire, event)\n        self.idle.append(wire)\n        return Close(wire, drop)",
            "store",
        ),
        _plant(
            "requests taken after the close",
            "client_connection",
            "return self.state < ENDING",
            "return self.state <= ENDING + 1",
            "fronts",
        ),
        _plant(
            "reset forgets what was owed",
            "client_connection",
            "(Conn.OWING, Be.RESET): Row(Conn.CLOSED, (Do.GONE,))",
            "(Conn.OWING, Be.RESET): Row(Conn.CLOSED)",
            "fronts",
        ),
        _plant("key hand-over dropped", "request_tracker", "return self.keys.known() + running", "return []", "twins"),
        _plant(
            "runs in hand not handed over",
            "request_tracker",
            "return self.keys.known() + running",
            "return self.keys.known()",
            "twins",
        ),
        _plant(
            "keys open beside an old process",
            "idempotency_keys",
            "At.FULL_TRY if self.waiting or len(",
            "At.FULL_TRY if len(",
            "twins",
        ),
        _plant("starts behind the hand-over", "process", " and self.stage < FLUSHING", "", "twins"),
        _plant(
            "handed over keys lost",
            "idempotency_keys",
            "self.entries[slot] = Entry(Key.KNOWN, None, [], outcome)",
            "pass",
            "twins",
        ),
    )
}


def normalized_source(path: Path) -> str:
    """A module's source without comments, in the layout of `ast.unparse`.

    Mutations are written against this form, so that neither the formatter nor a comment can hide a line from them.
    """
    return ast.unparse(ast.parse(path.read_text()))


class Planter(importlib.abc.MetaPathFinder, importlib.abc.SourceLoader):
    """Loads one module of the machines with one line changed."""

    def __init__(self, plant: Plant) -> None:
        self.plant = plant
        self.path = Path(__file__).parents[2].joinpath(*plant.module.split(".")).with_suffix(".py")

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Only for the module that is changed."""
        if fullname != self.plant.module:
            return None
        return importlib.util.spec_from_loader(fullname, self, origin=str(self.path))

    def get_filename(self, fullname: str) -> str:
        """Where the source is; no compiled file is used or kept for it."""
        return str(self.path) + f".{self.plant.name.replace(' ', '-')}"

    def get_data(self, path: str | bytes) -> bytes:
        """The changed source."""
        text = normalized_source(self.path)
        if text.count(self.plant.old) != 1:
            raise ImportError(
                f"plant {self.plant.name!r}: the line to change stands {text.count(self.plant.old)} "
                f"times in {self.plant.module}"
            )
        return text.replace(self.plant.old, self.plant.new).encode()


def plant(name: str, among: Mapping[str, Plant] = PLANTS) -> None:
    """Put a planted bug in, before its module is loaded."""
    if among[name].module in sys.modules:
        raise RuntimeError("the machines are loaded already")
    sys.meta_path.insert(0, Planter(among[name]))


if __name__ == "__main__":
    plant(sys.argv[1])
    from myrtlespar.server.main import main

    sys.exit(main())
