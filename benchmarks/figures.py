"""The cost of counting answers with the program's own lists and with the prometheus-client package, in one process.

    python -m benchmarks.figures --answers 200000 --rounds 5

Each round counts the same answers by request class in both ways, then renders the metrics page 1,000 times each. Prints
the medians over the rounds: microseconds per count and per rendering.
"""

from __future__ import annotations

import statistics
import time

import click

from myrtlespar.admin.metrics import ANSWER_METRICS, MetricsSnapshot, exposition

NAMES = ("render", "fetch", "order")


def measure_lists(answers: int) -> tuple[float, float]:
    """Measure the microseconds of one count and of one rendering, with the program's own lists."""
    counts = [[0, 0, 0] for _ in NAMES]
    began = time.process_time()
    for n in range(answers):
        counts[n % 3][n % 2] += 1
    count = (time.process_time() - began) * 1e6 / answers
    began = time.process_time()
    for _ in range(1000):
        exposition(MetricsSnapshot(NAMES, [list(row) for row in counts], [0, 0, 0], 0))
    return count, (time.process_time() - began) * 1e3


def measure_prometheus_client(answers: int) -> tuple[float, float]:
    """Measure the microseconds of one count and of one rendering, with prometheus-client.

    Only this benchmark imports the package.
    """
    from prometheus_client import CollectorRegistry, Counter, generate_latest

    registry = CollectorRegistry()
    families = [Counter(f"app_{kind}", kind, ["service"], registry=registry) for kind in ANSWER_METRICS]
    # Labels are resolved once, not per count, as production code would do.
    counters = [[family.labels(service=name) for family in families] for name in NAMES]
    began = time.process_time()
    for n in range(answers):
        counters[n % 3][n % 2].inc()
    count = (time.process_time() - began) * 1e6 / answers
    began = time.process_time()
    for _ in range(1000):
        generate_latest(registry)
    return count, (time.process_time() - began) * 1e3


@click.command()
@click.option("--answers", default=200_000, show_default=True, type=click.IntRange(1000, 10_000_000))
@click.option("--rounds", default=5, show_default=True, type=click.IntRange(1, 50))
def main(answers: int, rounds: int) -> None:
    """Print the median costs of both ways, and the ratio of their counts."""
    list_rows = [measure_lists(answers) for _ in range(rounds)]
    client_rows = [measure_prometheus_client(answers) for _ in range(rounds)]
    for label, rows in (("own lists", list_rows), ("prometheus-client", client_rows)):
        click.echo(
            f"{label:18} count {statistics.median(r[0] for r in rows):.3f} us, "
            f"render {statistics.median(r[1] for r in rows):.1f} us"
        )
    click.echo(
        f"ratio of a count, client / own: "
        f"{statistics.median(r[0] for r in client_rows) / statistics.median(r[0] for r in list_rows):.2f}"
    )


if __name__ == "__main__":
    main()
