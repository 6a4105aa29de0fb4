"""Mutations of the request tracker and of idempotency keys. Fragments have the layout of `ast.unparse`."""

from __future__ import annotations

from myrtlespar.model_checker.mutants.loader import mutation

MUTATIONS = (
    mutation(
        "nobody is overdue",
        "request_tracker",
        "if exchange.state in AWAITING_ANSWER:\n                slack",
        "if exchange.state == AttemptState.HELD:\n                slack",
        "quick",
    ),
    mutation(
        "due time ignored",
        "request_tracker",
        "if now >= min(exchange.due_at + slack, deadline)",
        "if now >= deadline",
        "quick",
    ),
    mutation(
        "kill ignored",
        "request_tracker",
        "min(exchange.due_at + slack, deadline)",
        "exchange.due_at + 10 * slack",
        "forgets",
    ),
    mutation(
        "grace ignored",
        "request_tracker",
        "if not self.process.may_start(exchange.arrived_at):",
        "if False:",
        "quick",
    ),
    mutation(
        "every repeat starts",
        "request_tracker",
        "if key_action is KEY_FOLLOW:\n            return self._step(exchange, EVENT_FOLLOW)",
        "if key_action is KEY_FOLLOW:\n            return self._step(exchange, EVENT_ADMIT)",
        "quick",
    ),
    mutation(
        "a late refusal ends the run",
        "request_tracker",
        "event = EVENT_NEVER_RAN if final.kind is AnswerKind.REFUSED or",
        "event = EVENT_NEVER_RAN if final.kind is not AnswerKind.SERVED or",
        "quick",
    ),
    mutation(
        "key forgotten at its outcome",
        "idempotency_keys",
        "(KeyState.OWNED, KeyEvent.OUTCOME): Transition(KeyState.KNOWN,",
        "(KeyState.OWNED, KeyEvent.OUTCOME): Transition(KeyState.FREE,",
        "quick",
    ),
    mutation(
        "key forgotten early",
        "idempotency_keys",
        "while self.expiry and self.expiry[0][0] <= now:",
        "while self.expiry and self.expiry[0][0] <= now + 2 * self.key_ms:",
        "heirs",
    ),
    mutation(
        "second heir lost",
        "idempotency_keys",
        "entry.owner = entry.followers.pop(0)",
        "entry.owner, entry.followers = entry.followers[0], []",
        "heirs",
    ),
    mutation(
        "key kept by nobody",
        "idempotency_keys",
        "(KeyState.OWNED, KeyEvent.LAST_LEFT): Transition(KeyState.FREE, (KeyAction.DROP,))",
        "(KeyState.OWNED, KeyEvent.LAST_LEFT): Transition(KeyState.OWNED, (KeyAction.DROP,))",
        "quick",
    ),
    mutation(
        "key hand-over dropped",
        "request_tracker",
        "return self.keys.known_outcomes(position) + running",
        "return []",
        "twins",
    ),
    mutation(
        "runs in hand not handed over",
        "request_tracker",
        "return self.keys.known_outcomes(position) + running",
        "return self.keys.known_outcomes(position)",
        "twins",
    ),
    mutation(
        "keys open beside an old process",
        "idempotency_keys",
        "if not self.awaiting_handover:",
        "if True:",
        "twins",
    ),
    mutation(
        "repeats of a run rejected beside an old process",
        "idempotency_keys",
        "if not exchange.may_have_run:",
        "if True:",
        "twins",
    ),
    mutation(
        "handed over keys lost",
        "idempotency_keys",
        "self.entries[key_id] = KeyEntry(KeyState.KNOWN, None, [], outcome)",
        "pass",
        "twins",
    ),
)
