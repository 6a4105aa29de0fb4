"""The lifecycle of one attempt of a request, from the complete request to its final answer and the end of its run.

`AttemptState`, `AttemptEvent` and `AttemptAction` members appear by name in recorded traces, so their names are fixed.
"""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class AttemptState(IntEnum):
    """The state of an attempt. In the states from READ to CALLING, a client waits for the final answer."""

    READ = 0  # the request has been read completely; nothing has been decided yet
    HELD = auto()  # queued by the policy
    FOLLOWING = auto()  # waits for the outcome of another attempt with the same idempotency key
    RUNNING = auto()  # the run is in progress
    AT_CALL = auto()  # the run waits until its dependency call is made
    CALLING = auto()  # the dependency call is in flight
    RUNNING_UNWANTED = auto()  # like RUNNING, but no client waits any longer; a run can't be cancelled
    AT_CALL_UNWANTED = auto()  # like AT_CALL, but no client waits any longer
    OVER = auto()  # no client waits, and no run is in progress


class AttemptEvent(IntEnum):
    """What happens to an attempt."""

    ADMIT = 0  # the attempt has no idempotency key, or owns its key
    FOLLOW = auto()  # another attempt owns its key
    KNOWN = auto()  # the outcome of its idempotency key is known, or the key table has no capacity for the key
    START = auto()  # the policy starts the attempt
    BAR = auto()  # the policy starts the attempt, but it arrived too late in a graceful shutdown
    REFUSE = auto()  # the policy rejects the attempt
    FAIL = auto()  # the policy fails the attempt
    GONE = auto()  # the caller disconnected or cancelled
    CALL_NEEDED = auto()  # the run waits for a dependency call
    CALL = auto()  # the policy allows the dependency call
    CALL_OK = auto()  # the dependency call succeeded
    CALL_BAD = auto()  # the dependency call failed; the policy may make another one
    ENDED = auto()  # the run ended
    NEVER_RAN = auto()  # the run was reported as ended, and certainly never began
    OVERDUE = auto()  # the due time passed, or the process is about to end
    SHARE = auto()  # the attempt that it follows was answered, and the answer is shared
    PROMOTE = auto()  # the attempt becomes the owner of its key, as the previous owner ended before it ran


class AttemptAction(IntEnum):
    """The effects of a transition.

    Members up to TELL_CALL_ENDED are carried out by the request coordinator, the others by the request tracker.
    """

    DELIVER = 0  # send the final answer to the client
    START_RUN = auto()
    MAKE_CALL = auto()
    DROP_CALL = auto()
    RESUME = auto()  # send the run the reply to its dependency call
    TELL_ARRIVAL = auto()  # the TELL_ members report an event to the policy
    TELL_GONE = auto()
    TELL_ENDED = auto()
    TELL_CALL_NEEDED = auto()
    TELL_CALL_ENDED = auto()
    DELIVER_FAILED = auto()  # fail an attempt that was rejected after its start, as the run may have had its effect
    WITHDRAW = auto()  # no client waits for the answer any longer
    LEAVE = auto()  # remove the attempt from the tracker
    REMEMBER = auto()  # record the outcome of the idempotency key and share it with the followers
    FREE_KEY = auto()  # free the key, as the attempt never ran, and share the answer with the followers
    PASS_ON = auto()  # make the first follower the owner of the key, as the attempt ended before it ran
    UNFOLLOW = auto()  # remove the attempt from the followers of its key


LAST_COORDINATOR_ACTION = AttemptAction.TELL_CALL_ENDED  # the request tracker carries out the later members
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

# Effects of the end of a run. UNWANTED: no client waits for the answer any longer.
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
        # TELL_GONE prevents the policy from starting the attempt after its answer.
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
        # The policy may still decide these, as it may not know yet that no client waits. They have no effect.
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.FAIL): Transition(AttemptState.RUNNING_UNWANTED),
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.REFUSE): Transition(AttemptState.RUNNING_UNWANTED),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.ENDED): Transition(AttemptState.OVER, _UNWANTED_ENDED),
        # The policy may still decide these, as it may not know yet that no client waits. They have no effect.
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.CALL): Transition(AttemptState.AT_CALL_UNWANTED),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.FAIL): Transition(AttemptState.AT_CALL_UNWANTED),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.REFUSE): Transition(AttemptState.AT_CALL_UNWANTED),
    },
)
