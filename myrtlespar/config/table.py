"""Typed access to a JSON or TOML table, with errors that give the full name of the key."""

from __future__ import annotations

from typing import Any

from myrtlespar.config.types import Address, ConfigError, parse_address

MAX_FAULT_CHARS = 200  # of an error text that shows a table or list, which may be long


class ConfigTable:
    """A table whose values are checked as they are read.

    Each method raises `ConfigError` if the value has another type or is out of range, or if it is absent and has no
    default. A null value means the same as an absent one.
    """

    def __init__(self, rows: Any, path: str) -> None:
        if not isinstance(rows, dict):
            raise ConfigError(f"{path or 'the file'}: expected a table, got {rows!r}"[:MAX_FAULT_CHARS])
        self.rows = rows
        self._path = path
        self._names_read: set[str] = set()

    def key(self, name: str) -> str:
        """Return the full name of a key."""
        return f"{self._path}.{name}" if self._path else name

    def has(self, name: str) -> bool:
        """Return whether a key has a value other than null."""
        return self.rows.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._get(name, default)
        if not isinstance(value, str):
            raise ConfigError(f"{self.key(name)}: expected a text, got {value!r}")
        return value

    def number(self, name: str, default: float | None, low: float, high: float) -> float:
        """Return a number from `low` to `high`."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise ConfigError(f"{self.key(name)}: expected a number from {low:g} to {high:g}, got {value!r}")
        return float(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return a boolean."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise ConfigError(f"{self.key(name)}: expected true or false, got {value!r}")
        return value

    def address(self, name: str) -> Address:
        """Return the host and port of a string `HOST:PORT`."""
        return parse_address(self._get(name, None), self.key(name))

    def table(self, name: str) -> ConfigTable:
        """Return a table, an empty one if it is absent."""
        return ConfigTable(self._get(name, {}), self.key(name))

    def tables(self, name: str) -> list[ConfigTable]:
        """Return a list of tables, an empty one if it is absent."""
        rows = self._get(name, [])
        if not isinstance(rows, list):
            raise ConfigError(f"{self.key(name)}: expected a list of tables, got {rows!r}"[:MAX_FAULT_CHARS])
        return [ConfigTable(row, f"{self.key(name)}[{index}]") for index, row in enumerate(rows)]

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings, an empty one if it is absent."""
        rows = self._get(name, [])
        if not isinstance(rows, list) or not all(isinstance(row, str) for row in rows):
            raise ConfigError(f"{self.key(name)}: expected a list of texts, got {rows!r}"[:MAX_FAULT_CHARS])
        return tuple(rows)

    def reject_unknown_keys(self) -> None:
        """Raise `ConfigError` for a key that nobody has read: a misspelt key would silently mean its default."""
        for name in self.rows:
            if name not in self._names_read:
                raise ConfigError(f"{self.key(name)}: unknown key")

    def _get(self, name: str, default: Any) -> Any:
        self._names_read.add(name)
        value = self.rows.get(name)
        if value is None:
            value = default
        if value is None:
            raise ConfigError(f"{self.key(name)}: missing")
        return value
