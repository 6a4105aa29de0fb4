"""The metrics of one process in the Prometheus text exposition format.

The names `app_*` are an interface to operators and stay fixed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

ANSWER_METRICS = ("succeeded", "declined", "aborted")  # the `app_*` counters of served, refused and failed requests


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Counts since the process started, taken at one moment.

    Attributes:
        class_names: The names of the request classes; the counts are in the same order.
        answer_counts: For each class, the requests served, refused and failed.
        engine_run_counts: For each class, the runs sent to the execution engine.
        outstanding: Requests that were read and are not answered yet.
        extra_lines: Further lines of the exposition format.
    """

    class_names: Sequence[str]
    answer_counts: Sequence[Sequence[int]]
    engine_run_counts: Sequence[int]
    outstanding: int
    extra_lines: Sequence[str] = ()


def exposition(metrics: MetricsSnapshot) -> bytes:
    """The metrics as Prometheus text exposition, each family with its TYPE line."""
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
    """The value of a label, escaped as the exposition format requires."""
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
