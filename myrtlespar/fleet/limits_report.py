"""Reports about the fleet's limits in one process: the answer to the LIMITS command, and lines for METRICS.

The JSON keys and metric names are a public interface and differ from the names in the code: `keeper` is a shard's
leader, `range` a shard, `standing` the guaranteed share, and `refused` means rejected.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from myrtlespar.fleet.limits_port import Rejection
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.shards import shard_of

if TYPE_CHECKING:
    from myrtlespar.fleet.limits_driver import LimitsDriver


def limits_line(driver: LimitsDriver) -> bytes:
    """Return the answer to LIMITS: one line of JSON with ages and times in ms."""
    coordinator = driver.coordinator
    if coordinator is None:
        return b'{"waiting": true}\n'
    now = driver.now()
    port = driver.port
    shard_rows = _led_shard_rows(coordinator, now)
    report = {
        "name": driver.settings.name,
        "version": coordinator.version,
        "settled": coordinator.grant_holder.settled,
        "engine_ms": _engine_answer_age_ms(driver, now),
        "behind": coordinator.outdated_voters() if shard_rows else None,
        "waiting": len(port.admission_queue.waiting) if port.admission_queue is not None else 0,
        "repeats_left": None if port.retry_budget is None else round(port.retry_budget.remaining, 1),
        "budgets": _budget_rows(coordinator),
        "keys": _key_rows(coordinator, now),
        "keeps": shard_rows,
        "admitted": port.admitted,
        "refused": port.rejected,
        "why": {name: _rejection_row(rejection) for name, rejection in port.last_rejections.items()},
        "counts": {name: count for name, count in driver.counters.report().items() if name.startswith("limits.")},
    }
    return json.dumps(report).encode() + b"\n"


def metrics_lines(driver: LimitsDriver) -> list[str]:
    """Return lines of Prometheus text with one value per limit, summed over its keys."""
    coordinator = driver.coordinator
    if coordinator is None:
        return []
    sums = _sums_by_limit(driver, coordinator)
    lines = []
    for kind in ("granted", "standing", "used"):
        lines.append(f"# TYPE fleet_limit_{kind} gauge")
        lines += [f'fleet_limit_{kind}{{limit="{name}"}} {row[kind]}' for name, row in sums.items()]
    for kind, counts in (("admitted", driver.port.admitted), ("refused", driver.port.rejected)):
        lines.append(f"# TYPE fleet_limit_{kind}_total counter")
        lines += [f'fleet_limit_{kind}_total{{limit="{name}"}} {counts.get(name, 0)}' for name in sums]
    return lines


def _rejection_row(rejection: Rejection) -> dict[str, Any]:
    return {
        "key": rejection.key,
        "at": rejection.at,
        "allowance": rejection.check.allowance,
        "used": rejection.check.used,
        "granted": rejection.check.granted,
        "keeper": rejection.leader,
        "granted_for_ms": round(rejection.check.grant_remaining_ms),
        "waiting": rejection.waiting,
    }


def _engine_answer_age_ms(driver: LimitsDriver, now: float) -> int | str | None:
    """Return the time in ms since the engine's latest reply, "never" without one; None if no engine is set."""
    if driver.lease_source is None:
        return None
    answered_at = driver.lease_source.answered_at
    return round(now - answered_at) if answered_at > 0 else "never"


def _key_rows(coordinator: LimitCoordinator, now: float) -> list[dict[str, Any]]:
    return [
        {
            "key": key,
            "limit": allowance.limit.amount,
            "kind": allowance.limit.kind.value,
            "of": allowance.limit.counted_unit.value,
            "standing": allowance.guaranteed_share,
            "granted": allowance.granted(now),
            "granted_for_ms": round(max(0.0, allowance.granted_until - now)),
            "used": allowance.usage.in_use(now),
            "keeper": coordinator.leader(key),
            "range": shard_of(key, coordinator.settings.ranges),
        }
        for key, allowance in sorted(coordinator.grant_holder.allowances.items())
    ]


def _led_shard_rows(coordinator: LimitCoordinator, now: float) -> list[dict[str, Any]]:
    """Return one row for each shard that this member leads now."""
    return [
        {
            "range": shard_id,
            "epoch": shard.election.epoch,
            "since_ms": round(now - shard.election.acquired_at),
            "unknown": sorted(shard.ledger.unreported_voters),
            "out": {key: shard.ledger.outstanding(now, key) for key in shard.ledger.grants},
        }
        for shard_id, shard in enumerate(coordinator.shards)
        if shard.ledger is not None and shard.election.holds_lease(now)
    ]


def _budget_rows(coordinator: LimitCoordinator) -> list[dict[str, Any]]:
    return [
        {
            "key": key,
            "period": period,
            "limit": balance.limit.amount,
            "got": balance.drawn_total - balance.returned_total,
            "spent": balance.spent,
            "left": balance.remaining,
            "keeper": coordinator.leader(key),
        }
        for (key, period), balance in sorted(coordinator.budget_account.balances.items())
    ]


def _sums_by_limit(driver: LimitsDriver, coordinator: LimitCoordinator) -> dict[str, dict[str, int]]:
    now = driver.now()
    sums: dict[str, dict[str, int]] = {
        name: {"granted": 0, "standing": 0, "used": 0} for name in driver.settings.limits
    }
    for (key, _), balance in coordinator.budget_account.balances.items():
        row = sums[key.partition("/")[0]]
        row["granted"] += balance.drawn_total - balance.returned_total
        row["used"] += balance.spent
    for key, allowance in coordinator.grant_holder.allowances.items():
        row = sums[key.partition("/")[0]]
        row["granted"] += allowance.granted(now)
        row["standing"] += allowance.guaranteed_share
        row["used"] += allowance.usage.in_use(now)
    return sums
