"""The invariants of fleet limits, checked against the runs of the fake engines, not the reports of the program."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from myrtlespar.quota.settings import CountedUnit, GrantSettings, Limit, LimitKind

MAX_SLACK_PART = 0.3  # windows are shortened by at most this share for the delay from the decision to the engine
Run = tuple[bytes, float, float]  # body, start, end in Unix ms; the end of a run in progress is infinite


@dataclass(frozen=True, slots=True)
class Peak:
    """The highest count and its time in Unix ms."""

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
    """Check that no limit was exceeded by more than `settings.max_excess(limit)`.

    The starts in any window are counted, or, for a limit on concurrency, the runs in progress at any time.

    Args:
        limits: The fleet's limits by name.
        runs: The runs of all fake engines.
        settings: The settings from which the allowed excess is computed.
        begin: Start of the test run in Unix ms; only figures and messages depend on it.
        end: End of the test run in Unix ms, used likewise.
        slack_ms: Windows are shortened by this time, as a run starts some time after its admission.
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
    """Return the runs that a limit applies to, by caller, by site or under one empty key, as the limit counts them."""
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
    """Return the caller or site with the highest peak, and that peak."""
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
    """Return the highest number of starts in a window, and the end of that window."""
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
    """Return the highest number of starts in a period, and the time of the last of them.

    A run that starts within `slack_ms` after the beginning of a period may have been admitted in the previous one, so
    it is counted in neither.
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
    """Return the highest number of runs in progress at once, and its time.

    A run that ends at the time at which another begins does not overlap it.
    """
    events = sorted([(begin, 1) for _, begin, _ in runs] + [(end, -1) for _, _, end in runs])
    running = 0
    peak = Peak(0, 0.0)
    for at, change in events:
        running += change
        if running > peak.count:
            peak = Peak(running, at)
    return peak
