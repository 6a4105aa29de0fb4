"""One attempt of a request: from the complete request to its single final answer and the end of its run.

`AttemptState`, `AttemptEvent` and `AttemptAction` members appear by name in recorded traces, so their names are fixed.
"""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class AttemptState(IntEnum):
    """The state of an attempt. From READ to CALLING, its client still waits for the final answer."""

    READ = 0  # the request is complete, nothing has been decided yet
    HELD = auto()  # queued by the policy
    FOLLOWING = auto()  # waits for the outcome of another attempt with the same idempotency key
    RUNNING = auto()  # the execution engine works on it
    AT_CALL = auto()  # the run waits until its dependency call is made
    CALLING = auto()  # the dependency call is in flight
    RUNNING_UNWANTED = auto()  # answered, or its caller is gone; the run can't be cancelled
    AT_CALL_UNWANTED = auto()  # the same, and the run waits at a dependency call
    OVER = auto()  # answered, and no run of it goes on


class AttemptEvent(IntEnum):
    """What happens to an attempt."""

    ADMIT = 0  # it has no idempotency key, or owns its key
    FOLLOW = auto()  # another attempt owns its key
    KNOWN = auto()  # the outcome of its key is known, or the key table has no capacity for it
    START = auto()  # the policy starts it
    BAR = auto()  # the policy starts it, and the graceful shutdown forbids that
    REFUSE = auto()  # the policy rejects it
    FAIL = auto()  # the policy fails it
    GONE = auto()  # the caller disconnected or cancelled
    CALL_NEEDED = auto()  # the run waits for a dependency call
    CALL = auto()  # the policy lets the call be made
    CALL_OK = auto()
    CALL_BAD = auto()  # the call failed; the policy may make another one
    ENDED = auto()  # the run ended
    NEVER_RAN = auto()  # the run ended, and it is certain that it never began
    OVERDUE = auto()  # its due time passed
    SHARE = auto()  # the attempt that it follows has an outcome
    PROMOTE = auto()  # it replaces the attempt that it followed


class AttemptAction(IntEnum):
    """The effects of a transition.

    Members up to TELL_CALL_ENDED are carried out by the request coordinator, the others by the request tracker.
    """

    DELIVER = 0  # send the final answer to the client
    START_RUN = auto()
    MAKE_CALL = auto()
    DROP_CALL = auto()
    RESUME = auto()  # send the run the reply to its dependency call
    TELL_ARRIVAL = auto()  # the TELL_ members notify the policy
    TELL_GONE = auto()
    TELL_ENDED = auto()
    TELL_CALL_NEEDED = auto()
    TELL_CALL_ENDED = auto()
    DELIVER_FAILED = auto()  # a rejection after the start: the answer is a failure, as the run may have had its effect
    WITHDRAW = auto()  # no client waits for the answer any longer
    LEAVE = auto()  # remove the attempt from the tracker
    REMEMBER = auto()  # record the outcome of its key and share it with the followers
    FREE_KEY = auto()  # it never ran: share the answer with the followers and free the key
    PASS_ON = auto()  # it ends before it ran: its first follower replaces it
    UNFOLLOW = auto()  # remove it from the followers of its key


LAST_COORDINATOR_ACTION = AttemptAction.TELL_CALL_ENDED  # see AttemptAction
AWAITING_ANSWER = frozenset(
    {
        AttemptState.READ,
        AttemptState.HELD,
        AttemptState.FOLLOWING,
        AttemptState.RUNNING,
        AttemptState.AT_CALL,
        AttemptState.CALLING,
    }
)
STARTED = frozenset(
    {
        AttemptState.RUNNING,
        AttemptState.AT_CALL,
        AttemptState.CALLING,
        AttemptState.RUNNING_UNWANTED,
        AttemptState.AT_CALL_UNWANTED,
    }
)

# Effects of the end of a run; UNWANTED: no client waits any longer.
_ENDED = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.REMEMBER, AttemptAction.TELL_ENDED)
_NEVER_RAN = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.FREE_KEY, AttemptAction.TELL_ENDED)
_UNWANTED_ENDED = (AttemptAction.LEAVE, AttemptAction.REMEMBER, AttemptAction.TELL_ENDED)
_UNWANTED_NEVER_RAN = (AttemptAction.LEAVE, AttemptAction.FREE_KEY, AttemptAction.TELL_ENDED)

ATTEMPT_TABLE = TransitionTable(
    "try",  # the name of an attempt in recorded traces and counters
    AttemptState,
    AttemptEvent,
    {
        (AttemptState.READ, AttemptEvent.ADMIT): Transition(AttemptState.HELD, (AttemptAction.TELL_ARRIVAL,)),
        (AttemptState.READ, AttemptEvent.FOLLOW): Transition(AttemptState.FOLLOWING),
        (AttemptState.READ, AttemptEvent.KNOWN): Transition(
            AttemptState.OVER, (AttemptAction.LEAVE, AttemptAction.DELIVER)
        ),
        (AttemptState.HELD, AttemptEvent.START): Transition(AttemptState.RUNNING, (AttemptAction.START_RUN,)),
        (AttemptState.HELD, AttemptEvent.BAR): Transition(
            AttemptState.OVER,
            (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.FREE_KEY, AttemptAction.TELL_ENDED),
        ),
        (AttemptState.HELD, AttemptEvent.REFUSE): Transition(
            AttemptState.OVER, (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.FREE_KEY)
        ),
        (AttemptState.HELD, AttemptEvent.FAIL): Transition(
            AttemptState.OVER, (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.FREE_KEY)
        ),
        (AttemptState.HELD, AttemptEvent.GONE): Transition(
            AttemptState.OVER,
            (AttemptAction.LEAVE, AttemptAction.WITHDRAW, AttemptAction.PASS_ON, AttemptAction.TELL_GONE),
        ),
        # The policy is notified, so that it can't start the attempt later when nobody waits.
        (AttemptState.HELD, AttemptEvent.OVERDUE): Transition(
            AttemptState.OVER,
            (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.FREE_KEY, AttemptAction.TELL_GONE),
        ),
        (AttemptState.FOLLOWING, AttemptEvent.SHARE): Transition(
            AttemptState.OVER, (AttemptAction.LEAVE, AttemptAction.DELIVER)
        ),
        (AttemptState.FOLLOWING, AttemptEvent.GONE): Transition(
            AttemptState.OVER, (AttemptAction.LEAVE, AttemptAction.WITHDRAW, AttemptAction.UNFOLLOW)
        ),
        (AttemptState.FOLLOWING, AttemptEvent.OVERDUE): Transition(
            AttemptState.OVER, (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.UNFOLLOW)
        ),
        (AttemptState.FOLLOWING, AttemptEvent.PROMOTE): Transition(AttemptState.HELD, (AttemptAction.TELL_ARRIVAL,)),
        (AttemptState.RUNNING, AttemptEvent.CALL_NEEDED): Transition(
            AttemptState.AT_CALL, (AttemptAction.TELL_CALL_NEEDED,)
        ),
        (AttemptState.RUNNING, AttemptEvent.ENDED): Transition(AttemptState.OVER, _ENDED),
        (AttemptState.RUNNING, AttemptEvent.NEVER_RAN): Transition(AttemptState.OVER, _NEVER_RAN),
        (AttemptState.RUNNING, AttemptEvent.FAIL): Transition(AttemptState.RUNNING_UNWANTED, (AttemptAction.DELIVER,)),
        (AttemptState.RUNNING, AttemptEvent.REFUSE): Transition(
            AttemptState.RUNNING_UNWANTED, (AttemptAction.DELIVER_FAILED,)
        ),
        (AttemptState.RUNNING, AttemptEvent.GONE): Transition(
            AttemptState.RUNNING_UNWANTED, (AttemptAction.WITHDRAW, AttemptAction.TELL_GONE)
        ),
        (AttemptState.RUNNING, AttemptEvent.OVERDUE): Transition(
            AttemptState.RUNNING_UNWANTED, (AttemptAction.DELIVER,)
        ),
        (AttemptState.AT_CALL, AttemptEvent.CALL): Transition(AttemptState.CALLING, (AttemptAction.MAKE_CALL,)),
        (AttemptState.AT_CALL, AttemptEvent.ENDED): Transition(AttemptState.OVER, _ENDED),
        (AttemptState.AT_CALL, AttemptEvent.FAIL): Transition(AttemptState.AT_CALL_UNWANTED, (AttemptAction.DELIVER,)),
        (AttemptState.AT_CALL, AttemptEvent.REFUSE): Transition(
            AttemptState.AT_CALL_UNWANTED, (AttemptAction.DELIVER_FAILED,)
        ),
        (AttemptState.AT_CALL, AttemptEvent.GONE): Transition(
            AttemptState.AT_CALL_UNWANTED, (AttemptAction.WITHDRAW, AttemptAction.TELL_GONE)
        ),
        (AttemptState.AT_CALL, AttemptEvent.OVERDUE): Transition(
            AttemptState.AT_CALL_UNWANTED, (AttemptAction.DELIVER,)
        ),
        (AttemptState.CALLING, AttemptEvent.CALL_OK): Transition(
            AttemptState.RUNNING, (AttemptAction.RESUME, AttemptAction.TELL_CALL_ENDED)
        ),
        (AttemptState.CALLING, AttemptEvent.CALL_BAD): Transition(
            AttemptState.AT_CALL, (AttemptAction.TELL_CALL_ENDED,)
        ),
        (AttemptState.CALLING, AttemptEvent.ENDED): Transition(AttemptState.OVER, (AttemptAction.DROP_CALL, *_ENDED)),
        (AttemptState.CALLING, AttemptEvent.FAIL): Transition(
            AttemptState.AT_CALL_UNWANTED, (AttemptAction.DELIVER, AttemptAction.DROP_CALL)
        ),
        (AttemptState.CALLING, AttemptEvent.REFUSE): Transition(
            AttemptState.AT_CALL_UNWANTED, (AttemptAction.DELIVER_FAILED, AttemptAction.DROP_CALL)
        ),
        (AttemptState.CALLING, AttemptEvent.GONE): Transition(
            AttemptState.AT_CALL_UNWANTED, (AttemptAction.WITHDRAW, AttemptAction.DROP_CALL, AttemptAction.TELL_GONE)
        ),
        (AttemptState.CALLING, AttemptEvent.OVERDUE): Transition(
            AttemptState.AT_CALL_UNWANTED, (AttemptAction.DELIVER, AttemptAction.DROP_CALL)
        ),
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.CALL_NEEDED): Transition(
            AttemptState.AT_CALL_UNWANTED, (AttemptAction.TELL_CALL_NEEDED,)
        ),
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.ENDED): Transition(AttemptState.OVER, _UNWANTED_ENDED),
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.NEVER_RAN): Transition(AttemptState.OVER, _UNWANTED_NEVER_RAN),
        # The policy decided this before it was notified that the caller is gone: the first end is final.
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.FAIL): Transition(AttemptState.RUNNING_UNWANTED),
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.REFUSE): Transition(AttemptState.RUNNING_UNWANTED),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.ENDED): Transition(AttemptState.OVER, _UNWANTED_ENDED),
        # The policy decided these before it was notified that the caller is gone.
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.CALL): Transition(AttemptState.AT_CALL_UNWANTED),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.FAIL): Transition(AttemptState.AT_CALL_UNWANTED),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.REFUSE): Transition(AttemptState.AT_CALL_UNWANTED),
    },
)
