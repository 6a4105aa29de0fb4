"""Idempotency keys: the tries that one key links, so that a repeat of a started order never starts again."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, auto

from myrtlespar.exchange import Answer, Exchange, Kind
from myrtlespar.state_machines.transition_table import Row, Table


class Key(IntEnum):
    """What a key stands for."""

    FREE = 0
    OWNED = auto()  # by a try that may run; others follow it
    KNOWN = auto()  # the outcome of a run


class At(IntEnum):
    """What happens to a key."""

    TRY = 0
    FULL_TRY = auto()  # a new key while the table is full
    CROWDED_TRY = auto()  # one follower too many
    OUTCOME = auto()
    NEVER_RAN = auto()
    OWNER_LEFT = auto()  # before it ran, with followers waiting
    LAST_LEFT = auto()  # before it ran, nobody waits
    EXPIRE = auto()


class Then(IntEnum):
    """What follows."""

    OWN = 0
    FOLLOW = auto()
    ANSWER = auto()  # with the known outcome
    TURN_AWAY = auto()  # no room: refused, with a time to come back
    FAIL = auto()  # nothing can be promised: failed
    SHARE = auto()
    PROMOTE = auto()
    DROP = auto()


KEY = Table("key", Key, At, {
    (Key.FREE, At.TRY): Row(Key.OWNED, (Then.OWN,)),
    (Key.FREE, At.FULL_TRY): Row(Key.FREE, (Then.TURN_AWAY,)),
    (Key.OWNED, At.TRY): Row(Key.OWNED, (Then.FOLLOW,)),
    (Key.OWNED, At.CROWDED_TRY): Row(Key.OWNED, (Then.FAIL,)),
    (Key.OWNED, At.OUTCOME): Row(Key.KNOWN, (Then.SHARE,)),
    (Key.OWNED, At.NEVER_RAN): Row(Key.FREE, (Then.SHARE, Then.DROP)),
    (Key.OWNED, At.OWNER_LEFT): Row(Key.OWNED, (Then.PROMOTE,)),
    (Key.OWNED, At.LAST_LEFT): Row(Key.FREE, (Then.DROP,)),
    (Key.KNOWN, At.TRY): Row(Key.KNOWN, (Then.ANSWER,)),
    (Key.KNOWN, At.EXPIRE): Row(Key.FREE, (Then.DROP,)),
})

Slot = tuple[int, str]  # class and key


@dataclass(slots=True)
class Entry:
    """One key."""

    state: int
    owner: Exchange | None
    followers: list[Exchange] = field(default_factory=list)
    outcome: Answer | None = None


class Keys:
    """The table of keys. `most` bounds it, `key_ms` counts from the outcome, `followers` bounds repeats waiting."""

    def __init__(self, most: int, key_ms: float, followers: int, result_bytes: int) -> None:
        self.most, self.key_ms, self.followers, self.result_bytes = most, key_ms, followers, result_bytes
        self.entries: dict[Slot, Entry] = {}
        self.expiry: deque[tuple[float, Slot]] = deque()
        self.waiting = False  # for the keys of a process before this one: no new key is taken meanwhile

    def arrive(self, x: Exchange) -> tuple[Then, Answer | None]:
        """What a new try of this key becomes: OWN, FOLLOW, ANSWER (with it), TURN_AWAY or FAIL."""
        slot = (x.cls, x.key)
        entry = self.entries.get(slot)
        if entry is None:
            # Guards against a flood of keys: none is forgotten early.
            # Guards against a second run beside an old process: no key is taken before its keys came.
            event = At.FULL_TRY if self.waiting or len(self.entries) >= self.most else At.TRY
            row = KEY.step(Key.FREE, event, x.key)
            if row.next == Key.OWNED:
                self.entries[slot] = Entry(Key.OWNED, x)
            return row.effects[0], None
        crowded = entry.state == Key.OWNED and len(entry.followers) >= self.followers
        row = KEY.step(entry.state, At.CROWDED_TRY if crowded else At.TRY, x.key)
        if row.effects[0] == Then.FOLLOW:
            entry.followers.append(x)
        return row.effects[0], entry.outcome

    def conclude(self, x: Exchange, answer: Answer, ran: bool, now: float) -> list[Exchange]:
        """Its owner is over: the tries that share the answer. What never ran frees the key."""
        slot = (x.cls, x.key)
        entry = self.entries.get(slot)
        if entry is None or entry.owner is not x:
            return []
        row = KEY.step(entry.state, At.OUTCOME if ran else At.NEVER_RAN, x.key)
        sharing, entry.followers = entry.followers, []
        entry.state, entry.owner = row.next, None
        if row.next == Key.FREE:
            del self.entries[slot]
        else:
            # Guards memory: long results are not remembered, a late repeat of those is failed.
            entry.outcome = answer if len(answer.body) <= self.result_bytes else Answer(Kind.FAILED)
            self.expiry.append((now + self.key_ms, slot))
        return sharing

    def leave(self, x: Exchange) -> Exchange | None:
        """A try left before it ran. The follower that takes its place, if it was the owner and one waits."""
        slot = (x.cls, x.key)
        entry = self.entries.get(slot)
        if entry is None:
            return None
        if entry.owner is not x:
            entry.followers = [one for one in entry.followers if one is not x]
            return None
        row = KEY.step(entry.state, At.OWNER_LEFT if entry.followers else At.LAST_LEFT, x.key)
        entry.state = row.next
        if row.next == Key.FREE:
            del self.entries[slot]
            return None
        entry.owner = entry.followers.pop(0)
        return entry.owner

    def owns(self, x: Exchange) -> bool:
        """Whether this try is the one that stands for its key."""
        entry = self.entries.get((x.cls, x.key))
        return entry is not None and entry.owner is x

    def known(self) -> list[tuple[Slot, Answer, float]]:
        """Keys with their outcomes and when they lapse, oldest first: what a successor must not run again."""
        return [(slot, entry.outcome, at) for at, slot in self.expiry
                if (entry := self.entries.get(slot)) is not None and entry.outcome is not None]

    def take(self, slot: Slot, outcome: Answer, lapses_at: float) -> None:
        """A key whose outcome an earlier process knew. Taken in the order they lapse, before any key of its own."""
        if slot not in self.entries and len(self.entries) < self.most:
            self.entries[slot] = Entry(Key.KNOWN, None, [], outcome)
            self.expiry.append((lapses_at, slot))

    def expire(self, now: float) -> None:
        """Forget outcomes whose time is over."""
        while self.expiry and self.expiry[0][0] <= now:
            slot = self.expiry.popleft()[1]
            if KEY.step(self.entries[slot].state, At.EXPIRE, slot[1]).next == Key.FREE:
                del self.entries[slot]
