"""Mutations of the state machine of attempts. Fragments have the layout of `ast.unparse`."""

from __future__ import annotations

from myrtlespar.model_checker.mutants.loader import mutation

MUTATIONS = (
    mutation(
        "started twice",
        "attempts",
        "(AttemptState.RUNNING, AttemptEvent.CALL_NEEDED): Transition(AttemptState.AT_CALL",
        "(AttemptState.RUNNING, AttemptEvent.START): Transition(AttemptState.RUNNING, "
        "(AttemptAction.START_RUN,)),\n"
        "    (AttemptState.RUNNING, AttemptEvent.CALL_NEEDED): Transition(AttemptState.AT_CALL",
        "rude",
    ),
    mutation(
        "refused after the start",
        "attempts",
        "(AttemptState.RUNNING, AttemptEvent.REFUSE): Transition(AttemptState.RUNNING_UNWANTED, "
        "(AttemptAction.DELIVER_FAILED,))",
        "(AttemptState.RUNNING, AttemptEvent.REFUSE): Transition(AttemptState.RUNNING_UNWANTED, "
        "(AttemptAction.DELIVER,))",
        "rude",
    ),
    mutation(
        "answered twice",
        "attempts",
        "_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.REMEMBER",
        "_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.REMEMBER",
        "quick",
    ),
    mutation(
        "gone and still answered",
        "attempts",
        "(AttemptState.RUNNING, AttemptEvent.GONE): Transition(AttemptState.RUNNING_UNWANTED, ",
        "(AttemptState.RUNNING, AttemptEvent.GONE): Transition(AttemptState.RUNNING, ",
        "quick",
    ),
    mutation(
        "departure not booked",
        "attempts",
        "(AttemptState.HELD, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
        "AttemptAction.WITHDRAW, ",
        "(AttemptState.HELD, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, ",
        "quick",
    ),
    mutation(
        "followers not shared with",
        "attempts",
        "_ENDED = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.REMEMBER, AttemptAction.TELL_ENDED)",
        "_ENDED = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.TELL_ENDED)",
        "quick",
    ),
    mutation(
        "heir not called",
        "attempts",
        "(AttemptState.HELD, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
        "AttemptAction.WITHDRAW, AttemptAction.PASS_ON, ",
        "(AttemptState.HELD, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
        "AttemptAction.WITHDRAW, ",
        "quick",
    ),
    mutation(
        "a run frees its key",
        "attempts",
        "_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.REMEMBER",
        "_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.FREE_KEY",
        "quick",
    ),
    mutation(
        "overdue and still open",
        "attempts",
        "(AttemptState.HELD, AttemptEvent.OVERDUE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, ",
        "(AttemptState.HELD, AttemptEvent.OVERDUE): Transition(AttemptState.HELD, (",
        "forgets",
    ),
    mutation(
        "follower left in the list",
        "attempts",
        "(AttemptState.FOLLOWING, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
        "AttemptAction.WITHDRAW, "
        "AttemptAction.UNFOLLOW))",
        "(AttemptState.FOLLOWING, AttemptEvent.GONE): Transition(AttemptState.OVER, (AttemptAction.LEAVE, "
        "AttemptAction.WITHDRAW))",
        "quick",
    ),
    mutation(
        "late reply to a given-up call",
        "attempts",
        "(AttemptState.CALLING, AttemptEvent.GONE): Transition(AttemptState.AT_CALL_UNWANTED, "
        "(AttemptAction.WITHDRAW, AttemptAction.DROP_CALL, ",
        "(AttemptState.CALLING, AttemptEvent.GONE): Transition(AttemptState.AT_CALL_UNWANTED, "
        "(AttemptAction.WITHDRAW, ",
        "calls",
    ),
)
