"""The promises of fleet limits, checked against what the fake engines ran, not against what the program says."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from myrtlespar.quota.settings import CountedUnit, GrantSettings, Limit, LimitKind

MAX_SLACK_PART = 0.3  # at most this part of a window is left out for the way from the decision to the engine
Run = tuple[bytes, float, float]  # body, begin, end (infinity: it still runs)


@dataclass(frozen=True, slots=True)
class Peak:
    """The highest count that was found, and when."""

    count: int
    at: float


def check_limits(
    limits: Mapping[str, Limit],
    runs: Iterable[Run],
    settings: GrantSettings,
    begin: float,
    end: float,
    slack_ms: float,
    sites: Mapping[bytes, str],
) -> tuple[list[str], dict[str, Any]]:
    """Promise: in any window, started <= limit + `settings.max_excess(limit)`; runs in flight at any time likewise.

    Args:
        limits: The fleet's limits by name.
        runs: What all fake engines ran. Times are Unix ms.
        settings: From which the allowed excess follows.
        begin: Start of the run; only figures and messages depend on it.
        end: Its end, likewise.
        slack_ms: Windows are checked this much shorter, as a run starts some time after its admission.
        sites: The site at which each body ran.

    Returns:
        A line for each limit that was exceeded, and figures by limit.
    """
    ordered = sorted(runs, key=lambda run: run[1])
    broken: list[str] = []
    figures: dict[str, Any] = {}
    for name, limit in limits.items():
        parts = _runs_by_part(limit, ordered, sites)
        part, peak = _highest(limit, parts, slack_ms)
        allowed = limit.amount + settings.max_excess(limit)
        started = sum(len(part_runs) for part_runs in parts.values())
        figures[name] = {
            "limit": limit.amount,
            "most": peak.count,
            "ratio": round(peak.count / allowed, 3),
            "started": started,
            "most_at": peak.at,
        }
        if limit.counted_unit is CountedUnit.RATE and not limit.by:
            windows = max(1.0, (end - begin) / limit.window_ms)
            figures[name]["use"] = round(started / windows / limit.amount, 3)
        if limit.kind is not LimitKind.ADVISORY and peak.count > allowed:
            broken.append(
                f"limits: {peak.count} of {name}{'/' + part if part else ''} within a window, {allowed} allowed, "
                f"at {(peak.at - begin) / 1000:.2f} s"
            )
    return broken, figures


def _runs_by_part(limit: Limit, runs: Iterable[Run], sites: Mapping[bytes, str]) -> dict[str, list[Run]]:
    """The runs that a limit counts, by what it counts separately: callers, sites, or all together."""
    parts: dict[str, list[Run]] = {}
    for run in runs:
        if not limit.cls or run[0].startswith(limit.cls.encode() + b" "):
            parts.setdefault(_part(limit, run[0], sites), []).append(run)
    return parts


def _part(limit: Limit, body: bytes, sites: Mapping[bytes, str]) -> str:
    if limit.by == "peer":
        return next((word[2:].decode() for word in body.split() if word.startswith(b"p=")), "")
    return sites.get(body, "") if limit.by == "site" else ""


def _highest(limit: Limit, parts: Mapping[str, list[Run]], slack_ms: float) -> tuple[str, Peak]:
    """The part with the highest peak."""
    highest_part = ""
    highest = Peak(0, 0.0)
    for part, runs in parts.items():
        if limit.counted_unit is CountedUnit.BUDGET:
            peak = _budget_peak(limit, runs, slack_ms)
        elif limit.counted_unit is CountedUnit.RATE:
            peak = _rate_peak(limit, runs, slack_ms)
        else:
            peak = _concurrency_peak(runs)
        if peak.count > highest.count:
            highest_part = part
            highest = peak
    return highest_part, highest


def _rate_peak(limit: Limit, runs: list[Run], slack_ms: float) -> Peak:
    """The most starts in a window, and when it ends."""
    window = limit.window_ms - min(slack_ms, MAX_SLACK_PART * limit.window_ms)
    peak = Peak(0, 0.0)
    first = 0
    for index, (_, begin, _) in enumerate(runs):
        while runs[first][1] <= begin - window:
            first += 1
        if index - first + 1 > peak.count:
            peak = Peak(index - first + 1, begin)
    return peak


def _budget_peak(limit: Limit, runs: list[Run], slack_ms: float) -> Peak:
    """The most starts in a period, and when its last was.

    A run that starts within `slack_ms` after a period began may have been admitted in the period before: it counts in
    neither.
    """
    counts: Counter[int] = Counter()
    peak = Peak(0, 0.0)
    for _, begin, _ in runs:
        period, into_period = divmod(begin, limit.period_ms)
        if into_period >= slack_ms:
            counts[int(period)] += 1
            if counts[int(period)] > peak.count:
                peak = Peak(counts[int(period)], begin)
    return peak


def _concurrency_peak(runs: list[Run]) -> Peak:
    """The most runs at once, and when. One that ends as another begins has ended."""
    events = sorted([(begin, 1) for _, begin, _ in runs] + [(end, -1) for _, _, end in runs])
    running = 0
    peak = Peak(0, 0.0)
    for at, change in events:
        running += change
        if running > peak.count:
            peak = Peak(running, at)
    return peak
