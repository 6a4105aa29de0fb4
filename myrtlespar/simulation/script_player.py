"""Performs the steps of a fault script on a simulated fleet."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from myrtlespar.fleet_tests.script import ScriptStep
from myrtlespar.simulation.fleet import SimulatedFleet

PROCESS_START_MS = 300.0  # from the start of a process to its first packet
ADDRESS_TAKEOVER_MS = 50.0  # time until a new process can bind the address of the process that it replaces


class ScriptPlayer:
    """Schedules the steps of a script and performs each when it is due."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.fleet = fleet
        # Members that a "lose" step ended, by step number; the "back" step starts them again.
        self._lost_members: dict[int, list[str]] = {}

    def schedule(self, steps: Sequence[ScriptStep], from_ms: float) -> None:
        """Schedule the steps of a script that begins at `from_ms`."""
        for step in steps:
            self.fleet.event_loop.call_at(from_ms + step.at_ms, self._perform, step)

    def _perform(self, step: ScriptStep) -> None:
        if step.rule is not None:
            self._change_rule(step)
            return
        fleet = self.fleet
        names: Sequence[str] = step.names
        if step.kind == "lose":
            self._lost_members[step.number] = [name for name in step.names if fleet.nodes[name].running]
        elif step.kind == "back":
            names = self._lost_members.get(step.number, [])
        actions: dict[str, Callable[[str], None]] = {
            "kill": fleet.kill,
            "lose": fleet.kill,
            "start": self._restart,
            "back": self._restart,
            "pause": fleet.pause,
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
        self.fleet.record_action(step.kind, "", step.number, step.rule)

    def _restart(self, name: str) -> None:
        if not self.fleet.nodes[name].running:
            self._start_after(PROCESS_START_MS, name)

    def _replace(self, name: str) -> None:
        """Start a new process once the address of the old one is free; the old one does not leave the fleet."""
        self.fleet.kill(name)
        self._start_after(ADDRESS_TAKEOVER_MS, name)

    def _start_after(self, delay_ms: float, name: str) -> None:
        event_loop = self.fleet.event_loop
        event_loop.call_at(event_loop.now + delay_ms, self.fleet.start_member, name)
