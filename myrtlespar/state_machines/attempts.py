"""One try of a request: from the moment it was read whole to its one final answer and the end of its run."""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Row, Table


class Try(IntEnum):
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


class On(IntEnum):
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


class Do(IntEnum):
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


LAST_OUTWARD = Do.TELL_CALL_ENDED
OWED = frozenset({Try.READ, Try.HELD, Try.FOLLOWING, Try.RUNNING, Try.AT_CALL, Try.CALLING})
STARTED = frozenset({Try.RUNNING, Try.AT_CALL, Try.CALLING, Try.RUNNING_UNWANTED, Try.AT_CALL_UNWANTED})

_END = (Do.LEAVE, Do.DELIVER, Do.REMEMBER, Do.TELL_ENDED)
_NEVER = (Do.LEAVE, Do.DELIVER, Do.FREE_KEY, Do.TELL_ENDED)
_LATE_END = (Do.LEAVE, Do.REMEMBER, Do.TELL_ENDED)
_LATE_NEVER = (Do.LEAVE, Do.FREE_KEY, Do.TELL_ENDED)

TRY = Table("try", Try, On, {
    (Try.READ, On.ADMIT): Row(Try.HELD, (Do.TELL_ARRIVAL,)),
    (Try.READ, On.FOLLOW): Row(Try.FOLLOWING),
    (Try.READ, On.KNOWN): Row(Try.OVER, (Do.LEAVE, Do.DELIVER)),

    (Try.HELD, On.START): Row(Try.RUNNING, (Do.START_RUN,)),
    (Try.HELD, On.BAR): Row(Try.OVER, (Do.LEAVE, Do.DELIVER, Do.FREE_KEY, Do.TELL_ENDED)),
    (Try.HELD, On.REFUSE): Row(Try.OVER, (Do.LEAVE, Do.DELIVER, Do.FREE_KEY)),
    (Try.HELD, On.FAIL): Row(Try.OVER, (Do.LEAVE, Do.DELIVER, Do.FREE_KEY)),
    (Try.HELD, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, Do.PASS_ON, Do.TELL_GONE)),
    # The policy forgot it. Told, it can't start the try later for nobody.
    (Try.HELD, On.OVERDUE): Row(Try.OVER, (Do.LEAVE, Do.DELIVER, Do.FREE_KEY, Do.TELL_GONE)),

    (Try.FOLLOWING, On.SHARE): Row(Try.OVER, (Do.LEAVE, Do.DELIVER)),
    (Try.FOLLOWING, On.GONE): Row(Try.OVER, (Do.LEAVE, Do.WITHDRAW, Do.UNFOLLOW)),
    (Try.FOLLOWING, On.OVERDUE): Row(Try.OVER, (Do.LEAVE, Do.DELIVER, Do.UNFOLLOW)),
    (Try.FOLLOWING, On.PROMOTE): Row(Try.HELD, (Do.TELL_ARRIVAL,)),

    (Try.RUNNING, On.CALL_NEEDED): Row(Try.AT_CALL, (Do.TELL_CALL_NEEDED,)),
    (Try.RUNNING, On.ENDED): Row(Try.OVER, _END),
    (Try.RUNNING, On.NEVER_RAN): Row(Try.OVER, _NEVER),
    (Try.RUNNING, On.FAIL): Row(Try.RUNNING_UNWANTED, (Do.DELIVER,)),
    (Try.RUNNING, On.REFUSE): Row(Try.RUNNING_UNWANTED, (Do.DELIVER_FAILED,)),
    (Try.RUNNING, On.GONE): Row(Try.RUNNING_UNWANTED, (Do.WITHDRAW, Do.TELL_GONE)),
    (Try.RUNNING, On.OVERDUE): Row(Try.RUNNING_UNWANTED, (Do.DELIVER,)),

    (Try.AT_CALL, On.CALL): Row(Try.CALLING, (Do.MAKE_CALL,)),
    (Try.AT_CALL, On.ENDED): Row(Try.OVER, _END),
    (Try.AT_CALL, On.FAIL): Row(Try.AT_CALL_UNWANTED, (Do.DELIVER,)),
    (Try.AT_CALL, On.REFUSE): Row(Try.AT_CALL_UNWANTED, (Do.DELIVER_FAILED,)),
    (Try.AT_CALL, On.GONE): Row(Try.AT_CALL_UNWANTED, (Do.WITHDRAW, Do.TELL_GONE)),
    (Try.AT_CALL, On.OVERDUE): Row(Try.AT_CALL_UNWANTED, (Do.DELIVER,)),

    (Try.CALLING, On.CALL_OK): Row(Try.RUNNING, (Do.RESUME, Do.TELL_CALL_ENDED)),
    (Try.CALLING, On.CALL_BAD): Row(Try.AT_CALL, (Do.TELL_CALL_ENDED,)),
    (Try.CALLING, On.ENDED): Row(Try.OVER, (Do.DROP_CALL, *_END)),
    (Try.CALLING, On.FAIL): Row(Try.AT_CALL_UNWANTED, (Do.DELIVER, Do.DROP_CALL)),
    (Try.CALLING, On.REFUSE): Row(Try.AT_CALL_UNWANTED, (Do.DELIVER_FAILED, Do.DROP_CALL)),
    (Try.CALLING, On.GONE): Row(Try.AT_CALL_UNWANTED, (Do.WITHDRAW, Do.DROP_CALL, Do.TELL_GONE)),
    (Try.CALLING, On.OVERDUE): Row(Try.AT_CALL_UNWANTED, (Do.DELIVER, Do.DROP_CALL)),

    (Try.RUNNING_UNWANTED, On.CALL_NEEDED): Row(Try.AT_CALL_UNWANTED, (Do.TELL_CALL_NEEDED,)),
    (Try.RUNNING_UNWANTED, On.ENDED): Row(Try.OVER, _LATE_END),
    (Try.RUNNING_UNWANTED, On.NEVER_RAN): Row(Try.OVER, _LATE_NEVER),
    # Decided before the departure was told: the first end stands.
    (Try.RUNNING_UNWANTED, On.FAIL): Row(Try.RUNNING_UNWANTED),
    (Try.RUNNING_UNWANTED, On.REFUSE): Row(Try.RUNNING_UNWANTED),

    (Try.AT_CALL_UNWANTED, On.ENDED): Row(Try.OVER, _LATE_END),
    (Try.AT_CALL_UNWANTED, On.CALL): Row(Try.AT_CALL_UNWANTED),  # decided before the departure was told
    (Try.AT_CALL_UNWANTED, On.FAIL): Row(Try.AT_CALL_UNWANTED),
    (Try.AT_CALL_UNWANTED, On.REFUSE): Row(Try.AT_CALL_UNWANTED),
})
