"""Planted bugs: one-line changes of the machines that the checker must find, and the program with one of them in it.

`python -m myrtlespar.model_checker.mutants NAME` is the real server with that bug; nothing else can load one.
"""

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
class Mutation:
    """`old` stands once in `module` and becomes `new`; the scenario must show it."""

    name: str
    module: str
    old: str
    new: str
    scenario: str


def _mutation(name: str, module: str, old: str, new: str, scenario: str) -> Mutation:
    return Mutation(name, f"myrtlespar.state_machines.{module}", old, new, scenario)


MUTATIONS = {
    one.name: one
    for one in (
        _mutation(
            "started twice",
            "attempts",
            "(AttemptState.RUNNING, AttemptEvent.CALL_NEEDED): Transition(AttemptState.AT_CALL",
            "(AttemptState.RUNNING, AttemptEvent.START): Transition(AttemptState.RUNNING, "
            "(AttemptAction.START_RUN,)),\n"
            "    (AttemptState.RUNNING, AttemptEvent.CALL_NEEDED): Transition(AttemptState.AT_CALL",
            "rude",
        ),
        _mutation(
            "refused after the start",
            "attempts",
            "(AttemptState.RUNNING, AttemptEvent.REFUSE): Transition(AttemptState.RUNNING_UNWANTED, "
            "(AttemptAction.DELIVER_FAILED,))",
            "(AttemptState.RUNNING, AttemptEvent.REFUSE): Transition(AttemptState.RUNNING_UNWANTED, "
            "(AttemptAction.DELIVER,))",
            "rude",
        ),
        _mutation(
            "answered twice",
            "attempts",
            "_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.REMEMBER",
            "_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.REMEMBER",
            "quick",
        ),
        _mutation(
            "gone and still answered",
            "attempts",
            "(AttemptState.RUNNING, AttemptEvent.GONE): Transition(AttemptState.RUNNING_UNWANTED, ",
            "(AttemptState.RUNNING, AttemptEvent.GONE): Transition(AttemptState.RUNNING, ",
            "quick",
        ),
        _mutation(
            "departure not booked",
            "attempts",
            "(AttemptState.HELD, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
            "AttemptAction.WITHDRAW, ",
            "(AttemptState.HELD, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, ",
            "quick",
        ),
        _mutation(
            "followers not shared with",
            "attempts",
            "_ENDED = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.REMEMBER, AttemptAction.TELL_ENDED)",
            "_ENDED = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.TELL_ENDED)",
            "quick",
        ),
        _mutation(
            "heir not called",
            "attempts",
            "(AttemptState.HELD, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
            "AttemptAction.WITHDRAW, AttemptAction.PASS_ON, ",
            "(AttemptState.HELD, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
            "AttemptAction.WITHDRAW, ",
            "quick",
        ),
        _mutation(
            "a run frees its key",
            "attempts",
            "_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.REMEMBER",
            "_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.FREE_KEY",
            "quick",
        ),
        _mutation(
            "overdue and still open",
            "attempts",
            "(AttemptState.HELD, AttemptEvent.OVERDUE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, ",
            "(AttemptState.HELD, AttemptEvent.OVERDUE): Transition(AttemptState.HELD, (",
            "forgets",
        ),
        _mutation(
            "follower left in the list",
            "attempts",
            "(AttemptState.FOLLOWING, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
            "AttemptAction.WITHDRAW, "
            "AttemptAction.UNFOLLOW))",
            "(AttemptState.FOLLOWING, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
            "AttemptAction.WITHDRAW))",
            "quick",
        ),
        _mutation(
            "late reply to a given-up call",
            "attempts",
            "(AttemptState.CALLING, AttemptEvent.GONE): Transition(AttemptState.AT_CALL_UNWANTED, "
            "(AttemptAction.WITHDRAW, AttemptAction.DROP_CALL, ",
            "(AttemptState.CALLING, AttemptEvent.GONE): Transition(AttemptState.AT_CALL_UNWANTED, "
            "(AttemptAction.WITHDRAW, ",
            "calls",
        ),
        _mutation(
            "nobody is overdue",
            "request_tracker",
            "if exchange.state in AWAITING_ANSWER:\n                slack",
            "if exchange.state == AttemptState.HELD:\n                slack",
            "quick",
        ),
        _mutation(
            "due time ignored",
            "request_tracker",
            "if now >= min(exchange.due_at + slack, deadline)",
            "if now >= deadline",
            "quick",
        ),
        _mutation(
            "kill ignored",
            "request_tracker",
            "min(exchange.due_at + slack, deadline)",
            "exchange.due_at + 10 * slack",
            "forgets",
        ),
        _mutation(
            "grace ignored",
            "request_tracker",
            "if not self.process.may_start(exchange.arrived_at):",
            "if False:",
            "quick",
        ),
        _mutation(
            "every repeat starts",
            "request_tracker",
            "if key_action is KEY_FOLLOW:\n            return self._step(exchange, EVENT_FOLLOW)",
            "if key_action is KEY_FOLLOW:\n            return self._step(exchange, EVENT_ADMIT)",
            "quick",
        ),
        _mutation(
            "a late refusal ends the run",
            "request_tracker",
            "event = EVENT_NEVER_RAN if final.kind is AnswerKind.REFUSED or",
            "event = EVENT_NEVER_RAN if final.kind is not AnswerKind.SERVED or",
            "quick",
        ),
        _mutation(
            "grace one step too long",
            "process",
            "return arrived_at <= self.notice_at + self.grace_ms",
            "return arrived_at <= self.notice_at + 2 * self.grace_ms",
            "quick",
        ),
        _mutation(
            "crossing leaves with answers owed",
            "process",
            "crossed = now >= self.closed_at + self.crossing_ms and (not unanswered)",
            "crossed = now >= self.closed_at",
            "fronts",
        ),
        _mutation(
            "hand-over leaves with answers owed",
            "process",
            "(ProcessState.SERVING, ProcessEvent.HANDOVER): Transition(ProcessState.CROSSING, _CLOSE)",
            "(ProcessState.SERVING, ProcessEvent.HANDOVER): Transition(ProcessState.FLUSHING, "
            "(ProcessAction.FLUSH, *_CLOSE))",
            "handover",
        ),
        _mutation(
            "key forgotten at its outcome",
            "idempotency_keys",
            "(KeyState.OWNED, KeyEvent.OUTCOME): Transition(KeyState.KNOWN,",
            "(KeyState.OWNED, KeyEvent.OUTCOME): Transition(KeyState.FREE,",
            "quick",
        ),
        _mutation(
            "key forgotten early",
            "idempotency_keys",
            "while self.expiry and self.expiry[0][0] <= now:",
            "while self.expiry and self.expiry[0][0] <= now + 2 * self.key_ms:",
            "heirs",
        ),
        _mutation(
            "second heir lost",
            "idempotency_keys",
            "entry.owner = entry.followers.pop(0)",
            "entry.owner, entry.followers = entry.followers[0], []",
            "heirs",
        ),
        _mutation(
            "key kept by nobody",
            "idempotency_keys",
            "(KeyState.OWNED, KeyEvent.LAST_LEFT): Transition(KeyState.FREE, (KeyAction.DROP,))",
            "(KeyState.OWNED, KeyEvent.LAST_LEFT): Transition(KeyState.OWNED, (KeyAction.DROP,))",
            "quick",
        ),
        _mutation(
            "orders repeated after a break",
            "command_log",
            "command.state == COMMAND_DOUBTFUL and command.is_idempotent and",
            "command.state == COMMAND_DOUBTFUL and",
            "once",
        ),
        _mutation(
            "repeated once the mark is back",
            "command_log",
            "if command.state == COMMAND_DOUBTFUL and (not self.is_wanted(command.request_id)):\n"
            "                effects += self._step_command(command, CommandEvent.GIVE_UP)",
            "if command.state == COMMAND_DOUBTFUL:\n"
            "                effects += self._step_command(command, CommandEvent.REPEAT)",
            "once",
        ),
        _mutation(
            "replies repeated",
            "command_log",
            "command.state == COMMAND_DOUBTFUL and command.is_idempotent and",
            "command.state == COMMAND_DOUBTFUL and (command.is_idempotent or not command.is_start) and",
            "calls",
        ),
        _mutation(
            "doubt forgotten", "engine_link", "(LinkAction.DOUBT, LinkAction.GREET)", "(LinkAction.GREET,)", "once"
        ),
        _mutation(
            "proof by any mark",
            "command_log",
            "command.state == COMMAND_SENT and command.sequence_number <= newest",
            "command.state != COMMAND_KEPT",
            "once",
        ),
        _mutation(
            "lost place not freed",
            "engine_link",
            "(CommandState.DOUBTFUL, CommandEvent.GIVE_UP): Transition(CommandState.DONE, (CommandAction.END,))",
            "(CommandState.DOUBTFUL, CommandEvent.GIVE_UP): Transition(CommandState.DONE)",
            "once",
        ),
        _mutation(
            "notices taken twice",
            "command_log",
            "if number <= self.last_notice:",
            "if number < self.last_notice:",
            "calls",
        ),
        _mutation(
            "gap passed over",
            "command_log",
            "if number > self.last_notice + 1 and self.gap_after != self.last_notice:",
            "if False:",
            "gaps",
        ),
        _mutation(
            "new kernel not noticed",
            "command_log",
            "        self.last_notice = 0\n        lost",
            "        lost",
            "kernels",
        ),
        _mutation(
            "call twice on one connection",
            "dependency_calls",
            "if request_id not in connection.recent_requests and self.is_quiet(connection):",
            "if self.is_quiet(connection):",
            "store",
        ),
        _mutation(
            "broken call not told",
            "dependency_tables",
            "(CallState.MADE, CallEvent.CUT): Transition(CallState.OVER, (RunOutcome.CUT_OFF,))",
            "(CallState.MADE, CallEvent.CUT): Transition(CallState.OVER)",
            "store",
        ),
        _mutation(
            "waiting calls stranded",
            "dependency_calls",
            "if self.waiting and (not self.connection_count):",
            "if False:",
            "stores",
        ),
        _mutation(
            "given-up connection used again",
            "dependency_calls",
            "self._step_connection(connection, event)\n        return CloseConnection(connection, cancelled_request)",
            "self._step_connection(connection, event)\n        self.idle.append(connection)\n        "
            "return CloseConnection(connection, cancelled_request)",
            "store",
        ),
        _mutation(
            "requests taken after the close",
            "client_connection",
            "return self.state < ENDING",
            "return self.state <= ENDING + 1",
            "fronts",
        ),
        _mutation(
            "reset forgets what was owed",
            "client_connection",
            "(ConnectionState.OWING, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED, "
            "(ConnectionAction.GONE,))",
            "(ConnectionState.OWING, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED)",
            "fronts",
        ),
        _mutation(
            "key hand-over dropped",
            "request_tracker",
            "return self.keys.known_outcomes() + running",
            "return []",
            "twins",
        ),
        _mutation(
            "runs in hand not handed over",
            "request_tracker",
            "return self.keys.known_outcomes() + running",
            "return self.keys.known_outcomes()",
            "twins",
        ),
        _mutation(
            "keys open beside an old process",
            "idempotency_keys",
            "KeyEvent.FULL_TRY if self.awaiting_handover or len(",
            "KeyEvent.FULL_TRY if len(",
            "twins",
        ),
        _mutation("starts behind the hand-over", "process", " and self.state < FLUSHING", "", "twins"),
        _mutation(
            "handed over keys lost",
            "idempotency_keys",
            "self.entries[key_id] = KeyEntry(KeyState.KNOWN, None, [], outcome)",
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


class MutatingLoader(importlib.abc.MetaPathFinder, importlib.abc.SourceLoader):
    """Loads one module of the machines with one line changed."""

    def __init__(self, install_mutation: Mutation) -> None:
        self.plant = install_mutation
        self.path = Path(__file__).parents[2].joinpath(*install_mutation.module.split(".")).with_suffix(".py")

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


def install_mutation(name: str, among: Mapping[str, Mutation] = MUTATIONS) -> None:
    """Put a planted bug in, before its module is loaded."""
    if among[name].module in sys.modules:
        raise RuntimeError("the machines are loaded already")
    sys.meta_path.insert(0, MutatingLoader(among[name]))


if __name__ == "__main__":
    install_mutation(sys.argv[1])
    from myrtlespar.server.main import main

    sys.exit(main())
