"""Implements `myrtlespar check`: runs explorations, prints their results, and saves and replays counter-examples."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import yaml

from myrtlespar.errors import MyrtlesparError
from myrtlespar.model_checker import process_pair
from myrtlespar.model_checker.enabled_events import enabled_events
from myrtlespar.model_checker.events import EVENTS, begin, show
from myrtlespar.model_checker.explore import Bounds, ExplorationResult, UsedTransitions, explore, limit_steps, step
from myrtlespar.model_checker.invariants import RULES, TransitionCoverage, unused_transitions
from myrtlespar.model_checker.mutants import MUTATIONS
from myrtlespar.model_checker.scenarios import ALL, QUICK
from myrtlespar.model_checker.state_decoding import unpack
from myrtlespar.model_checker.state_encoding import deserialize, serialize
from myrtlespar.model_checker.world import Event

MAX_PATH_EVENTS = 15  # longest acceptable counter-example of a mutation

# Exit statuses of the command.
ALL_HOLD = 0
RULE_BROKEN = 1
FAULTY_INPUT = 2
NO_VERDICT = 3  # a bound stopped an exploration before all states were visited


class FaultyReplayError(MyrtlesparError):
    """A saved counter-example can't be read or replayed; the message names the place in one line."""


def explore_all(names: list[str], bounds: Bounds, jobs: int, folder: Path | None, show_progress: bool) -> int:
    """Explore scenarios one after the other, print a line for each, and return the exit status.

    If all small scenarios are among them, every row of every transition table must have been used.

    Args:
        names: The names of the scenarios; `twins` is the exploration of two processes.
        bounds: The bounds of each exploration.
        jobs: The number of worker processes.
        folder: The folder in which counter-examples are saved; None if they are not saved.
        show_progress: Whether to print progress to standard error.

    Returns:
        The exit status.
    """
    used_transitions: UsedTransitions = set()
    status = ALL_HOLD

    def progress(so_far: ExplorationResult) -> None:
        """Print how far the exploration has come, and its speed, to standard error."""
        rate = so_far.states / max(0.001, so_far.seconds)
        print(f"  {so_far.scenario}: {so_far.states:,} states, depth {so_far.depth}, {rate:,.0f}/s", file=sys.stderr)

    if "twins" in names:
        names.remove("twins")
        status = process_pair.print_result(process_pair.explore())
    for name in names:
        result = explore(ALL[name], bounds, jobs, progress if show_progress else None)
        used_transitions |= result.used_transitions
        print_summary(result)
        if result.violations:
            print_counter_example(result)
            if folder is not None:
                save(result, folder / f"{name}.yaml")
            status = RULE_BROKEN
        elif not result.complete:
            print(f"  stopped by {result.stopped_by}: no rule is broken in the explored states, the others are unknown")
            status = status or NO_VERDICT
    if set(QUICK) <= set(names) and status == ALL_HOLD:
        status = report_unused_transitions(used_transitions)
    return status


def print_summary(result: ExplorationResult) -> None:
    """Print the result of one exploration in one line."""
    verdict = "holds" if result.complete and not result.violations else "fell" if result.violations else "no verdict"
    print(
        f"{result.scenario:10} {result.states:>10,} states {result.steps:>11,} steps  depth {result.depth:>3} "
        f"{result.seconds:7.1f} s  {verdict}",
        flush=True,
    )


def report_unused_transitions(used_transitions: UsedTransitions) -> int:
    """Print the rows of the transition tables that no exploration used, and return the exit status."""
    never_used = unused_transitions(used_transitions)
    for row in never_used:
        print(f"row never used: {row}")
    print(f"rows of all tables used: {len(used_transitions):,}, never used: {len(never_used)}")
    return RULE_BROKEN if never_used else ALL_HOLD


def print_counter_example(result: ExplorationResult) -> None:
    """Print the broken rules, and the events of the counter-example with the state after each."""
    for rule in result.violations:
        print(f"  fell: {rule}: {RULES[rule]}")
    for line in describe_path(result.scenario, result.path):
        print(f"  {line}")


def describe_path(name: str, path: list[Event]) -> list[str]:
    """Return one line for each event of a path in the scenario `name`, with the event's number and the state after it.

    Raises:
        FaultyReplayError: An event is not possible in the state before it.
    """
    limit_steps()
    scenario = ALL[name]
    coverage = TransitionCoverage()
    packed = deserialize(serialize(begin(scenario)))
    lines: list[str] = []
    for number, event in enumerate(path, 1):
        if event not in enabled_events(unpack(scenario, packed)):
            raise FaultyReplayError(f"event {number}: {show(event)!r} is not possible in the state before it")
        world, violations = step(scenario, packed, event, coverage)
        lines.append(f"{number:3} {show(event):28} {world.describe()}{''.join(f'  ! {rule}' for rule in violations)}")
        packed = deserialize(serialize(world))
    return lines


def save(result: ExplorationResult, path: Path, mutation: str = "") -> None:
    """Save a counter-example as YAML. The keys of the file are a stored format and must not change."""
    path.parent.mkdir(parents=True, exist_ok=True)
    rows: dict[str, Any] = {
        "scenario": result.scenario,
        "fell": result.violations,
        "events": [list(e) for e in result.path],
    }
    path.write_text(yaml.safe_dump({**rows, "plant": mutation} if mutation else rows, sort_keys=False))


def read(path: Path) -> tuple[str, list[Event], str]:
    """Read a saved counter-example.

    Returns:
        The name of the scenario, the events, and the name of the mutation, which is empty if there is none.

    Raises:
        FaultyReplayError: The file can't be read, or a key has an invalid value.
    """
    try:
        rows = yaml.safe_load(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise FaultyReplayError(f"{path}: can't be read: {error}") from None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        raise FaultyReplayError(f"{path}: line {mark.line + 1 if mark else '?'}: not YAML") from None
    if not isinstance(rows, dict) or rows.get("scenario") not in ALL:
        raise FaultyReplayError(f"{path}: scenario: unknown or missing name; expected one of {', '.join(ALL)}")
    events = rows.get("events")
    if not isinstance(events, list) or not events:
        raise FaultyReplayError(f"{path}: events: expected a list of at least one event")
    for number, event in enumerate(events, 1):
        if not isinstance(event, list) or not event or event[0] not in EVENTS:
            raise FaultyReplayError(f"{path}: event {number}: no such event: expected [name, ...], got {event!r}"[:200])
    mutation = rows.get("plant", "")
    if mutation and mutation not in MUTATIONS:
        raise FaultyReplayError(f"{path}: plant: no planted bug named {mutation!r}")
    return str(rows["scenario"]), [tuple(event) for event in events], str(mutation)


def replay(path: Path, real: bool, mutation: str) -> int:
    """Replay a counter-example in the explorer, or on the real program, and return the exit status.

    Args:
        path: The saved counter-example.
        real: Whether to replay it on the real program.
        mutation: The name of the mutation to replay it with; empty for none.
    """
    try:
        scenario, events, _ = read(path)
        if mutation and mutation not in MUTATIONS:
            raise FaultyReplayError(f"--plant: no planted bug named {mutation!r}")
        if real:
            from myrtlespar.model_checker.replay_on_process import play

            replayed = play(ALL[scenario], events, mutation)
            for line in replayed.lines:
                print(line)
            for rule in replayed.violations:
                print(f"fell: {rule}: {RULES[rule]}")
            return RULE_BROKEN if replayed.violations else ALL_HOLD
        if mutation:  # needs a new process, as the unchanged state machines are already loaded in this one
            module = "myrtlespar.model_checker.mutation_testing"
            return subprocess.run(
                [sys.executable, "-m", module, mutation, "--replay", str(path)], check=False
            ).returncode
        lines = describe_path(scenario, events)
    except FaultyReplayError as error:
        print(f"myrtlespar: {error}", file=sys.stderr)
        return FAULTY_INPUT
    print("\n".join(lines))
    return RULE_BROKEN if any("  ! " in line for line in lines) else ALL_HOLD


def find_all_mutations(jobs: int, seconds: float, folder: Path | None) -> int:
    """Search for every mutation, each in its own process, and return the exit status.

    A mutation that is not found shows a gap in the rules or scenarios of the model checker.
    """

    def find_mutation(name: str) -> tuple[str, str]:
        """Run the search for one mutation, and return its name and the line that the search printed."""
        command_line = [
            sys.executable,
            "-m",
            "myrtlespar.model_checker.mutation_testing",
            name,
            "--seconds",
            str(seconds),
        ]
        if folder is not None:
            command_line += ["--save", str(folder)]
        done = subprocess.run(command_line, capture_output=True, text=True, check=False)
        return name, done.stdout.strip() or f"no result: {done.stderr.strip()[-300:]}"

    found = 0
    with ThreadPoolExecutor(jobs) as pool:
        for name, text in pool.map(find_mutation, MUTATIONS):
            good = text.startswith("found")
            found += good
            print(f"{name:36} {text}", flush=True)
    print(f"{found} of {len(MUTATIONS)} planted bugs found")
    return ALL_HOLD if found == len(MUTATIONS) else RULE_BROKEN
