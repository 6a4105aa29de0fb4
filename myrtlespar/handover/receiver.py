"""The state machine of the replacement in a hand-over, which accepts the keys of the old process.

Pure: no I/O and no clock. Times are Unix milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from myrtlespar.handover.keys_file import HandoverRejectedError, KeyOutcome, decode


class HandoverState(Enum):
    """Whether the replacement may run requests with an idempotency key."""

    WAITING = "waiting"  # the old process may still run: requests with a key could run twice, so they are rejected
    OPEN = "open"  # requests with a key may run


@dataclass(slots=True)
class ReceivedKeys:
    """The result of one poll: outcomes to import now, and a message for the log (empty for none)."""

    outcomes: list[KeyOutcome] = field(default_factory=list)
    log_message: str = ""


@dataclass(slots=True)
class HandoverReceiver:
    """Decides when the replacement accepts requests with a key.

    It accepts them once it has read a complete hand-over file, or once the old process has ended. A rejected file is
    reported once and not read again; then only the end of the old process allows requests with a key.

    Attributes:
        state: Whether requests with a key may run.
        rejection: Why the file was rejected; empty if it was not.
        received_count: How many outcomes the accepted file contained.
    """

    state: HandoverState = HandoverState.OPEN
    rejection: str = ""
    received_count: int = 0

    def poll(self, old_process_alive: bool, data: bytes | None, now: float, class_count: int) -> ReceivedKeys:
        """Evaluate one read of the shared folder.

        Args:
            old_process_alive: Whether the old process still holds its lock.
            data: The hand-over file; None if there is none yet.
            now: The current time; keys that have expired by then are left out.
            class_count: The number of request classes.
        """
        if self.state is HandoverState.OPEN:
            return ReceivedKeys()
        if data is not None and not self.rejection:
            return self._receive(data, now, class_count)
        if not old_process_alive:
            self.state = HandoverState.OPEN
            return ReceivedKeys(log_message="the old process is gone; keys open without its hand-over")
        return ReceivedKeys()

    def _receive(self, data: bytes, now: float, class_count: int) -> ReceivedKeys:
        """Accept or reject a hand-over file."""
        try:
            outcomes = decode(data, now, class_count)
        except HandoverRejectedError as error:
            self.rejection = str(error)
            return ReceivedKeys(log_message=f"hand-over refused: {error}")
        self.state = HandoverState.OPEN
        self.received_count = len(outcomes)
        return ReceivedKeys(outcomes, f"hand-over taken: {len(outcomes)} keys")
