"""The cost of counting answers with the program's own lists and with prometheus-client, in one process.

    python -m benchmarks.figures --answers 200000 --rounds 5

Each round counts the same answers both ways, class by class, then renders the exposition 1,000 times. Prints
microseconds per count and per rendering, medians over the rounds.
"""

from __future__ import annotations

import statistics
import time

import click

from myrtlespar.admin.metrics import ANSWER_METRICS, MetricsSnapshot, exposition

NAMES = ("render", "fetch", "order")


def measure_own(answers: int) -> tuple[float, float]:
    """Microseconds for one count and for one rendering, with the program's own lists."""
    ends = [[0, 0, 0] for _ in NAMES]
    began = time.process_time()
    for n in range(answers):
        ends[n % 3][n % 2] += 1
    count = (time.process_time() - began) * 1e6 / answers
    began = time.process_time()
    for _ in range(1000):
        exposition(MetricsSnapshot(NAMES, [list(row) for row in ends], [0, 0, 0], 0))
    return count, (time.process_time() - began) * 1e3


def measure_client(answers: int) -> tuple[float, float]:
    """Microseconds for one count and for one rendering, with prometheus-client, which only this benchmark loads."""
    from prometheus_client import CollectorRegistry, Counter, generate_latest

    registry = CollectorRegistry()
    families = [Counter(f"app_{kind}", kind, ["service"], registry=registry) for kind in ANSWER_METRICS]
    cells = [[family.labels(service=name) for family in families] for name in NAMES]  # bound once, as one would
    began = time.process_time()
    for n in range(answers):
        cells[n % 3][n % 2].inc()
    count = (time.process_time() - began) * 1e6 / answers
    began = time.process_time()
    for _ in range(1000):
        generate_latest(registry)
    return count, (time.process_time() - began) * 1e3


@click.command()
@click.option("--answers", default=200_000, show_default=True, type=click.IntRange(1000, 10_000_000))
@click.option("--rounds", default=5, show_default=True, type=click.IntRange(1, 50))
def main(answers: int, rounds: int) -> None:
    """Print the medians of both, and their ratio."""
    own_rows = [measure_own(answers) for _ in range(rounds)]
    client_rows = [measure_client(answers) for _ in range(rounds)]
    for label, rows in (("own lists", own_rows), ("prometheus-client", client_rows)):
        click.echo(
            f"{label:18} count {statistics.median(r[0] for r in rows):.3f} us, "
            f"render {statistics.median(r[1] for r in rows):.1f} us"
        )
    click.echo(
        f"ratio of a count, client / own: "
        f"{statistics.median(r[0] for r in client_rows) / statistics.median(r[0] for r in own_rows):.2f}"
    )


if __name__ == "__main__":
    main()
