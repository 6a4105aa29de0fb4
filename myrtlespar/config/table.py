"""Typed access to a JSON or TOML table, with errors that state the full name of the key."""

from __future__ import annotations

from typing import Any

from myrtlespar.config.types import Address, ConfigError, parse_address

MAX_ERROR_LENGTH = 200  # characters; error messages that quote a table or list are cut to this length


class ConfigTable:
    """A table whose values are checked as they are read.

    Each method raises `ConfigError` if the value has the wrong type or is out of range, or if it is absent and has no
    default. A null value counts as absent.
    """

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ConfigError(f"{path or 'the file'}: expected a table, got {values!r}"[:MAX_ERROR_LENGTH])
        self.values = values
        self._path = path
        self._names_read: set[str] = set()

    def key(self, name: str) -> str:
        """Return the full name of a key, with the names of the tables around it."""
        return f"{self._path}.{name}" if self._path else name

    def has(self, name: str) -> bool:
        """Return whether a key is present and not null."""
        return self.values.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Return the string value of a key."""
        value = self._get(name, default)
        if not isinstance(value, str):
            raise ConfigError(f"{self.key(name)}: expected a string, got {value!r}")
        return value

    def number(self, name: str, default: float | None, low: float, high: float) -> float:
        """Return the value of a key, a number from `low` to `high`."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise ConfigError(f"{self.key(name)}: expected a number from {low:g} to {high:g}, got {value!r}")
        return float(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return the boolean value of a key."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise ConfigError(f"{self.key(name)}: expected true or false, got {value!r}")
        return value

    def address(self, name: str) -> Address:
        """Return the host and port in the value of a key, a string `HOST:PORT`."""
        return parse_address(self._get(name, None), self.key(name))

    def table(self, name: str) -> ConfigTable:
        """Return a nested table; an empty one if it is absent."""
        return ConfigTable(self._get(name, {}), self.key(name))

    def tables(self, name: str) -> list[ConfigTable]:
        """Return a list of nested tables; an empty one if it is absent."""
        rows = self._get(name, [])
        if not isinstance(rows, list):
            raise ConfigError(f"{self.key(name)}: expected a list of tables, got {rows!r}"[:MAX_ERROR_LENGTH])
        return [ConfigTable(row, f"{self.key(name)}[{index}]") for index, row in enumerate(rows)]

    def string_list(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; an empty one if it is absent."""
        strings = self._get(name, [])
        if not isinstance(strings, list) or not all(isinstance(string, str) for string in strings):
            raise ConfigError(f"{self.key(name)}: expected a list of strings, got {strings!r}"[:MAX_ERROR_LENGTH])
        return tuple(strings)

    def reject_unknown_keys(self) -> None:
        """Raise `ConfigError` for a key that was never read: a misspelt key must not silently mean the default."""
        for name in self.values:
            if name not in self._names_read:
                raise ConfigError(f"{self.key(name)}: unknown key")

    def _get(self, name: str, default: Any) -> Any:
        self._names_read.add(name)
        value = self.values.get(name)
        if value is None:
            value = default
        if value is None:
            raise ConfigError(f"{self.key(name)}: missing")
        return value
