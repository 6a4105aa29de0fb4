"""Planted bugs: one-line changes of the machines that the checker must find, and the program with one of them in it.

`python -m myrtlespar.check.plants NAME` is the real server with that bug; nothing else can load one."""

from __future__ import annotations

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
    return Plant(name, f"myrtlespar.attempt.{module}", old, new, scenario)


PLANTS = {one.name: one for one in (
    _plant("started twice", "tries", "(Try.RUNNING, On.CALL_NEEDED): Row(Try.AT_CALL",
           "(Try.RUNNING, On.START): Row(Try.RUNNING, (Do.START_RUN,)),\n"
           "    (Try.RUNNING, On.CALL_NEEDED): Row(Try.AT_CALL", "rude"),
    _plant("refused after the start", "tries", "(Try.RUNNING, On.REFUSE): Row(Try.RUNNING_UNWANTED, "
           "(Do.DELIVER_FAILED,))", "(Try.RUNNING, On.REFUSE): Row(Try.RUNNING_UNWANTED, (Do.DELIVER,))", "rude"),
    _plant("answered twice", "tries", "_LATE_END = (Do.LEAVE, Do.REMEMBER",
           "_LATE_END = (Do.LEAVE, Do.DELIVER, Do.REMEMBER", "quick"),
    _plant("gone and still answered", "tries", "(Try.RUNNING, On.GONE): Row(Try.RUNNING_UNWANTED, ",
           "(Try.RUNNING, On.GONE): Row(Try.RUNNING, ", "quick"),
    _plant("departure not booked", "tries", "(Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, ",
           "(Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, ", "quick"),
    _plant("followers not shared with", "tries", "_END = (Do.LEAVE, Do.DELIVER, Do.REMEMBER, Do.TELL_ENDED)",
           "_END = (Do.LEAVE, Do.DELIVER, Do.TELL_ENDED)", "quick"),
    _plant("heir not called", "tries", "(Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, Do.PASS_ON, ",
           "(Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, ", "quick"),
    _plant("a run frees its key", "tries", "_LATE_END = (Do.LEAVE, Do.REMEMBER", "_LATE_END = (Do.LEAVE, Do.FREE_KEY",
           "quick"),
    _plant("overdue and still open", "tries", "(Try.HELD, On.OVERDUE): Row(Try.OVER, (Do.LEAVE, ",
           "(Try.HELD, On.OVERDUE): Row(Try.HELD, (", "forgets"),
    _plant("follower left in the list", "tries", "(Try.FOLLOWING, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, "
           "Do.UNFOLLOW))", "(Try.FOLLOWING, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW))", "quick"),
    _plant("late reply to a given-up call", "tries",
           "(Try.CALLING, On.GONE): Row(Try.AT_CALL_UNWANTED, (Do.WITHDRAW, Do.DROP_CALL, ",
           "(Try.CALLING, On.GONE): Row(Try.AT_CALL_UNWANTED, (Do.WITHDRAW, ", "calls"),
    _plant("nobody is overdue", "desk", "if x.state in OWED:\n                slack",
           "if x.state == Try.HELD:\n                slack", "quick"),
    _plant("due time ignored", "desk", "if now >= min(x.due + slack, end)", "if now >= end", "quick"),
    _plant("kill ignored", "desk", "min(x.due + slack, end)", "x.due + 10 * slack", "forgets"),
    _plant("grace ignored", "desk", "if not self.process.may_start(x.arrived):", "if False:", "quick"),
    _plant("every repeat starts", "desk", "if then is THEN_FOLLOW:\n            return self._step(x, ON_FOLLOW)",
           "if then is THEN_FOLLOW:\n            return self._step(x, ON_ADMIT)", "quick"),
    _plant("a late refusal ends the run", "desk", "event = ON_NEVER_RAN if final.kind is Kind.REFUSED or",
           "event = ON_NEVER_RAN if final.kind is not Kind.SERVED or", "quick"),
    _plant("grace one step too long", "process", "return arrived <= self.notice_at + self.grace_ms",
           "return arrived <= self.notice_at + 2 * self.grace_ms", "quick"),
    _plant("crossing leaves with answers owed", "process",
           "crossed = now >= self.closed_at + self.crossing_ms and not owed",
           "crossed = now >= self.closed_at", "fronts"),
    _plant("hand-over leaves with answers owed", "process",
           "(Stage.SERVING, Say.HANDOVER): Row(Stage.CROSSING, _CLOSE)",
           "(Stage.SERVING, Say.HANDOVER): Row(Stage.FLUSHING, (Act.FLUSH, *_CLOSE))", "handover"),
    _plant("key forgotten at its outcome", "keys", "(Key.OWNED, At.OUTCOME): Row(Key.KNOWN,",
           "(Key.OWNED, At.OUTCOME): Row(Key.FREE,", "quick"),
    _plant("key forgotten early", "keys", "while self.expiry and self.expiry[0][0] <= now:",
           "while self.expiry and self.expiry[0][0] <= now + 2 * self.key_ms:", "heirs"),
    _plant("second heir lost", "keys", "entry.owner = entry.followers.pop(0)",
           "entry.owner, entry.followers = entry.followers[0], []", "heirs"),
    _plant("key kept by nobody", "keys", "(Key.OWNED, At.LAST_LEFT): Row(Key.FREE, (Then.DROP,))",
           "(Key.OWNED, At.LAST_LEFT): Row(Key.OWNED, (Then.DROP,))", "quick"),
    _plant("orders repeated after a break", "commands",
           "command.state == SENT_DOUBTFUL and command.harmless and", "command.state == SENT_DOUBTFUL and", "once"),
    _plant("repeated once the mark is back", "commands",
           "if command.state == SENT_DOUBTFUL and not self.wanted(command.rid):\n"
           "                out += self._prove(command, Prove.GIVE_UP)",
           "if command.state == SENT_DOUBTFUL:\n"
           "                out += self._prove(command, Prove.REPEAT)", "once"),
    _plant("replies repeated", "commands", "command.state == SENT_DOUBTFUL and command.harmless and",
           "command.state == SENT_DOUBTFUL and (command.harmless or not command.start) and", "calls"),
    _plant("doubt forgotten", "commands", "(Make.DOUBT, Make.GREET)", "(Make.GREET,)", "once"),
    _plant("proof by any mark", "commands", "command.state == SENT_SENT and command.sent <= newest",
           "command.state != SENT_KEPT", "once"),
    _plant("lost place not freed", "commands", "(Sent.DOUBTFUL, Prove.GIVE_UP): Row(Sent.DONE, (Do.END,))",
           "(Sent.DOUBTFUL, Prove.GIVE_UP): Row(Sent.DONE)", "once"),
    _plant("notices taken twice", "commands", "if number <= self.last:", "if number < self.last:", "calls"),
    _plant("gap passed over", "commands", "if number > self.last + 1 and self.gap != self.last:", "if False:", "gaps"),
    _plant("new kernel not noticed", "commands", "        self.last = 0\n        lost", "        lost", "kernels"),
    _plant("call twice on one connection", "calls", "if id not in wire.served and self.quiet(wire):",
           "if self.quiet(wire):", "store"),
    _plant("broken call not told", "calls", "(Stand.MADE, Get.CUT): Row(Stand.OVER, (Outcome.CUT_OFF,))",
           "(Stand.MADE, Get.CUT): Row(Stand.OVER)", "store"),
    _plant("waiting calls stranded", "calls", "if self.waiting and not self.wires:", "if False:", "stores"),
    _plant("given-up connection used again", "calls", "self._hear(wire, event)\n        return Close(wire, drop)",
           "self._hear(wire, event)\n        self.idle.append(wire)\n        return Close(wire, drop)", "store"),
    _plant("requests taken after the close", "connection", "return self.state < ENDING",
           "return self.state <= ENDING + 1", "fronts"),
    _plant("reset forgets what was owed", "connection", "(Conn.OWING, Be.RESET): Row(Conn.CLOSED, (Do.GONE,))",
           "(Conn.OWING, Be.RESET): Row(Conn.CLOSED)", "fronts"),
    _plant("key hand-over dropped", "desk", "return self.keys.known() + running", "return []", "twins"),
    _plant("runs in hand not handed over", "desk", "return self.keys.known() + running", "return self.keys.known()",
           "twins"),
    _plant("keys open beside an old process", "keys", "At.FULL_TRY if self.waiting or len(", "At.FULL_TRY if len(",
           "twins"),
    _plant("starts behind the hand-over", "process", " and self.stage < FLUSHING", "", "twins"),
    _plant("handed over keys lost", "keys", "self.entries[slot] = Entry(Key.KNOWN, None, [], outcome)", "pass",
           "twins"),
)}


class Planter(importlib.abc.MetaPathFinder, importlib.abc.SourceLoader):
    """Loads one module of the machines with one line changed."""

    def __init__(self, plant: Plant) -> None:
        self.plant = plant
        self.path = Path(__file__).parents[2].joinpath(*plant.module.split(".")).with_suffix(".py")

    def find_spec(self, fullname: str, path: Sequence[str] | None,
                  target: ModuleType | None = None) -> importlib.machinery.ModuleSpec | None:
        """Only for the module that is changed."""
        if fullname != self.plant.module:
            return None
        return importlib.util.spec_from_loader(fullname, self, origin=str(self.path))

    def get_filename(self, fullname: str) -> str:
        """Where the source is; no compiled file is used or kept for it."""
        return str(self.path) + f".{self.plant.name.replace(' ', '-')}"

    def get_data(self, path: str | bytes) -> bytes:
        """The changed source."""
        text = self.path.read_text()
        if text.count(self.plant.old) != 1:
            raise ImportError(f"plant {self.plant.name!r}: the line to change stands {text.count(self.plant.old)} "
                              f"times in {self.plant.module}")
        return text.replace(self.plant.old, self.plant.new).encode()


def plant(name: str, among: Mapping[str, Plant] = PLANTS) -> None:
    """Put a planted bug in, before its module is loaded."""
    if among[name].module in sys.modules:
        raise RuntimeError("the machines are loaded already")
    sys.meta_path.insert(0, Planter(among[name]))


if __name__ == "__main__":
    plant(sys.argv[1])
    from myrtlespar.serve import main

    sys.exit(main())
