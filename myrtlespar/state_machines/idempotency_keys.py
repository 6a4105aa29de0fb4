"""Idempotency keys: the tries that one key links, so that a repeat of a started order never starts again."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, auto

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class KeyState(IntEnum):
    """What a key stands for."""

    FREE = 0
    OWNED = auto()  # by a try that may run; others follow it
    KNOWN = auto()  # the outcome of a run


class KeyEvent(IntEnum):
    """What happens to a key."""

    TRY = 0
    FULL_TRY = auto()  # a new key while the table is full
    CROWDED_TRY = auto()  # one follower too many
    OUTCOME = auto()
    NEVER_RAN = auto()
    OWNER_LEFT = auto()  # before it ran, with followers waiting
    LAST_LEFT = auto()  # before it ran, nobody waits
    EXPIRE = auto()


class KeyAction(IntEnum):
    """What follows."""

    OWN = 0
    FOLLOW = auto()
    ANSWER = auto()  # with the known outcome
    TURN_AWAY = auto()  # no room: refused, with a time to come back
    FAIL = auto()  # nothing can be promised: failed
    SHARE = auto()
    PROMOTE = auto()
    DROP = auto()


KEY_TABLE = TransitionTable(
    "key",
    KeyState,
    KeyEvent,
    {
        (KeyState.FREE, KeyEvent.TRY): Transition(KeyState.OWNED, (KeyAction.OWN,)),
        (KeyState.FREE, KeyEvent.FULL_TRY): Transition(KeyState.FREE, (KeyAction.TURN_AWAY,)),
        (KeyState.OWNED, KeyEvent.TRY): Transition(KeyState.OWNED, (KeyAction.FOLLOW,)),
        (KeyState.OWNED, KeyEvent.CROWDED_TRY): Transition(KeyState.OWNED, (KeyAction.FAIL,)),
        (KeyState.OWNED, KeyEvent.OUTCOME): Transition(KeyState.KNOWN, (KeyAction.SHARE,)),
        (KeyState.OWNED, KeyEvent.NEVER_RAN): Transition(KeyState.FREE, (KeyAction.SHARE, KeyAction.DROP)),
        (KeyState.OWNED, KeyEvent.OWNER_LEFT): Transition(KeyState.OWNED, (KeyAction.PROMOTE,)),
        (KeyState.OWNED, KeyEvent.LAST_LEFT): Transition(KeyState.FREE, (KeyAction.DROP,)),
        (KeyState.KNOWN, KeyEvent.TRY): Transition(KeyState.KNOWN, (KeyAction.ANSWER,)),
        (KeyState.KNOWN, KeyEvent.EXPIRE): Transition(KeyState.FREE, (KeyAction.DROP,)),
    },
)

KeyId = tuple[int, str]  # class and key


@dataclass(slots=True)
class KeyEntry:
    """One key."""

    state: int
    owner: Exchange | None
    followers: list[Exchange] = field(default_factory=list)
    outcome: Answer | None = None


class IdempotencyKeyTable:
    """The table of keys.

    `capacity` bounds it, `key_ms` counts from the outcome, `max_followers` bounds the retries that wait for one run.
    """

    def __init__(self, most: int, key_ms: float, followers: int, result_bytes: int) -> None:
        self.capacity, self.key_ms, self.max_followers, self.max_result_bytes = most, key_ms, followers, result_bytes
        self.entries: dict[KeyId, KeyEntry] = {}
        self.expiry: deque[tuple[float, KeyId]] = deque()
        self.awaiting_handover = False  # for the keys of a process before this one: no new key is taken meanwhile

    def register(self, exchange: Exchange) -> tuple[KeyAction, Answer | None]:
        """What a new try of this key becomes: OWN, FOLLOW, ANSWER (with it), TURN_AWAY or FAIL."""
        slot = (exchange.class_index, exchange.key)
        entry = self.entries.get(slot)
        if entry is None:
            # Guards against a flood of keys: none is forgotten early.
            # Guards against a second run beside an old process: no key is taken before its keys came.
            event = KeyEvent.FULL_TRY if self.awaiting_handover or len(self.entries) >= self.capacity else KeyEvent.TRY
            row = KEY_TABLE.step(KeyState.FREE, event, exchange.key)
            if row.next_state == KeyState.OWNED:
                self.entries[slot] = KeyEntry(KeyState.OWNED, exchange)
            return row.effects[0], None
        crowded = entry.state == KeyState.OWNED and len(entry.followers) >= self.max_followers
        row = KEY_TABLE.step(entry.state, KeyEvent.CROWDED_TRY if crowded else KeyEvent.TRY, exchange.key)
        if row.effects[0] == KeyAction.FOLLOW:
            entry.followers.append(exchange)
        return row.effects[0], entry.outcome

    def record_outcome(self, exchange: Exchange, answer: Answer, ran: bool, now: float) -> list[Exchange]:
        """Its owner is over: the tries that share the answer. What never ran frees the key."""
        slot = (exchange.class_index, exchange.key)
        entry = self.entries.get(slot)
        if entry is None or entry.owner is not exchange:
            return []
        row = KEY_TABLE.step(entry.state, KeyEvent.OUTCOME if ran else KeyEvent.NEVER_RAN, exchange.key)
        sharing, entry.followers = entry.followers, []
        entry.state, entry.owner = row.next_state, None
        if row.next_state == KeyState.FREE:
            del self.entries[slot]
        else:
            # Guards memory: long results are not remembered, a late repeat of those is failed.
            entry.outcome = answer if len(answer.body) <= self.max_result_bytes else Answer(AnswerKind.FAILED)
            self.expiry.append((now + self.key_ms, slot))
        return sharing

    def remove_attempt(self, exchange: Exchange) -> Exchange | None:
        """A try left before it ran. The follower that takes its place, if it was the owner and one waits."""
        slot = (exchange.class_index, exchange.key)
        entry = self.entries.get(slot)
        if entry is None:
            return None
        if entry.owner is not exchange:
            entry.followers = [one for one in entry.followers if one is not exchange]
            return None
        row = KEY_TABLE.step(entry.state, KeyEvent.OWNER_LEFT if entry.followers else KeyEvent.LAST_LEFT, exchange.key)
        entry.state = row.next_state
        if row.next_state == KeyState.FREE:
            del self.entries[slot]
            return None
        entry.owner = entry.followers.pop(0)
        return entry.owner

    def owns(self, exchange: Exchange) -> bool:
        """Whether this try is the one that stands for its key."""
        entry = self.entries.get((exchange.class_index, exchange.key))
        return entry is not None and entry.owner is exchange

    def known_outcomes(self) -> list[tuple[KeyId, Answer, float]]:
        """Keys with their outcomes and when they lapse, oldest first: what a successor must not run again."""
        return [
            (slot, entry.outcome, at)
            for at, slot in self.expiry
            if (entry := self.entries.get(slot)) is not None and entry.outcome is not None
        ]

    def import_outcome(self, slot: KeyId, outcome: Answer, lapses_at: float) -> None:
        """A key whose outcome an earlier process knew. Taken in the order they lapse, before any key of its own."""
        if slot not in self.entries and len(self.entries) < self.capacity:
            self.entries[slot] = KeyEntry(KeyState.KNOWN, None, [], outcome)
            self.expiry.append((lapses_at, slot))

    def expire(self, now: float) -> None:
        """Forget outcomes whose time is over."""
        while self.expiry and self.expiry[0][0] <= now:
            slot = self.expiry.popleft()[1]
            if KEY_TABLE.step(self.entries[slot].state, KeyEvent.EXPIRE, slot[1]).next_state == KeyState.FREE:
                del self.entries[slot]
