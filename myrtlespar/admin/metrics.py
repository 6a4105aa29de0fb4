"""The metrics of one process in the Prometheus text exposition format.

Operators depend on the names `app_*`, so they must not change.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# Names of the `app_*` counters of served, rejected and failed requests.
ANSWER_METRICS = ("succeeded", "declined", "aborted")


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The counts since the process started, at one moment.

    Attributes:
        class_names: The names of the request classes; the counts are in the same order.
        answer_counts: For each class, how many requests were served, rejected and failed.
        engine_run_counts: For each class, how many runs were sent to the execution engine.
        outstanding: How many requests were read and are not answered yet.
        extra_lines: Further lines of the exposition format.
    """

    class_names: Sequence[str]
    answer_counts: Sequence[Sequence[int]]
    engine_run_counts: Sequence[int]
    outstanding: int
    extra_lines: Sequence[str] = ()


def exposition(metrics: MetricsSnapshot) -> bytes:
    """Return the metrics in the Prometheus text format, each family with its TYPE line."""
    labels = [_escaped_label(name) for name in metrics.class_names]
    lines: list[str] = []
    for position, name in enumerate(ANSWER_METRICS):
        lines.append(f"# TYPE app_{name} counter")
        for label, counts in zip(labels, metrics.answer_counts, strict=True):
            lines.append(f'app_{name}{{service="{label}"}} {counts[position]}')
    lines.append("# TYPE app_forwards counter")
    for label, count in zip(labels, metrics.engine_run_counts, strict=True):
        lines.append(f'app_forwards{{service="{label}"}} {count}')
    lines.append("# TYPE app_outstanding gauge")
    lines.append(f"app_outstanding {metrics.outstanding}")
    lines += metrics.extra_lines
    return "".join(f"{line}\n" for line in lines).encode()


def _escaped_label(name: str) -> str:
    """Return a label value, escaped as the exposition format requires."""
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
