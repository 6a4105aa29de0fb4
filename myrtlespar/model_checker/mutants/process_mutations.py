"""Mutations of the process lifecycle. Fragments have the layout of `ast.unparse`."""

from __future__ import annotations

from myrtlespar.model_checker.mutants.loader import mutation

MUTATIONS = (
    mutation(
        "grace one step too long",
        "process",
        "return arrived_at <= self.shutdown_signal_at + self.grace_ms",
        "return arrived_at <= self.shutdown_signal_at + 2 * self.grace_ms",
        "quick",
    ),
    mutation(
        "crossing leaves with answers owed",
        "process",
        "crossed = now >= self.closed_at + self.crossing_ms and (not unanswered)",
        "crossed = now >= self.closed_at",
        "fronts",
    ),
    mutation(
        "hand-over leaves with answers owed",
        "process",
        "(ProcessState.SERVING, ProcessEvent.HANDOVER): Transition(ProcessState.CROSSING, _CLOSE)",
        "(ProcessState.SERVING, ProcessEvent.HANDOVER): Transition(ProcessState.FLUSHING, "
        "(ProcessAction.FLUSH, *_CLOSE))",
        "handover",
    ),
    mutation("starts behind the hand-over", "process", " and self.state < FLUSHING", "", "twins"),
)
