"""One try of a request: from the moment it was read whole to its one final answer and the end of its run."""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class AttemptState(IntEnum):
    """Where a try stands. In the states from READ to CALLING its final answer is owed."""

    READ = 0  # whole, and nothing decided about it
    HELD = auto()  # the policy has it
    FOLLOWING = auto()  # waits for the outcome of another try of its key
    RUNNING = auto()
    AT_CALL = auto()  # the run waits for a call to be made
    CALLING = auto()  # the call is under way
    RUNNING_UNWANTED = auto()  # answered, or its caller is gone; the run can't be stopped
    AT_CALL_UNWANTED = auto()
    OVER = auto()


class AttemptEvent(IntEnum):
    """What happens to a try."""

    ADMIT = 0
    FOLLOW = auto()
    KNOWN = auto()  # the key's outcome is known, or there is no room for it
    START = auto()
    BAR = auto()  # a start that the drain forbids
    REFUSE = auto()
    FAIL = auto()
    GONE = auto()
    CALL_NEEDED = auto()
    CALL = auto()
    CALL_OK = auto()
    CALL_BAD = auto()
    ENDED = auto()
    NEVER_RAN = auto()  # the run ended with proof that it never began
    OVERDUE = auto()
    SHARE = auto()  # the try it follows has an outcome
    PROMOTE = auto()  # it takes the place of the try it followed


class AttemptAction(IntEnum):
    """What follows. Those up to TELL_CALL_ENDED are for the core, the others for the desk itself."""

    DELIVER = 0  # hand the final answer to the client side
    START_RUN = auto()
    MAKE_CALL = auto()
    DROP_CALL = auto()
    RESUME = auto()  # hand the run its reply
    TELL_ARRIVAL = auto()  # these go to the policy
    TELL_GONE = auto()
    TELL_ENDED = auto()
    TELL_CALL_NEEDED = auto()
    TELL_CALL_ENDED = auto()
    DELIVER_FAILED = auto()  # a refusal that comes too late: what started is not refused
    WITHDRAW = auto()  # nobody is owed the answer any longer
    LEAVE = auto()  # forget the try
    REMEMBER = auto()  # its key stands for this outcome from now on, and followers share it
    FREE_KEY = auto()  # it never ran: followers share the answer, the key is free again
    PASS_ON = auto()  # it leaves before it ran: its first follower takes its place
    UNFOLLOW = auto()


LAST_OUTWARD = AttemptAction.TELL_CALL_ENDED
OWED = frozenset(
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

_END = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.REMEMBER, AttemptAction.TELL_ENDED)
_NEVER = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.FREE_KEY, AttemptAction.TELL_ENDED)
_LATE_END = (AttemptAction.LEAVE, AttemptAction.REMEMBER, AttemptAction.TELL_ENDED)
_LATE_NEVER = (AttemptAction.LEAVE, AttemptAction.FREE_KEY, AttemptAction.TELL_ENDED)

ATTEMPT_TABLE = TransitionTable(
    "try",
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
        # The policy forgot it. Told, it can't start the try later for nobody.
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
        (AttemptState.RUNNING, AttemptEvent.ENDED): Transition(AttemptState.OVER, _END),
        (AttemptState.RUNNING, AttemptEvent.NEVER_RAN): Transition(AttemptState.OVER, _NEVER),
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
        (AttemptState.AT_CALL, AttemptEvent.ENDED): Transition(AttemptState.OVER, _END),
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
        (AttemptState.CALLING, AttemptEvent.ENDED): Transition(AttemptState.OVER, (AttemptAction.DROP_CALL, *_END)),
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
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.ENDED): Transition(AttemptState.OVER, _LATE_END),
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.NEVER_RAN): Transition(AttemptState.OVER, _LATE_NEVER),
        # Decided before the departure was told: the first end stands.
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.FAIL): Transition(AttemptState.RUNNING_UNWANTED),
        (AttemptState.RUNNING_UNWANTED, AttemptEvent.REFUSE): Transition(AttemptState.RUNNING_UNWANTED),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.ENDED): Transition(AttemptState.OVER, _LATE_END),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.CALL): Transition(
            AttemptState.AT_CALL_UNWANTED
        ),  # decided before the departure was told
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.FAIL): Transition(AttemptState.AT_CALL_UNWANTED),
        (AttemptState.AT_CALL_UNWANTED, AttemptEvent.REFUSE): Transition(AttemptState.AT_CALL_UNWANTED),
    },
)
