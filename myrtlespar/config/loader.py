"""Loads the complete configuration from both files, at the start and for a reload."""

from __future__ import annotations

import os
from collections.abc import Mapping

from myrtlespar.config.operator_file import PATH_VARIABLE as OPERATOR_VARIABLE
from myrtlespar.config.operator_file import apply_operator_file
from myrtlespar.config.platform_file import read_platform_file
from myrtlespar.config.types import Config


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Return the configuration that the environment and the files named in it describe.

    Args:
        env: The environment variables.

    Raises:
        ConfigError: A value is invalid; the message is one line that names the first such key.
    """
    config = read_platform_file(env)
    operator_path = env.get(OPERATOR_VARIABLE, "")
    return apply_operator_file(config, operator_path) if operator_path else config
