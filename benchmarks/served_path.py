"""CPU time per request of the server process, for this checkout and an earlier one.

    python -m benchmarks.served_path --against ../earlier --rounds 5 --requests 3000
    python -m benchmarks.served_path --against ../earlier --figures    # also with METRICS requested

Each round starts the two checkouts in turn on the same machine with the same fakes. It measures the CPU time that the
operating system accounts to the server between the first and the last request. Prints both figures and their ratio for
each round, and the medians.

With --figures, each round also runs this checkout with the management address on and METRICS requested every 0.5 s.
The operators' day-long runs request it as often.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import threading
import time
from pathlib import Path

import click

from myrtlespar.fakes import ROOT, ServerProcess, ThriftClient, server_process

MAX_OUTSTANDING = 24  # unanswered requests on the connection
WARM_UP_REQUESTS = 200
TIMEOUT_S = 120.0


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def scrape(server: ServerProcess, stop: threading.Event) -> None:
    """Request METRICS every 0.5 s until `stop` is set, for 500 s at most."""
    for _ in range(1000):
        if stop.wait(0.5):
            return
        assert server.ask(b"METRICS\n").startswith("done")


def measure(root: Path, requests: int, figures: bool = False) -> float:
    """Return the microseconds of CPU time per request; one request in five calls a dependency."""
    with tempfile.TemporaryDirectory() as tmp, server_process(Path(tmp), root=root, mgmt=figures) as server:
        stop = threading.Event()
        if figures:
            threading.Thread(target=scrape, args=(server, stop), daemon=True).start()
        client = ThriftClient(server.ports[0])
        sent = 0
        end = time.monotonic() + TIMEOUT_S
        began = 0.0
        while len(client.answers) < requests + WARM_UP_REQUESTS and time.monotonic() < end:
            if sent == WARM_UP_REQUESTS and not began and len(client.answers) >= WARM_UP_REQUESTS:
                # The measurement begins here, after the first WARM_UP_REQUESTS requests have warmed the server up.
                began = cpu_s(server.process.pid)
            limit = requests + WARM_UP_REQUESTS if began else WARM_UP_REQUESTS
            while sent < limit and sent - len(client.answers) < MAX_OUTSTANDING:
                client.send(("render", "fetch", "order")[sent % 3], b"ms=1 calls=1" if sent % 5 == 0 else b"ms=1")
                sent += 1
            time.sleep(0.001)
        stop.set()
        return (cpu_s(server.process.pid) - began) * 1e6 / requests


@click.command()
@click.option(
    "--against",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    required=True,
    help="An earlier checkout of this project.",
)
@click.option("--rounds", default=5, show_default=True, type=click.IntRange(1, 50))
@click.option("--requests", default=3000, show_default=True, type=click.IntRange(100, 100_000))
@click.option("--figures", is_flag=True, help="Also run this checkout with METRICS requested.")
def main(against: Path, rounds: int, requests: int, figures: bool) -> None:
    """Print the CPU time per request of both checkouts, and the ratio."""
    ratios: list[float] = []
    ours: list[float] = []
    theirs: list[float] = []
    scraped: list[float] = []
    for number in range(rounds):
        before = measure(against, requests)
        now = measure(ROOT, requests)
        ours.append(now)
        theirs.append(before)
        ratios.append(now / before)
        line = f"round {number + 1}: before {before:7.1f} us, now {now:7.1f} us, ratio {now / before:.3f}"
        if figures:
            scraped.append(measure(ROOT, requests, figures=True) / now)
            line += f", figures on / off {scraped[-1]:.3f}"
        click.echo(line)
    if scraped:
        click.echo(
            f"median figures on / off {statistics.median(scraped):.3f} "
            f"(from {min(scraped):.3f} to {max(scraped):.3f})"
        )
    click.echo(
        f"median: before {statistics.median(theirs):.1f} us, now {statistics.median(ours):.1f} us, "
        f"ratio {statistics.median(ratios):.3f} (from {min(ratios):.3f} to {max(ratios):.3f})"
    )


if __name__ == "__main__":
    main()
