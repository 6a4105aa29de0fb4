"""Reads configuration files and reports errors as `ConfigError`."""

from __future__ import annotations

from pathlib import Path

from myrtlespar.config.types import ConfigError


def read_file(path: str, key: str) -> bytes:
    """Return the content of a file.

    Args:
        path: Path of the file.
        key: The environment variable that holds the path.

    Raises:
        ConfigError: The file cannot be read; the message names `key`.
    """
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: cannot read {path}: {error.strerror}") from None
