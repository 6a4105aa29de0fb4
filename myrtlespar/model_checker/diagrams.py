"""Generates the tables and diagrams of all state machines as Markdown, from the code."""

from __future__ import annotations

from myrtlespar.model_checker.invariants import RULES
from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.transition_table import TransitionTable

HEAD = """# The machines, from the code

Written by `myrtlespar check tables`; a test fails when it differs from the code.
"""


def document() -> str:
    """Return the complete page."""
    rules = "".join(f"| {name} | {text} |\n" for name, text in RULES.items())
    return (
        HEAD
        + "\n## The rules that the checker looks at\n\n| rule | |\n| --- | --- |\n"
        + rules
        + "".join(section(table) for table in TABLES)
    )


def section(table: TransitionTable) -> str:
    """Return the section of one state machine: a diagram, and the table of its transitions with their effects."""
    arrows: dict[tuple[str, str], list[str]] = {}
    rows = []
    for state, event in table.defined_transitions():
        row = table.transitions[state][event]
        assert row is not None
        before = table.states(state).name
        after = table.states(row.next_state).name
        on = table.events(event).name
        effects = ", ".join(getattr(effect, "name", str(effect)) for effect in row.effects)
        rows.append(f"| {before} | {on} | {after if after != before else 'stays'} | {effects} |\n")
        if after != before:
            arrows.setdefault((before, after), []).append(on)
    lines = "".join(f"    {before} --> {after}: {', '.join(names)}\n" for (before, after), names in arrows.items())
    return (
        f"\n## {table.name}\n\n```mermaid\nstateDiagram-v2\n{lines}```\n\n"
        f"| state | event | then | effects |\n| --- | --- | --- | --- |\n{''.join(rows)}"
    )
