"""Performs the steps of a fault script on a simulated fleet."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from myrtlespar.fleet_tests.script import ScriptStep
from myrtlespar.simulation.fleet import SimulatedFleet

START_MS = 300.0  # from the start of a process to its first packet
REPLACE_MS = 50.0  # until a second process gets the address of the first


class ScriptPlayer:
    """Schedules steps and performs each at its time."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.fleet = fleet
        self._lost_together: dict[int, list[str]] = {}  # by step number, to be started again together

    def schedule(self, steps: Sequence[ScriptStep], from_ms: float) -> None:
        """Schedule a script's steps; its time 0 is `from_ms`."""
        for step in steps:
            self.fleet.event_loop.at(from_ms + step.at_ms, self._perform, step)

    def _perform(self, step: ScriptStep) -> None:
        if step.rule is not None:
            self._change_rule(step)
            return
        fleet = self.fleet
        names: Sequence[str] = step.names
        if step.kind == "lose":
            self._lost_together[step.number] = [name for name in step.names if fleet.nodes[name].up]
        elif step.kind == "back":
            names = self._lost_together.get(step.number, [])
        actions: dict[str, Callable[[str], None]] = {
            "kill": fleet.down,
            "lose": fleet.down,
            "start": self._restart,
            "back": self._restart,
            "pause": fleet.stop,
            "resume": fleet.resume,
            "leave": fleet.leave,
        }
        action = actions.get(step.kind, self._replace)
        for name in names:
            action(name)

    def _change_rule(self, step: ScriptStep) -> None:
        assert step.rule is not None
        faults = self.fleet.network.faults
        if step.kind == "rule_on":
            faults.add_rule(step.number, step.rule)
        else:
            faults.remove_rule(step.number)
        self.fleet.record(step.kind, "", step.number, step.rule)

    def _restart(self, name: str) -> None:
        if not self.fleet.nodes[name].up:
            self._start_after(START_MS, name)

    def _replace(self, name: str) -> None:
        """A new process waits for the old one's address; the old one does not leave."""
        self.fleet.down(name)
        self._start_after(REPLACE_MS, name)

    def _start_after(self, delay_ms: float, name: str) -> None:
        event_loop = self.fleet.event_loop
        event_loop.at(event_loop.now + delay_ms, self.fleet.up, name)
