"""The root of the project's exception hierarchy."""

from __future__ import annotations


class MyrtlesparError(Exception):
    """Base class of every exception that the project raises on purpose."""
