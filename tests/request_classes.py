"""Settings with particular request classes or with idempotency keys, for tests that run the server process."""

from __future__ import annotations

from typing import Any

from myrtlespar.fakes import settings


def class_settings(*rows: tuple[str, str, float]) -> dict[str, Any]:
    """Return settings with these classes, given as name, effect and client timeout in ms; key windows are 3 s."""
    return settings(
        classes=[
            {
                "name": name,
                "effect": effect,
                "aim_ms": client_timeout_ms / 2,
                "give_up_ms": client_timeout_ms,
                "worth": 1.0,
                "window_ms": 3000.0,
            }
            for name, effect, client_timeout_ms in rows
        ]
    )


KEYED_SETTINGS = {"settings": class_settings(("tide", "free", 4000.0), ("booking", "guarded", 4000.0))}
# The same, and clients mark their repeats.
MARKED_SETTINGS = {"settings": {**KEYED_SETTINGS["settings"], "clients": {"marks_retry": True}}}
KEYS_ENABLED = '[idempotency]\nthrift_field = "key"\n'  # an operators' file
