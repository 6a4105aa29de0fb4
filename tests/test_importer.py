"""The importer, which converts mod_jk and Apache files into an operator's file."""

import subprocess
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import ROOT, FakeAjpServer, FakeGateway, server_process

WORKERS = """# a farm
worker.base.type=ajp13
worker.base.lbfactor=2
worker.base.secret=w
node.port=8101
worker.list=router
worker.one.reference=worker.base
worker.one.host=127.0.0.1
worker.one.port=$(node.port)
worker.two.reference=worker.base
worker.two.host=127.0.0.2
worker.two.lbfactor=1
worker.two.route=r2
worker.router.type=lb
worker.router.balance_workers=one,\\
  two
"""


@dataclass(frozen=True)
class ImportResult:
    """What the importer printed."""

    tables: dict[str, Any]
    problems: list[str]
    status: int


def run_importer(path: Path) -> subprocess.CompletedProcess[str]:
    """Run the importer on one file in a process of its own."""
    return subprocess.run(
        [sys.executable, "-m", "myrtlespar.cli.apache_importer", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def import_text(folder: Path, name: str, text: str) -> ImportResult:
    """Write the text to a file of this name and import it."""
    (folder / name).write_text(text)
    finished = run_importer(folder / name)
    problems = [line.split(f"{name}: ", 1)[1] for line in finished.stderr.splitlines()]
    return ImportResult(tomllib.loads(finished.stdout), problems, finished.returncode)


def test_workers_with_templates_and_balancers_are_imported(tmp_path: Path) -> None:
    """Templates, macros, continued lines and defaults of a workers.properties file."""
    assert import_text(tmp_path, "workers.properties", WORKERS) == ImportResult(
        {
            "worker": [
                {"name": "one", "address": "127.0.0.1:8101", "factor": 2, "secret": "w"},
                {"name": "two", "address": "127.0.0.2:8009", "factor": 1, "route": "r2", "secret": "w"},
            ],
            "balancer": [{"name": "router", "members": ["one", "two"]}],
        },
        [],
        0,
    )


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        ("worker.one.socket_timeout=9", "line 17: worker.one.socket_timeout: not imported: 9"),
        ("worker.one.port=http", "line 17: worker.one.port: expected a port number, got http"),
        ("worker.two.lbfactor=many", "line 17: worker.two.lbfactor: not imported: many"),
        ("worker.two.type=ajp14", "line 17: worker.two.type: expected ajp13 or lb, got ajp14"),
        ("worker.two.reference=worker.moon", "line 17: worker.two.reference: no template named worker.moon"),
        ("worker.base.reference=worker.one", "line 17: worker.base.reference: no template named worker.one"),
        ("worker.list=moon", "line 17: worker.list: no worker named moon"),
        ("worker.router.balance_workers=moon", "line 17: worker.router.balance_workers: no worker named moon"),
        ("worker.maintain=60", "line 17: worker.maintain: not supported"),
        ("worker.one.host=$(moon)", "line 17: worker.one.host: undefined macro in $(moon)"),
    ],
)
def test_what_is_not_imported_is_named_by_line_and_key(tmp_path: Path, line: str, problem: str) -> None:
    """Each case appends one line to the file; the importer reports the problem with it."""
    result = import_text(tmp_path, "workers.properties", WORKERS + line + "\n")
    assert problem in result.problems
    assert result.status == 1


def test_balancer_members_are_imported_and_other_lines_named(tmp_path: Path) -> None:
    """BalancerMember lines of an Apache file, inside and outside of a Proxy section."""
    text = """<Proxy "balancer://tiles">
  BalancerMember "ajp://127.0.0.1:8101" loadfactor=3 route=n1 secret=w
  BalancerMember ajp://127.0.0.2 route=n2 timeout=5
  BalancerMember http://127.0.0.3:80
</Proxy>
BalancerMember balancer://other ajp://127.0.0.4:8104
BalancerMember ajp://127.0.0.5
ProxyPass /tiles balancer://tiles
"""
    result = import_text(tmp_path, "httpd.conf", text)
    assert result.tables == {
        "worker": [
            {"name": "n1", "address": "127.0.0.1:8101", "factor": 3, "route": "n1", "secret": "w"},
            {"name": "n2", "address": "127.0.0.2:8009", "route": "n2"},
            {"name": "127.0.0.4-8104", "address": "127.0.0.4:8104"},
        ],
        "balancer": [{"name": "tiles", "members": ["n1", "n2"]}, {"name": "other", "members": ["127.0.0.4-8104"]}],
    }
    assert [problem.split(":")[0:2] for problem in result.problems] == [
        ["line 3", " BalancerMember timeout"],
        ["line 4", " BalancerMember"],
        ["line 7", " BalancerMember"],
    ]
    assert result.status == 1


def test_server_forwards_to_imported_workers(tmp_path: Path) -> None:
    """The server starts with the printed file and forwards requests to the imported worker."""
    servlet = FakeAjpServer("one")
    (tmp_path / "w.properties").write_text(
        f"worker.list=lb\nworker.lb.type=lb\nworker.lb.balance_workers=one\nworker.one.port={servlet.port}\n"
        "worker.one.host=127.0.0.1\n"
    )
    finished = run_importer(tmp_path / "w.properties")
    assert finished.returncode == 0, finished.stderr
    front = '[ajp]\nlisten = "127.0.0.1:0"\n[[ajp.map]]\npath = "/"\nclass = "fetch"\nto = "lb"\n'
    with server_process(tmp_path, operator=front + finished.stdout) as server:
        assert FakeGateway(server.ports[1]).ask("/a", b"xyz")[2] == b"one got 3"
    servlet.down()
