"""Plays a fault script on a complete fleet of real processes, checks the promises and prints the result."""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from myrtlespar.fleet_tests.ground_truth import FaultAction, GroundTruth
from myrtlespar.fleet_tests.invariants import SLACK_MS, InvariantReport, check_membership
from myrtlespar.fleet_tests.limit_invariants import check_limits
from myrtlespar.fleet_tests.load_generator import LoadGenerator, LoadRequest
from myrtlespar.fleet_tests.member_process import MemberProcess
from myrtlespar.fleet_tests.observations import Observation
from myrtlespar.fleet_tests.order_invariants import check_orders
from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.script_model import Script, ScriptStep
from myrtlespar.fleet_tests.start_times import report_broken_limits
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.quota.settings import GrantSettings

HIDDEN_KEYS = ("observations", "views")  # keys of a result whose values are too long for the printed line
SIGNALS = {  # by kind of step: the signal, and the kind of action that is recorded
    "pause": (signal.SIGSTOP, "pause"),
    "resume": (signal.SIGCONT, "resume"),
    "leave": (signal.SIGTERM, "left"),
}


@dataclass(slots=True)
class PlayedScript:
    """A finished run of a script, to be checked. `begin` is in Unix ms, `length_ms` the duration."""

    run: FleetRun
    load: LoadGenerator
    requests: list[LoadRequest]
    begin: float
    length_ms: float
    views: dict[str, dict[str, Any] | None]  # by member, at the end of the script
    proxy_counts: dict[str, Any]


def play(
    script: Script,
    seed: int,
    keep: Path | None = None,
    report_progress: Callable[[str], Any] = print,
    slack_ms: float = SLACK_MS,
    **options: Any,
) -> dict[str, Any]:
    """Play a script and check its promises.

    Args:
        script: The fault script.
        seed: The seed of all random choices.
        keep: The folder to keep logs and files in; None: they are deleted.
        report_progress: Called with a line for each step.
        slack_ms: Added to each bound.
        **options: Further arguments of FleetRun.

    Returns:
        The figures of the run; `broken` holds a line for each broken promise.
    """
    settings = MembershipSettings(**options.get("membership") or {})
    with ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        run = FleetRun(script, seed, folder, **options)
        stack.callback(run.close)
        try:
            run.start()
        except (AssertionError, RuntimeError) as error:
            return {
                **figures(InvariantReport(), settings, len(script.members)),
                "broken": [f"start: {error}"],
                "judged": [],
            }
        return _check(_play_steps(run, report_progress), settings, slack_ms)


def apply_step(run: FleetRun, step: ScriptStep) -> None:
    """Carry out one step of a script."""
    if step.kind == "rule_on":
        assert step.rule is not None
        run.fault_proxy.on(step.number, step.rule)
        run.record(step.kind, "", step.number, step.rule)
    elif step.kind == "rule_off":
        # Recorded before the proxy removes the rule, as members may notice the effect at once.
        run.record(step.kind, "", step.number, step.rule)
        run.fault_proxy.off(step.number)
    elif step.kind == "lose":
        run.lose_members(step.names, step.number)
    elif step.kind == "back":
        run.return_members(step.number)
    else:
        for name in step.names:
            _apply_to_member(run, run.members[name], step.kind)


def _apply_to_member(run: FleetRun, member: MemberProcess, kind: str) -> None:
    if kind == "kill":
        run.kill(member)
    elif kind == "start":
        if not member.is_running:
            run.restart(member)
    elif kind in SIGNALS:
        run.signal(member, *SIGNALS[kind])
    else:
        run.replace(member)


def describe_step(step: ScriptStep) -> str:
    """Return a short description of a step."""
    if step.rule is None:
        return f"{step.kind} {' '.join(step.names)}"
    rule = step.rule
    arrow = "->" if rule.one_way else "<->"
    what = "cut" if rule.cut else f"drop {rule.drop:g}, {rule.delay_ms:g}+{rule.jitter_ms:g} ms"
    return (
        f"{'begin' if step.kind == 'rule_on' else 'end'} {what}: {' '.join(sorted(rule.first))} {arrow} "
        f"{' '.join(sorted(rule.second))}"
    )


def percentile(values: list[float], share: float) -> float | None:
    """Return the value below which this share of the values lies, or None if there are no values."""
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))], 1) if values else None


def figures(report: InvariantReport, settings: MembershipSettings, member_count: int) -> dict[str, Any]:
    """Return the membership figures of a result."""
    rows: dict[str, Any] = {}
    for name, values in (
        ("detect", report.detect_ms),
        ("known", report.known_ms),
        ("restart", report.restart_ms),
        ("standing", report.standing_ms),
    ):
        rows[f"{name}_ms"] = {
            "count": len(values),
            "median": percentile(values, 0.5),
            "p99": percentile(values, 0.99),
            "worst": percentile(values, 1.0),
        }
    return {
        **rows,
        "false_failures": report.false_failures,
        "checked": report.checked,
        "bounds_ms": {
            "detect": round(settings.detect_ms(member_count)),
            "standing": round(settings.standing_ms(member_count)),
            "heal": round(settings.heal_ms(member_count)),
            "pause": round(settings.pause_ms()),
        },
    }


def print_result(result: dict[str, Any], seed: int, result_file: Path | None) -> int:
    """Print the broken promises, and the figures as one JSON line, which is also written to `result_file` if given.

    Returns:
        The exit status: 0 if every promise held, else 1.
    """
    for line in result["broken"]:
        print(f"BROKEN {line}")
    shown = {key: value for key, value in result.items() if key not in HIDDEN_KEYS}
    line = json.dumps({"seed": seed, **shown})
    if result_file is not None:
        result_file.write_text(line + "\n")
    print(line)
    sys.stdout.flush()
    return int(bool(result["broken"]))


def _play_steps(run: FleetRun, report_progress: Callable[[str], Any]) -> PlayedScript:
    script = run.script
    load = LoadGenerator(run)
    if script.load.rate:
        load.start()
    began = time.monotonic()
    begin = time.time() * 1000
    report_progress(f"{len(run.members)} members serve and know each other; the script starts")
    for step in script.steps:
        if step.at_ms <= script.length_ms:
            _sleep_until(began + step.at_ms / 1000)
            apply_step(run, step)
            report_progress(f"{step.at_ms / 1000:7.2f} s  {describe_step(step)}")
    _sleep_until(began + script.length_ms / 1000)
    length_ms = time.time() * 1000 - begin
    asked = [name for name, member in run.members.items() if member.is_running and not member.is_paused]
    views = {name: run.view(name) for name in asked}
    requests = load.finish() if script.load.rate else []
    return PlayedScript(run, load, requests, begin, length_ms, views, run.fault_proxy.ask(stats=True))


def _sleep_until(monotonic_s: float) -> None:
    time.sleep(max(0.0, monotonic_s - time.monotonic()))


def _check(played: PlayedScript, settings: MembershipSettings, slack_ms: float) -> dict[str, Any]:
    """Check the promises that the script lists, and return the result of the run."""
    run = played.run
    script = run.script
    actions, observations = _relative_to_begin(played)
    report = InvariantReport()
    if "members" in script.checks:
        truth = GroundTruth(script.members, actions, played.length_ms, settings.pause_ms())
        report = check_membership(truth, observations, settings, script.sites, (), slack_ms)
    broken_limits, limits = _check_runs(played, slack_ms)
    broken_orders: list[str] = []
    outcomes: dict[str, int] = {}
    if "orders" in script.checks:
        broken_orders, outcomes = check_orders(run, played.load, played.requests)
    attempts = sum(request.attempts for request in played.requests)
    return {
        **figures(report, settings, len(script.members)),
        "broken": [*run.unplayed, *report.broken, *broken_limits, *broken_orders],
        **({"limits": limits} if limits else {}),
        "replaced": run.replaced,
        "judged": list(script.checks),
        "outcomes": outcomes,
        "fabric": {key: value for key, value in played.proxy_counts.items() if key != "done"},
        "hashes": len({view["hash"] for view in played.views.values() if view}),
        "observations": observations,
        "views": played.views,
        "tries": round(attempts / max(1, len(played.requests)), 3),
    }


def _relative_to_begin(played: PlayedScript) -> tuple[list[FaultAction], list[Observation]]:
    """Return actions and observations with times from the start of the script."""
    return (
        [replace(action, at=action.at - played.begin) for action in played.run.actions],
        [replace(observation, at=observation.at - played.begin) for observation in played.run.observations],
    )


def _check_runs(played: PlayedScript, slack_ms: float) -> tuple[list[str], dict[str, Any]]:
    """Check fleet limits against the runs of all engines, if the script requests it."""
    run = played.run
    script = run.script
    if not script.limits or "limits" not in script.checks:
        return [], {}
    runs = []
    sites = {}
    for member in run.members.values():
        member_runs = member.runs()
        runs += member_runs
        sites.update(dict.fromkeys((body for body, _, _ in member_runs), script.site_of(member.name)))
    end = played.begin + played.length_ms
    broken, limits = check_limits(script.limits, runs, GrantSettings(**run.grants), played.begin, end, slack_ms, sites)
    if broken:
        kept = report_broken_limits(script.limits, limits, run, played.begin)
        broken.append(f"limits: logs and times of the starts are in {kept}")
    return broken, limits
