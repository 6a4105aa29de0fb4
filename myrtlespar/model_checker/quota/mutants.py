"""Mutations of fleet limits: small changes that the explorer must find, each with the plan that reveals it."""

from __future__ import annotations

from myrtlespar.model_checker.mutants import Mutation


def _mutation(name: str, module: str, old: str, new: str, plan: str = "single") -> Mutation:
    return Mutation(name, f"myrtlespar.quota.{module}", old, new, plan)


MUTATIONS = {
    mutation.name: mutation
    for mutation in (
        _mutation(
            "a lapsed grant is free at once",
            "grant_ledger",
            "free_at += self.settings.safe_wait_ms(limit.linger_ms)",
            "free_at += 0.0",
        ),
        _mutation(
            "a grant is counted short by its keeper",
            "grant_ledger",
            "free_at = now + self.settings.safe_wait_ms(self.settings.grant_ms)",
            "free_at = now + 0.8 * self.settings.grant_ms",
        ),
        _mutation(
            "a grant counts from its answer",
            "grant_holder",
            "granted_until = request.sent_at + self.settings.usable_span_ms(",
            "granted_until = now + self.settings.usable_span_ms(",
        ),
        _mutation(
            "an old answer is taken",
            "grant_holder",
            "if allowance is not None and sequence_number > allowance.acknowledged:",
            "if allowance is not None:",
            "shifts",
        ),
        _mutation(
            "a new keeper does not wait",
            "grant_ledger",
            "and self.unreported_voters and (now < self.predecessor_grants_end(limit)):",
            "and False:",
            "keepers",
        ),
        _mutation(
            "what is held is not told",
            "shard_leadership",
            "tuple(allowances[:MAX_ALLOWANCES_PER_VOTE]), self._versions.version)",
            "(), self._versions.version)",
            "keepers",
        ),
        _mutation(
            "a new life tells that it holds nothing",
            "shard_leadership",
            "len(allowances) <= MAX_ALLOWANCES_PER_VOTE and (not earlier_may_hold),",
            "len(allowances) <= MAX_ALLOWANCES_PER_VOTE,",
            "lives",
        ),
        _mutation(
            "what was held before is not told",
            "key_allowance",
            "largest = max([self.granted(now), *fading])",
            "largest = self.granted(now)",
            "lives",
        ),
        _mutation(
            "a new life uses its share at once",
            "grant_holder",
            "without_share = self.retired or now < self.started_at + "
            "self.settings.guaranteed_share_delay_ms(allowance.limit)",
            "without_share = self.retired",
        ),
        _mutation(
            "a voter promises two",
            "lease",
            "or (now >= promise.expires_at and request.epoch > promise.epoch)",
            "or request.epoch > promise.epoch",
        ),
        _mutation(
            "a new voter is not silent",
            "lease",
            "now if engine else now + settings.safe_wait_ms(settings.lease_ms)",
            "now",
            "voters",
        ),
        _mutation(
            "half the voters are enough",
            "lease",
            "majority = len(self.voters) // 2 + 1",
            "majority = len(self.voters) // 2",
        ),
        _mutation(
            "a lease counts from its answer",
            "lease",
            "self.promised_at[voter] = max(sent_at, self.promised_at.get(voter, sent_at))",
            "self.promised_at[voter] = now",
            "leases",
        ),
        _mutation(
            "a lease is counted long",
            "lease",
            "expires_at = counts_from + self.settings.usable_span_ms(self.settings.lease_ms)",
            "expires_at = counts_from + 1.2 * self.settings.lease_ms",
        ),
        _mutation(
            "no fence",
            "grant_exchange",
            "if response.epoch < self._leadership.lease_voter.promises[response.shard_id].epoch:",
            "if False:",
            "fence",
        ),
        _mutation(
            "what an earlier grant let in is not told",
            "key_allowance",
            "max(0, used - share), peak)",
            "0, peak)",
        ),
        _mutation(
            "others are not counted",
            "grant_ledger",
            "available = pool - others",
            "available = pool",
        ),
        _mutation(
            "an old life's part is free",
            "grant_ledger",
            "for incarnation, other in holders.items() if incarnation != sender)",
            "for incarnation, other in holders.items() if incarnation.name != sender.name)",
        ),
        _mutation(
            "runs in hand are forgotten",
            "grant_ledger",
            "entry.amount = max(entry.amount, demand.in_flight)",
            "pass",
        ),
        _mutation(
            "the greater share is used in a change",
            "settings",
            "return LimitSplit(pool, min(share, previous_share))",
            "return LimitSplit(pool, max(share, previous_share))",
            "changes",
        ),
        _mutation(
            "the lesser share is set aside in a change",
            "settings",
            "limit.amount - max(share, previous_share) * members)",
            "limit.amount - min(share, previous_share) * members)",
            "changes",
        ),
        _mutation(
            "a seat counts from its answer",
            "lease_session",
            "request.sent_at + usable_ms",
            "now + usable_ms",
            "engine",
        ),
        _mutation(
            "the engine's clock is taken for true",
            "lease_session",
            "self.settings.usable_span_ms(self.settings.usable_span_ms(reply.ttl_ms))",
            "1.05 * reply.ttl_ms",
            "engine",
        ),
        _mutation(
            "what is given up is kept until the engine knows",
            "lease_session",
            "            del self.epochs[shard_id]\n",
            "            pass\n",
            "engine",
        ),
        _mutation(
            "what is given up is kept until the answer",
            "shard_leadership",
            "        self._apply_session(now)\n        return request",
            "        return request",
            "engine",
        ),
        _mutation(
            "a new seat grants at once",
            "shard_leadership",
            "shard.ledger = GrantLedger(self.settings, now, self.voters)\n"
            "                self._outbox.count(LimitCounter.LEADERSHIP_BEGAN)\n"
            "                self._request_votes",
            "shard.ledger = GrantLedger(self.settings, now, frozenset())\n"
            "                self._outbox.count(LimitCounter.LEADERSHIP_BEGAN)\n"
            "                self._request_votes",
            "engine",
        ),
        _mutation(
            "a new keeper takes nothing for reserved",
            "budget_allocator",
            "entry.is_known = len(entry.reported_voters) >= self.majority",
            "entry.is_known, entry.reserved, entry.handed_out = True, 0, 0",
            "budgets",
        ),
        _mutation(
            "a reservation counts before it is written",
            "budget_allocator",
            "if len(entry.agreed_voters) >= self.majority:",
            "if entry.agreed_voters:",
            "written",
        ),
        _mutation(
            "an answer adds to what there is",
            "budget_account",
            "balance.drawn_total = max(balance.drawn_total, response.drawn_total)",
            "balance.drawn_total += response.drawn_total",
            "budgets",
        ),
        _mutation(
            "a vault is not written down",
            "budget_exchange",
            "BudgetJournal(persisted_totals)",
            "BudgetJournal()",
            "newer",
        ),
        _mutation(
            "the window is short",
            "usage_windows",
            "self.span_ms = span_ms",
            "self.span_ms = 0.9 * span_ms",
        ),
    )
}
