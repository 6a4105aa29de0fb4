"""Mutations of membership: small changes that the explorer must find, each with the plan that reveals it."""

from __future__ import annotations

from myrtlespar.model_checker.mutants import Mutation


def _mutation(name: str, module: str, old: str, new: str, plan: str = "single") -> Mutation:
    return Mutation(name, f"myrtlespar.membership.{module}", old, new, plan)


MUTATIONS = {
    mutation.name: mutation
    for mutation in (
        _mutation(
            "a doubled packet is taken",
            "view",
            "if behind >= REPLAY_WINDOW or self.received_packets >> behind & 1:",
            "if behind >= REPLAY_WINDOW:",
        ),
        _mutation(
            "a packet of an old life is taken",
            "view",
            "return False\n            self.packet_incarnation = ",
            "return True\n            self.packet_incarnation = ",
            "double",
        ),
        _mutation(
            "boots are not compared",
            "update_merger",
            "if update.precedence > known.precedence:\n",
            "if update.precedence[1:] > known.precedence[1:]:\n",
        ),
        _mutation(
            "refuted with the same counter",
            "self_state",
            "update.incarnation, update.refutation + 1, ALIVE)",
            "update.incarnation, update.refutation, ALIVE)",
        ),
        _mutation(
            "a failure is not refuted",
            "self_state",
            "if self.leaving or update.precedence <= self.update.precedence:",
            "if self.leaving or update.precedence <= self.update.precedence or update.state == FAILED:",
        ),
        _mutation(
            "an older life's packets count",
            "self_state",
            "self._set(now, update.incarnation + 1, 0, ALIVE)",
            "self._set(now, update.incarnation, update.refutation + 1, ALIVE)",
            "double",
        ),
        _mutation("a majority of half", "quorum", "if 2 * present > total:", "if 2 * present >= total - 1:"),
        _mutation(
            "a goodbye is not told to standings",
            "update_merger",
            "self.quorum.set_present(update.name, state in PRESENT_STATES, now)",
            "self.quorum.set_present(update.name, state != FAILED, now)",
        ),
        _mutation(
            "a suspicion without an end",
            "suspicion",
            "self.timers.put(suspicion.deadline, TimerKind.SUSPICION_TIMEOUT, name)",
            "pass",
        ),
        _mutation(
            "nobody looks for the lost",
            "peer_search",
            "for name in self.view.failed.sample(self.random, 1):",
            "for name in ():",
        ),
        _mutation(
            "the word of one cut off is taken",
            "update_merger",
            "if update.state == FAILED and entry.present:",
            "if False:",
            "deaf",
        ),
        _mutation(
            "late turns blame others", "member", "if late_ms <= self.settings.late_ms:", "if late_ms <= 1e9:", "late"
        ),
        _mutation(
            "old waits are moved after waking",
            "member",
            "        self._check_lateness(now)\n        sender = packet.sender",
            "        sender = packet.sender",
            "double",
        ),
        _mutation(
            "a name lost from the pool",
            "sampled_set",
            "self._names[index] = last\n            self._index[last] = index",
            "self._names[index] = last",
            "double",
        ),
        _mutation(
            "one's old life stays in the hash",
            "view",
            "self.hash ^= entry_hash(self.self_id, self.own_precedence)",
            "pass",
        ),
        _mutation(
            "help is not passed on",
            "probe_rounds",
            "        if probe.requester:\n            self.outbox.send(now, probe.requester, Ack(",
            "        if False:\n            self.outbox.send(now, probe.requester, Ack(",
        ),
        _mutation("news without an end", "dissemination", "if entry.times_sent >= max_times_sent:", "if False:"),
        _mutation("a whole view is not read", "member", "for update in sync.updates:", "for update in ():", "double"),
        _mutation(
            "a goodbye is kept secret",
            "self_state",
            "self._set(now, self.update.incarnation, self.update.refutation, LEFT)",
            "self._set(now, self.update.incarnation, self.update.refutation, ALIVE)",
        ),
        _mutation("health never recovers", "probing", "self.health = max(0, self.health - 1)", "self.health += 0"),
    )
}
