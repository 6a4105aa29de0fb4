"""Settings of a small deployment with the classes of tiles-athlone."""

from __future__ import annotations

from typing import Any

from myrtlespar.fakes import settings

WINDOW_MS = 5000.0
STOP_MS = 3200
CLASSES = [  # name, wanted time and deadline in ms, worth
    ("render", 2400.0, 6100.0, 1.0),
    ("fetch", 1100.0, 2700.0, 2.0),
    ("order", 1700.0, 4400.0, 3.0),
]


def site_settings(order_effect: str = "single_shot") -> dict[str, Any]:
    """Return the object `settings` of the platform's file; `order_effect` is the effect of the class `order`."""
    made = settings(
        classes=[
            {
                "name": name,
                "effect": order_effect if name == "order" else "free",
                "aim_ms": aim_ms,
                "give_up_ms": give_up_ms,
                "worth": worth,
                "window_ms": WINDOW_MS,
            }
            for name, aim_ms, give_up_ms, worth in CLASSES
        ]
    )
    made["invariants"]["drain_grace_ms"] = 2500.0
    return made
