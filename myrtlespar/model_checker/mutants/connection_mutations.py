"""Mutations of the engine link, calls to the dependency and client connections.

Fragments have the layout of `ast.unparse`.
"""

from __future__ import annotations

from myrtlespar.model_checker.mutants.loader import mutation

MUTATIONS = (
    mutation(
        "orders repeated after a break",
        "command_log",
        "command.state == COMMAND_DOUBTFUL and command.is_idempotent and",
        "command.state == COMMAND_DOUBTFUL and",
        "once",
    ),
    mutation(
        "repeated once the mark is back",
        "command_log",
        "if command.state == COMMAND_DOUBTFUL and (not self.is_wanted(command.request_id)):\n"
        "                effects += self._step_command(command, CommandEvent.GIVE_UP)",
        "if command.state == COMMAND_DOUBTFUL:\n"
        "                effects += self._step_command(command, CommandEvent.REPEAT)",
        "once",
    ),
    mutation(
        "replies repeated",
        "command_log",
        "command.state == COMMAND_DOUBTFUL and command.is_idempotent and",
        "command.state == COMMAND_DOUBTFUL and (command.is_idempotent or not command.is_start) and",
        "calls",
    ),
    mutation("doubt forgotten", "engine_link", "(LinkAction.DOUBT, LinkAction.GREET)", "(LinkAction.GREET,)", "once"),
    mutation(
        "proof by any mark",
        "command_log",
        "command.state == COMMAND_SENT and command.sequence_number <= newest",
        "command.state != COMMAND_KEPT",
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
        "command_log",
        "if number <= self.last_notice:",
        "if number < self.last_notice:",
        "calls",
    ),
    mutation(
        "gap passed over",
        "command_log",
        "if number > self.last_notice + 1 and self.gap_after != self.last_notice:",
        "if False:",
        "gaps",
    ),
    mutation(
        "new kernel not noticed",
        "command_log",
        "        self.last_notice = 0\n        lost",
        "        lost",
        "kernels",
    ),
    mutation(
        "call twice on one connection",
        "dependency_calls",
        "if request_id not in connection.recent_requests and self.has_no_unread_input(connection):",
        "if self.has_no_unread_input(connection):",
        "store",
    ),
    mutation(
        "broken call not told",
        "dependency_tables",
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
        "self._step_connection(connection, event)\n        return CloseConnection(connection, cancelled_request)",
        "self._step_connection(connection, event)\n        self.idle.append(connection)\n        "
        "return CloseConnection(connection, cancelled_request)",
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
