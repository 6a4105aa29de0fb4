"""The root of the project's exception hierarchy."""

from __future__ import annotations


class MyrtlesparError(Exception):
    """Base class of all exceptions that the project itself defines."""
