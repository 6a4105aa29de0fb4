"""Typed access to the tables of a fault script, with errors that name the path of the key."""

from __future__ import annotations

from typing import Any

from myrtlespar.fleet_tests.script_model import ScriptError

MAX_MESSAGE_LENGTH = 160
MAX_SCRIPT_S = 7200.0


class ScriptTable:
    """A table with known keys only. `path` is the path of its own key, empty for the script itself."""

    def __init__(self, rows: Any, path: str, known_keys: tuple[str, ...]) -> None:
        if not isinstance(rows, dict):
            raise ScriptError(f"{path or 'script'}: expected a table, got {rows!r}"[:MAX_MESSAGE_LENGTH])
        self.rows = rows
        self.path = path
        for name in rows:
            if name not in known_keys:
                raise ScriptError(f"{self.key(name)}: unknown key")

    def key(self, name: Any) -> str:
        """Return the full path of a key in this table."""
        return f"{self.path}.{name}" if self.path else str(name)

    def number(self, name: str, default: float | None, low: float, high: float) -> float:
        """Return a number from `low` to `high`. Raises ScriptError if it is missing and `default` is None."""
        value = self.rows.get(name, default)
        if value is None:
            raise ScriptError(f"{self.key(name)}: missing, expected a number")
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise ScriptError(f"{self.key(name)}: expected a number from {low:g} to {high:g}, got {value!r}")
        return float(value)

    def flag(self, name: str) -> bool:
        """Return a boolean; false if it is missing."""
        value = self.rows.get(name, False)
        if not isinstance(value, bool):
            raise ScriptError(f"{self.key(name)}: expected true or false, got {value!r}")
        return value
