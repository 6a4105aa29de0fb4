"""The judge of fleet limits: it counts what the kernels ran, not what the program says."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from myrtlespar.quota.settings import CountedUnit, GrantSettings, Limit

SLACK_PART = 0.3  # at most this part of a window is left out for the way from the decision to the kernel
Run = tuple[bytes, float, float]  # body, begin, end (infinity: it still runs)


def judge_limits(
    limits: Mapping[str, Limit],
    runs: Iterable[Run],
    terms: GrantSettings,
    begin: float,
    end: float,
    slack_ms: float,
    sites: Mapping[bytes, str],
) -> tuple[list[str], dict[str, Any]]:
    """Promise: in any window W, started <= limit + `terms.over(limit)`; runs in hand at any time likewise. Windows
    are judged `slack_ms` short. Times are Unix ms; `sites` tells where a body ran. Broken lines, and figures.
    """
    rows = sorted(runs, key=lambda run: run[1])
    broken: list[str] = []
    figures: dict[str, Any] = {}
    for name, limit in limits.items():
        parts: dict[str, list[Run]] = {}
        for run in rows:
            if limit.cls and not run[0].startswith(limit.cls.encode() + b" "):
                continue
            parts.setdefault(_part(limit, run[0], sites), []).append(run)
        most, where, at = 0, "", 0.0
        for part, some in parts.items():
            if limit.counted_unit is CountedUnit.BUDGET:
                found = _spent(limit, some, slack_ms)
            else:
                found = _rate(limit, some, slack_ms) if limit.counted_unit is CountedUnit.RATE else _hand(some)
            if found[0] > most:
                most, where, at = found[0], part, found[1]
        allowed = limit.amount + terms.max_excess(limit)
        started = sum(len(some) for some in parts.values())
        span = max(1.0, (end - begin) / limit.window_ms)
        figures[name] = {"limit": limit.amount, "most": most, "ratio": round(most / allowed, 3), "started": started}
        if limit.counted_unit is CountedUnit.RATE and not limit.by:
            figures[name]["use"] = round(started / span / limit.amount, 3)
        if limit.kind.value != "advisory" and most > allowed:
            broken.append(
                f"limits: {most} of {name}{'/' + where if where else ''} within a window, {allowed} allowed, "
                f"at {(at - begin) / 1000:.2f} s"
            )
    return broken, figures


def _part(limit: Limit, body: bytes, sites: Mapping[bytes, str]) -> str:
    if limit.by == "peer":
        return next((word[2:].decode() for word in body.split() if word.startswith(b"p=")), "")
    return sites.get(body, "") if limit.by == "site" else ""


def _rate(limit: Limit, runs: list[Run], slack_ms: float) -> tuple[int, float]:
    """The most starts in a window, and when it ends."""
    span = limit.window_ms - min(slack_ms, SLACK_PART * limit.window_ms)
    first, most, at = 0, 0, 0.0
    for n, (_, begin, _) in enumerate(runs):
        while runs[first][1] <= begin - span:
            first += 1
        if n - first + 1 > most:
            most, at = n - first + 1, begin
    return most, at


def _spent(limit: Limit, runs: list[Run], slack_ms: float) -> tuple[int, float]:
    """The most starts in a period, and when its last was. One that begins within the slack behind a period's begin may
    have been decided in the one before: it counts in neither.
    """
    count: dict[int, int] = {}
    most, at = 0, 0.0
    for _, begin, _ in runs:
        number, into = divmod(begin, limit.period_ms)
        if into >= slack_ms:
            count[int(number)] = count.get(int(number), 0) + 1
            if count[int(number)] > most:
                most, at = count[int(number)], begin
    return most, at


def _hand(runs: list[Run]) -> tuple[int, float]:
    """The most runs at once, and when. One that ends as another begins has ended."""
    events = sorted([(begin, 1) for _, begin, _ in runs] + [(end, -1) for _, _, end in runs])
    now, most, at = 0, 0, 0.0
    for when, step in events:
        now += step
        if now > most:
            most, at = now, when
    return most, at
