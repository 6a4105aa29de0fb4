"""Planted bugs of membership: one-line changes that the explorer must find, each with the plan that shows it."""

from __future__ import annotations

from myrtlespar.model_checker.mutants import Mutation


def _mutation(name: str, module: str, old: str, new: str, plan: str = "single") -> Mutation:
    return Mutation(name, f"myrtlespar.membership.{module}", old, new, plan)


MUTATIONS = {
    one.name: one
    for one in (
        _mutation(
            "a doubled packet is taken", "view", "if back >= WINDOW or self.seen >> back & 1:", "if back >= WINDOW:"
        ),
        _mutation(
            "a packet of an old life is taken",
            "view",
            "return False\n            self.boot, self.top, self.seen = ",
            "return True\n            self.boot, self.top, self.seen = ",
            "double",
        ),
        _mutation(
            "boots are not compared",
            "member",
            "if rumour.precedence > entry.update.precedence:\n",
            "if rumour.precedence[1:] > entry.update.precedence[1:]:\n",
        ),
        _mutation(
            "refuted with the same counter",
            "member",
            "rumour.incarnation, rumour.refutation + 1, ALIVE)",
            "rumour.incarnation, rumour.refutation, ALIVE)",
        ),
        _mutation(
            "a failure is not refuted",
            "member",
            "if self.leaving or rumour.precedence <= self.self_update.precedence:",
            "if self.leaving or rumour.precedence <= self.self_update.precedence or rumour.state == FAILED:",
        ),
        _mutation(
            "an older life's packets count",
            "member",
            "self._set_me(now, rumour.incarnation + 1, 0, ALIVE)",
            "self._set_me(now, rumour.incarnation, rumour.refutation + 1, ALIVE)",
            "double",
        ),
        _mutation("a majority of half", "quorum", "if 2 * present > total:", "if 2 * present >= total - 1:"),
        _mutation(
            "a goodbye is not told to standings",
            "member",
            "self.quorum.tell(name, state in HERE, now)",
            "self.quorum.tell(name, state != FAILED, now)",
        ),
        _mutation(
            "a suspicion without an end",
            "member",
            "self.timers.put(suspicion.deadline, 'suspect', name)\n\n",
            "pass\n\n",
        ),
        _mutation(
            "nobody looks for the lost", "member", "for name in self.view.gone.some(self.random, 1):", "for name in ():"
        ),
        _mutation(
            "the word of one cut off is taken",
            "member",
            "if rumour.state == FAILED and entry.here:",
            "if False:",
            "deaf",
        ),
        _mutation("late turns blame others", "member", "if late <= self.settings.late_ms:", "if late <= 1e9:", "late"),
        _mutation(
            "old waits are moved after waking",
            "member",
            "        self._doubt_self(now)\n        sender = packet.sender",
            "        sender = packet.sender",
            "double",
        ),
        _mutation(
            "a name lost from the pool",
            "view",
            "self._names[at], self._at[last] = (last, at)",
            "self._names[at] = last",
            "double",
        ),
        _mutation("one's old life stays in the hash", "view", "self.hash ^= stamp(self.me, self.own)", "pass"),
        _mutation(
            "help is not passed on",
            "probe_rounds",
            "                if probe.origin:\n                    return self.voice",
            "                if False:\n                    return self.voice",
        ),
        _mutation("news without an end", "dissemination", "if entry.times >= most:", "if False:"),
        _mutation("a whole view is not read", "member", "for rumour in sync.updates:", "for rumour in ():", "double"),
        _mutation(
            "a goodbye is kept secret",
            "member",
            "self._set_me(now, self.self_update.incarnation, self.self_update.refutation, LEFT)",
            "self._set_me(now, self.self_update.incarnation, self.self_update.refutation, ALIVE)",
        ),
        _mutation("health never recovers", "probing", "self.health = max(0, self.health - 1)", "self.health += 0"),
    )
}
