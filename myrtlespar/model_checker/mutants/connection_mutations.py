"""Mutations of the engine link, calls to the dependency and client connections.

Fragments are in the layout of `ast.unparse`.
"""

from __future__ import annotations

from myrtlespar.model_checker.mutants.loader import mutation

MUTATIONS = (
    mutation(
        "orders repeated after a break",
        "engine_link",
        "command.state == SENT_DOUBTFUL and command.is_idempotent and",
        "command.state == SENT_DOUBTFUL and",
        "once",
    ),
    mutation(
        "repeated once the mark is back",
        "engine_link",
        "if command.state == SENT_DOUBTFUL and (not self.is_wanted(command.request_id)):\n"
        "                out += self._prove(command, CommandEvent.GIVE_UP)",
        "if command.state == SENT_DOUBTFUL:\n" "                out += self._prove(command, CommandEvent.REPEAT)",
        "once",
    ),
    mutation(
        "replies repeated",
        "engine_link",
        "command.state == SENT_DOUBTFUL and command.is_idempotent and",
        "command.state == SENT_DOUBTFUL and (command.is_idempotent or not command.is_start) and",
        "calls",
    ),
    mutation("doubt forgotten", "engine_link", "(LinkAction.DOUBT, LinkAction.GREET)", "(LinkAction.GREET,)", "once"),
    mutation(
        "proof by any mark",
        "engine_link",
        "command.state == SENT_SENT and command.sequence_number <= newest",
        "command.state != SENT_KEPT",
        "once",
    ),
    mutation(
        "lost place not freed",
        "engine_link",
        "(CommandState.DOUBTFUL, CommandEvent.GIVE_UP): Transition(CommandState.DONE, (CommandAction.END,))",
        "(CommandState.DOUBTFUL, CommandEvent.GIVE_UP): Transition(CommandState.DONE)",
        "once",
    ),
    mutation(
        "notices taken twice",
        "engine_link",
        "if number <= self.last_notice:",
        "if number < self.last_notice:",
        "calls",
    ),
    mutation(
        "gap passed over",
        "engine_link",
        "if number > self.last_notice + 1 and self.gap_after != self.last_notice:",
        "if False:",
        "gaps",
    ),
    mutation(
        "new kernel not noticed",
        "engine_link",
        "        self.last_notice = 0\n        lost",
        "        lost",
        "kernels",
    ),
    mutation(
        "call twice on one connection",
        "dependency_calls",
        "if id not in wire.recent_requests and self.is_quiet(wire):",
        "if self.is_quiet(wire):",
        "store",
    ),
    mutation(
        "broken call not told",
        "dependency_calls",
        "(CallState.MADE, CallEvent.CUT): Transition(CallState.OVER, (RunOutcome.CUT_OFF,))",
        "(CallState.MADE, CallEvent.CUT): Transition(CallState.OVER)",
        "store",
    ),
    mutation(
        "waiting calls stranded",
        "dependency_calls",
        "if self.waiting and (not self.connection_count):",
        "if False:",
        "stores",
    ),
    mutation(
        "given-up connection used again",
        "dependency_calls",
        "self._hear(wire, event)\n        return CloseConnection(wire, drop)",
        "self._hear(wire, event)\n        self.idle.append(wire)\n        return CloseConnection(wire, drop)",
        "store",
    ),
    mutation(
        "requests taken after the close",
        "client_connection",
        "return self.state < ENDING",
        "return self.state <= ENDING + 1",
        "fronts",
    ),
    mutation(
        "reset forgets what was owed",
        "client_connection",
        "(ConnectionState.OWING, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED, "
        "(ConnectionAction.GONE,))",
        "(ConnectionState.OWING, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED)",
        "fronts",
    ),
)
