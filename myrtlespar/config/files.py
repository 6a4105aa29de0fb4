"""Reading of the content of configuration files, with errors as `ConfigError`."""

from __future__ import annotations

from pathlib import Path

from myrtlespar.config.types import ConfigError


def read_file(path: str, key: str) -> bytes:
    """Return a file's content.

    Args:
        path: The file.
        key: The environment variable that holds the path.

    Raises:
        ConfigError: The file can't be read; the message names `key`.
    """
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: cannot read {path}: {error.strerror}") from None
