"""Plays one script on a whole fleet of real processes, judges it, and prints what came of it."""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from myrtlespar.fleet_tests.ground_truth import FaultAction, GroundTruth
from myrtlespar.fleet_tests.invariants import SLACK_MS, InvariantReport, check_membership
from myrtlespar.fleet_tests.limit_invariants import check_limits
from myrtlespar.fleet_tests.load_generator import LoadGenerator, check_orders
from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.script import Script, ScriptStep
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.quota.settings import GrantSettings


def apply_step(run: FleetRun, step: ScriptStep) -> None:
    """Carry one step out."""
    if step.rule is not None:
        if step.kind == "rule_on":
            run.fault_proxy.on(step.number, step.rule)
            return run.record(step.kind, "", step.number, step.rule)
        run.record(step.kind, "", step.number, step.rule)  # before it is so: what heals is believed at once
        return run.fault_proxy.off(step.number)
    if step.kind == "lose":
        return run.lose_members(step.names, step.number)
    if step.kind == "back":
        return run.return_members(step.number)
    for name in step.names:
        member = run.members[name]
        if step.kind == "kill":
            run.kill(member)
        elif step.kind == "start":
            if not member.is_running:
                run.restart(member)
        elif step.kind == "pause":
            run.signal(member, signal.SIGSTOP, "pause")
        elif step.kind == "resume":
            run.signal(member, signal.SIGCONT, "resume")
        elif step.kind == "leave":
            run.signal(member, signal.SIGTERM, "left")
        else:
            run.replace(member)
    return None


def percentile(values: list[float], share: float) -> float | None:
    """The value below which that share lies."""
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))], 1) if values else None


def figures(verdict: InvariantReport, terms: MembershipSettings, n: int) -> dict[str, Any]:
    """What a run's last line tells of membership."""
    rows: dict[str, Any] = {}
    for name, values in (
        ("detect", verdict.detect_ms),
        ("known", verdict.known_ms),
        ("restart", verdict.restart_ms),
        ("standing", verdict.standing_ms),
    ):
        rows[f"{name}_ms"] = {
            "count": len(values),
            "median": percentile(values, 0.5),
            "p99": percentile(values, 0.99),
            "worst": percentile(values, 1.0),
        }
    return {
        **rows,
        "false_failures": verdict.false_failures,
        "checked": verdict.checked,
        "bounds_ms": {
            "detect": round(terms.detect_ms(n)),
            "standing": round(terms.standing_ms(n)),
            "heal": round(terms.heal_ms(n)),
            "pause": round(terms.pause_ms()),
        },
    }


def shifted(run: FleetRun, begin: float) -> tuple[list[FaultAction], list[Any]]:
    """Deeds and beliefs with the run's begin as time 0."""
    return (
        [replace(deed, at=deed.at - begin) for deed in run.actions],
        [replace(belief, at=belief.at - begin) for belief in run.observations],
    )


def play(
    script: Script, seed: int, keep: Path | None = None, say: Any = print, slack_ms: float = SLACK_MS, **more: Any
) -> dict[str, Any]:
    """Run it and judge it, each bound longer by `slack_ms`: the figures, with `broken` the lines of broken promises.
    `more` goes to the fleet.
    """
    terms = MembershipSettings(**more.get("membership") or {})
    with tempfile.TemporaryDirectory() as tmp:
        folder = keep or Path(tmp)
        folder.mkdir(parents=True, exist_ok=True)
        run = FleetRun(script, seed, folder, **more)
        try:
            try:
                run.start()
            except (AssertionError, RuntimeError) as error:
                return {
                    **figures(InvariantReport(), terms, len(script.members)),
                    "broken": [f"start: {error}"],
                    "judged": [],
                }
            crowd = LoadGenerator(run)
            if script.load.rate:
                crowd.begin()
            began, begin = time.monotonic(), time.time() * 1000
            say(f"{len(run.members)} members serve, all views whole; the script begins")
            for step in script.steps:
                if step.at_ms <= script.length_ms:
                    time.sleep(max(0.0, began + step.at_ms / 1000 - time.monotonic()))
                    apply_step(run, step)
                    say(f"{step.at_ms / 1000:7.2f} s  {describe_step(step)}")
            time.sleep(max(0.0, began + script.length_ms / 1000 - time.monotonic()))
            end = time.time() * 1000 - begin
            views = {name: run.view(name) for name, member in run.members.items() if member.is_running and not member.is_paused}
            requests = crowd.finish() if script.load.rate else []
            stats = run.fault_proxy.ask(stats=True)
            deeds, beliefs = shifted(run, begin)
            verdict = InvariantReport()
            if "members" in script.checks:
                truth = GroundTruth(script.members, deeds, end, terms.pause_ms())
                verdict = check_membership(truth, beliefs, terms, script.sites, (), slack_ms)
            over, limits = judge_runs(run, script, begin, end, slack_ms)
            orders, outcomes = check_orders(run, crowd, requests) if "orders" in script.checks else ([], {})
            return {
                **figures(verdict, terms, len(script.members)),
                "broken": [*run.unplayed, *verdict.broken, *over, *orders],
                **({"limits": limits} if limits else {}),
                "replaced": run.replaced,
                "judged": list(script.checks),
                "outcomes": outcomes,
                "fabric": {key: value for key, value in stats.items() if key != "done"},
                "hashes": len({view["hash"] for view in views.values() if view}),
                "beliefs": beliefs,
                "views": views,
                "tries": round(sum(r.tries for r in requests) / max(1, len(requests)), 3),
            }
        finally:
            run.close()


def judge_runs(
    run: FleetRun, script: Script, begin: float, end: float, slack_ms: float
) -> tuple[list[str], dict[str, Any]]:
    """Fleet limits against what all kernels ran, if the script asks for it."""
    if not script.limits or "limits" not in script.checks:
        return [], {}
    runs, sites = [], {}
    for member in run.members.values():
        for kernel in member.engines:
            for body, at, ended in list(kernel.runs):
                runs.append((body, at, float("inf") if ended is None else ended))
                sites[body] = script.site_of(member.name)
    return check_limits(script.limits, runs, GrantSettings(**run.grants), begin, begin + end, slack_ms, sites)


def describe_step(step: ScriptStep) -> str:
    """A step in a few words."""
    if step.rule is None:
        return f"{step.kind} {' '.join(step.names)}"
    rule = step.rule
    arrow = "->" if rule.one_way else "<->"
    what = "cut" if rule.cut else f"drop {rule.drop:g}, {rule.delay_ms:g}+{rule.jitter_ms:g} ms"
    return (
        f"{'begin' if step.kind == 'rule_on' else 'end'} {what}: {' '.join(sorted(rule.first))} {arrow} "
        f"{' '.join(sorted(rule.second))}"
    )


def print_result(result: dict[str, Any], seed: int, keep: Path | None) -> int:
    """Print broken promises and the one JSON line; the exit status."""
    for line in result["broken"]:
        print(f"BROKEN {line}")
    shown = {key: value for key, value in result.items() if key not in ("beliefs", "views")}
    line = json.dumps({"seed": seed, **shown})
    if keep is not None:
        keep.write_text(line + "\n")
    print(line)
    sys.stdout.flush()
    return int(bool(result["broken"]))
