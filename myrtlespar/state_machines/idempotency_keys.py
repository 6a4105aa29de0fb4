"""Idempotency keys, which link the attempts of one request so that a retry never starts it a second time.

The first attempt owns its key and may run. Attempts with the same key that arrive before its end follow it and share
its answer; later ones get the cached outcome.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, auto
from itertools import islice

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class KeyState(IntEnum):
    """The state of an idempotency key."""

    FREE = 0
    OWNED = auto()  # owned by an attempt that may run; further attempts follow it
    KNOWN = auto()  # the outcome of a run is cached
    AWAITED = auto()  # an earlier process may have run the request; attempts follow until its keys have arrived


class KeyEvent(IntEnum):
    """What happens to an idempotency key."""

    TRY = 0  # an attempt arrives
    FULL_TRY = auto()  # an attempt arrives with a new key that the table does not accept; see `register`
    CROWDED_TRY = auto()  # an attempt arrives, and the key has the maximum number of followers; see `register`
    OUTCOME = auto()  # the owner ran
    NEVER_RAN = auto()  # the owner ended and certainly did not run
    OWNER_LEFT = auto()  # the owner left before it ran, and followers wait
    LAST_LEFT = auto()  # the owner left before it ran, and no follower waits
    EXPIRE = auto()  # the outcome has been cached for `key_ms`
    UNSURE_TRY = auto()  # an attempt arrives with a new key that may be among the keys of an earlier process
    IMPORT = auto()  # the keys of the earlier process have arrived, with the outcome of this one
    NOT_IMPORTED = auto()  # the keys of the earlier process have arrived without this one
    HANDOVER_LOST = auto()  # the earlier process has ended without its keys, and they have expired


class KeyAction(IntEnum):
    """The effects of a transition."""

    OWN = 0  # the attempt becomes the owner
    FOLLOW = auto()  # the attempt follows the owner, or waits for the keys of an earlier process
    ANSWER = auto()  # answer the attempt with the cached outcome
    TURN_AWAY = auto()  # reject the attempt with Retry-After, as the table has no capacity
    FAIL = auto()  # fail the attempt, as its outcome can't be known
    SHARE = auto()  # give the followers the same answer
    PROMOTE = auto()  # the first follower becomes the owner
    DROP = auto()  # remove the key from the table


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
        (KeyState.FREE, KeyEvent.UNSURE_TRY): Transition(KeyState.AWAITED, (KeyAction.FOLLOW,)),
        (KeyState.FREE, KeyEvent.CROWDED_TRY): Transition(KeyState.FREE, (KeyAction.FAIL,)),
        (KeyState.AWAITED, KeyEvent.TRY): Transition(KeyState.AWAITED, (KeyAction.FOLLOW,)),
        (KeyState.AWAITED, KeyEvent.CROWDED_TRY): Transition(KeyState.AWAITED, (KeyAction.FAIL,)),
        (KeyState.AWAITED, KeyEvent.IMPORT): Transition(KeyState.KNOWN, (KeyAction.SHARE,)),
        (KeyState.AWAITED, KeyEvent.NOT_IMPORTED): Transition(KeyState.OWNED, (KeyAction.PROMOTE,)),
        (KeyState.AWAITED, KeyEvent.HANDOVER_LOST): Transition(KeyState.FREE, (KeyAction.SHARE, KeyAction.DROP)),
        (KeyState.AWAITED, KeyEvent.LAST_LEFT): Transition(KeyState.FREE, (KeyAction.DROP,)),
        (KeyState.KNOWN, KeyEvent.TRY): Transition(KeyState.KNOWN, (KeyAction.ANSWER,)),
        (KeyState.KNOWN, KeyEvent.EXPIRE): Transition(KeyState.FREE, (KeyAction.DROP,)),
    },
)

MAX_OTHER_IDS = 4  # further keys of one request
KeyId = tuple[int, str]  # request class and idempotency key
KnownOutcome = tuple[KeyId, Answer, float]  # a key, the outcome of its request, and when the key expires


@dataclass(slots=True)
class KeyEntry:
    """One idempotency key in use: its owner, the followers in order of arrival, and the outcome once it is known.

    `other_ids` are further keys of the same request.
    """

    state: int
    owner: Exchange | None
    followers: list[Exchange] = field(default_factory=list)
    outcome: Answer | None = None
    other_ids: list[KeyId] = field(default_factory=list)


class IdempotencyKeyTable:
    """All idempotency keys in use.

    Args:
        capacity: The maximum number of keys.
        key_ms: How long an outcome is cached, in milliseconds.
        max_followers: The maximum number of retries that wait for one run.
        max_result_bytes: Longer answers are not cached.
        max_awaited: The maximum number of keys with attempts that wait for the keys of an earlier process.
    """

    def __init__(
        self, capacity: int, key_ms: float, max_followers: int, max_result_bytes: int, max_awaited: int = 256
    ) -> None:
        self.capacity = capacity
        self.key_ms = key_ms
        self.max_followers = max_followers
        self.max_result_bytes = max_result_bytes
        self.max_awaited = max_awaited
        self.entries: dict[KeyId, KeyEntry] = {}
        self.main_ids: dict[KeyId, KeyId] = {}  # by each further key of a request, the one under which its entry is
        self.expiry: deque[tuple[float, KeyId]] = deque()  # times in Unix milliseconds, earliest first
        self.expired_count = 0  # outcomes removed from `expiry`
        # Whether the keys of an earlier process are awaited. While they are, no attempt with a new key may run.
        self.awaiting_handover = False
        self._awaited_count = 0  # keys in the state AWAITED
        # Whether outcomes stay in the table when they expire. That is so while a replacement waits for the keys, as it
        # may hold an attempt that arrived before the key expired.
        self.keeps_expired = False

    def register(self, exchange: Exchange) -> tuple[KeyAction, Answer | None]:
        """Register a new attempt.

        The key of the attempt becomes the one under which its request is known, if that is its other key.

        Returns:
            OWN, FOLLOW, TURN_AWAY, FAIL or ANSWER, and for ANSWER the cached outcome.
        """
        is_linked = self._link_keys(exchange)
        key_id = (exchange.class_index, exchange.key)
        entry = self.entries.get(key_id)
        if entry is None:
            transition = KEY_TABLE.step(KeyState.FREE, self._event_of_new_key(exchange), exchange.key)
            if transition.next_state == KeyState.OWNED:
                self.entries[key_id] = KeyEntry(KeyState.OWNED, exchange)
            elif transition.next_state == KeyState.AWAITED:
                self.entries[key_id] = KeyEntry(KeyState.AWAITED, None, [exchange])
                self._awaited_count += 1
            if transition.next_state != KeyState.FREE and exchange.other_key:
                self._add_other_id(key_id, (exchange.class_index, exchange.other_key))
            return transition.effects[0], None
        crowded = entry.state != KeyState.KNOWN and (not is_linked or len(entry.followers) >= self.max_followers)
        transition = KEY_TABLE.step(entry.state, KeyEvent.CROWDED_TRY if crowded else KeyEvent.TRY, exchange.key)
        if transition.effects[0] == KeyAction.FOLLOW:
            entry.followers.append(exchange)
        return transition.effects[0], entry.outcome

    def _link_keys(self, exchange: Exchange) -> bool:
        """Replace the key of an attempt by the one under which its request is known, and link its other key to it.

        Returns:
            False if its two keys belong to different requests, so that it must not run for either of them.
        """
        class_index = exchange.class_index
        key_id = self.main_ids.get((class_index, exchange.key), (class_index, exchange.key))
        if exchange.other_key:
            other_id = self.main_ids.get((class_index, exchange.other_key), (class_index, exchange.other_key))
            entry = self.entries.get(key_id)
            other = self.entries.get(other_id)
            if entry is not None and other is not None and entry is not other:
                exchange.key = (other_id if other.state == KeyState.KNOWN else key_id)[1]
                return False
            if other is not None:
                key_id, other_id = other_id, key_id
            exchange.other_key = other_id[1] if other_id != key_id else ""
            if (entry or other) is not None and other_id != key_id:
                self._add_other_id(key_id, other_id)
        exchange.key = key_id[1]
        return True

    def _add_other_id(self, key_id: KeyId, other_id: KeyId) -> None:
        """Make the entry of a key known under a further one, as long as it has few of these."""
        other_ids = self.entries[key_id].other_ids
        if other_id not in self.main_ids and len(other_ids) < MAX_OTHER_IDS:
            self.main_ids[other_id] = key_id
            other_ids.append(other_id)

    def _remove_entry(self, key_id: KeyId) -> None:
        for other_id in self.entries.pop(key_id).other_ids:
            del self.main_ids[other_id]

    def _event_of_new_key(self, exchange: Exchange) -> KeyEvent:
        """Return the event for an attempt whose key is not in the table.

        While the keys of an earlier process are still to come, the key might be among them: the request would run a
        second time, and must not be rejected if it may have run. A full table rejects new keys, so that a flood of
        them makes no key expire early.
        """
        if not self.awaiting_handover:
            return KeyEvent.FULL_TRY if len(self.entries) >= self.capacity else KeyEvent.TRY
        if not exchange.may_have_run:
            return KeyEvent.FULL_TRY
        return KeyEvent.CROWDED_TRY if self._awaited_count >= self.max_awaited else KeyEvent.UNSURE_TRY

    def record_outcome(self, exchange: Exchange, answer: Answer, ran: bool, now: float) -> list[Exchange]:
        """Record the end of a key's owner, and return the followers that share its answer.

        If it never ran, the key is free again. An attempt that is not the owner of its key changes nothing.
        """
        key_id = (exchange.class_index, exchange.key)
        entry = self.entries.get(key_id)
        if entry is None or entry.owner is not exchange:
            return []
        transition = KEY_TABLE.step(entry.state, KeyEvent.OUTCOME if ran else KeyEvent.NEVER_RAN, exchange.key)
        followers = entry.followers
        entry.followers = []
        entry.state = transition.next_state
        entry.owner = None
        if transition.next_state == KeyState.FREE:
            self._remove_entry(key_id)
        else:
            # Long results are not cached, to bound memory; a late retry of such a request fails.
            entry.outcome = answer if answer.may_be_kept(self.max_result_bytes) else Answer(AnswerKind.FAILED)
            self.expiry.append((now + self.key_ms, key_id))
        return followers

    def remove_attempt(self, exchange: Exchange) -> Exchange | None:
        """Remove an attempt that ended before it ran.

        Returns the follower that becomes the owner of the key, if the attempt was the owner and a follower waits.
        """
        key_id = (exchange.class_index, exchange.key)
        entry = self.entries.get(key_id)
        if entry is None:
            return None
        if entry.owner is not exchange:
            entry.followers = [follower for follower in entry.followers if follower is not exchange]
            if entry.state == KeyState.AWAITED and not entry.followers:
                KEY_TABLE.step(entry.state, KeyEvent.LAST_LEFT, exchange.key)
                self._remove_entry(key_id)
                self._awaited_count -= 1
            return None
        event = KeyEvent.OWNER_LEFT if entry.followers else KeyEvent.LAST_LEFT
        transition = KEY_TABLE.step(entry.state, event, exchange.key)
        entry.state = transition.next_state
        if transition.next_state == KeyState.FREE:
            self._remove_entry(key_id)
            return None
        return _promote_first_follower(entry)

    def owns(self, exchange: Exchange) -> bool:
        """Return whether this attempt owns its key."""
        entry = self.entries.get((exchange.class_index, exchange.key))
        return entry is not None and entry.owner is exchange

    def ids_of(self, exchange: Exchange) -> list[KeyId]:
        """Return all keys of the request whose key this attempt owns; none if it owns no key."""
        key_id = (exchange.class_index, exchange.key)
        return [key_id, *self.entries[key_id].other_ids] if self.owns(exchange) else []

    @property
    def outcome_count(self) -> int:
        """How many outcomes were recorded or imported so far, those that have expired included."""
        return self.expired_count + len(self.expiry)

    def known_outcomes(self, position: int = 0) -> list[KnownOutcome]:
        """Return the keys whose requests a replacement must not run again, from this position on, by expiry time."""
        return self.outcomes_from(position, len(self.expiry))[0]

    def outcomes_from(self, position: int, max_count: int) -> tuple[list[KnownOutcome], int]:
        """Return the next known outcomes, and the position of the one after them.

        Args:
            position: Where to begin; each outcome has a position in the order in which they became known, from 0 on.
            max_count: How many to return at most.
        """
        first = max(position, self.expired_count)
        start = first - self.expired_count
        expiry = list(islice(self.expiry, start, start + max_count))
        outcomes = [
            (id, entry.outcome, expires_at)
            for expires_at, key_id in expiry
            if (entry := self.entries.get(key_id)) is not None and entry.outcome is not None
            for id in (key_id, *entry.other_ids)
        ]
        return outcomes, first + len(expiry)

    def import_outcome(self, key_id: KeyId, outcome: Answer, expires_at: float) -> list[Exchange]:
        """Import a key from an earlier process. Call in order of expiry, before any new key is registered.

        A key that is known here, or for which the table has no capacity, is left out.

        Returns:
            The attempts that waited for this outcome.
        """
        key_id = self.main_ids.get(key_id, key_id)
        entry = self.entries.get(key_id)
        followers: list[Exchange] = []
        if entry is None:
            if len(self.entries) - self._awaited_count >= self.capacity:
                return []
            self.entries[key_id] = KeyEntry(KeyState.KNOWN, None, [], outcome)
        elif entry.state == KeyState.AWAITED:
            entry.state = KEY_TABLE.step(entry.state, KeyEvent.IMPORT, key_id[1]).next_state
            entry.outcome = outcome
            followers, entry.followers = entry.followers, followers
            self._awaited_count -= 1
        else:
            return []
        self.expiry.append((expires_at, key_id))
        return followers

    def admit_awaited(self) -> list[Exchange]:
        """Accept new keys, as all those of the earlier process have been imported.

        Returns:
            The attempts that now own a key for which they waited.
        """
        owners = []
        for key_id, entry in self._end_wait():
            entry.state = KEY_TABLE.step(entry.state, KeyEvent.NOT_IMPORTED, key_id[1]).next_state
            owners.append(_promote_first_follower(entry))
        return owners

    def drop_awaited(self) -> list[Exchange]:
        """Accept new keys, as those of the earlier process are lost and have expired.

        Returns:
            The attempts that waited for them, which may have run and have to fail.
        """
        attempts = []
        for key_id, entry in self._end_wait():
            KEY_TABLE.step(entry.state, KeyEvent.HANDOVER_LOST, key_id[1])
            attempts += entry.followers
            self._remove_entry(key_id)
        return attempts

    def _end_wait(self) -> list[tuple[KeyId, KeyEntry]]:
        """Accept new keys from now on, and return the keys for which attempts have waited until now."""
        self.awaiting_handover = False
        self._awaited_count = 0
        return [(key_id, entry) for key_id, entry in self.entries.items() if entry.state == KeyState.AWAITED]

    def expire(self, now: float) -> None:
        """Remove the outcomes that have been cached for `key_ms`."""
        if self.keeps_expired:
            return
        while self.expiry and self.expiry[0][0] <= now:
            key_id = self.expiry.popleft()[1]
            self.expired_count += 1
            if KEY_TABLE.step(self.entries[key_id].state, KeyEvent.EXPIRE, key_id[1]).next_state == KeyState.FREE:
                self._remove_entry(key_id)


def _promote_first_follower(entry: KeyEntry) -> Exchange:
    """Make the first follower of a key its owner, and return it."""
    entry.owner = entry.followers.pop(0)
    return entry.owner
