"""Planted bugs of membership: one-line changes that the explorer must find, each with the plan that shows it."""

from __future__ import annotations

from myrtlespar.model_checker.mutants import Plant


def _plant(name: str, module: str, old: str, new: str, plan: str = "single") -> Plant:
    return Plant(name, f"myrtlespar.membership.{module}", old, new, plan)


PLANTS = {
    one.name: one
    for one in (
        _plant(
            "a doubled packet is taken", "view", "if back >= WINDOW or self.seen >> back & 1:", "if back >= WINDOW:"
        ),
        _plant(
            "a packet of an old life is taken",
            "view",
            "return False\n            self.boot, self.top, self.seen = ",
            "return True\n            self.boot, self.top, self.seen = ",
            "double",
        ),
        _plant(
            "boots are not compared",
            "member",
            "elif rumour.key > entry.rumour.key:\n",
            "elif rumour.key[1:] > entry.rumour.key[1:]:\n",
        ),
        _plant(
            "refuted with the same counter",
            "member",
            "rumour.boot, rumour.counter + 1, ALIVE)",
            "rumour.boot, rumour.counter, ALIVE)",
        ),
        _plant(
            "a failure is not refuted",
            "member",
            "if self.leaving or rumour.key <= self.me.key:",
            "if self.leaving or rumour.key <= self.me.key or rumour.state == FAILED:",
        ),
        _plant(
            "an older life's packets count",
            "member",
            "self._set_me(now, rumour.boot + 1, 0, ALIVE)",
            "self._set_me(now, rumour.boot, rumour.counter + 1, ALIVE)",
            "double",
        ),
        _plant("a majority of half", "quorum", "if 2 * present > total:", "if 2 * present >= total - 1:"),
        _plant(
            "a goodbye is not told to standings",
            "member",
            "self.standings.tell(name, state in HERE, now)",
            "self.standings.tell(name, state != FAILED, now)",
        ),
        _plant(
            "a suspicion without an end",
            "member",
            "self.timers.put(suspicion.deadline, 'suspect', name)\n\n",
            "pass\n\n",
        ),
        _plant(
            "nobody looks for the lost", "member", "for name in self.view.gone.some(self.dice, 1):", "for name in ():"
        ),
        _plant(
            "the word of one cut off is taken",
            "member",
            "if rumour.state == FAILED and entry.here:",
            "if False:",
            "deaf",
        ),
        _plant("late turns blame others", "member", "if late <= self.terms.late_ms:", "if late <= 1e9:", "late"),
        _plant(
            "old waits are moved after waking",
            "member",
            "        self._doubt_self(now)\n        sender = packet.me",
            "        sender = packet.me",
            "double",
        ),
        _plant(
            "a name lost from the pool",
            "view",
            "self._names[at], self._at[last] = (last, at)",
            "self._names[at] = last",
            "double",
        ),
        _plant("one's old life stays in the hash", "view", "self.hash ^= stamp(self.me, self.own)", "pass"),
        _plant(
            "help is not passed on",
            "probe_rounds",
            "                if probe.origin:\n                    return self.voice",
            "                if False:\n                    return self.voice",
        ),
        _plant("news without an end", "dissemination", "if entry.times >= most:", "if False:"),
        _plant("a whole view is not read", "member", "for rumour in sync.entries:", "for rumour in ():", "double"),
        _plant(
            "a goodbye is kept secret",
            "member",
            "self._set_me(now, self.me.boot, self.me.counter, LEFT)",
            "self._set_me(now, self.me.boot, self.me.counter, ALIVE)",
        ),
        _plant("health never recovers", "probing", "self.health = max(0, self.health - 1)", "self.health += 0"),
    )
}
