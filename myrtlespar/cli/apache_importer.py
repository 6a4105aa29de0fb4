"""Converts mod_jk worker files and Apache BalancerMember lines into an operator's file.

    python -m myrtlespar.cli.apache_importer workers.properties [httpd.conf ...] > deploy/ajp.toml

What it can't import is reported on standard error with its line and key; the exit status is then 1.
"""

from __future__ import annotations

import json
import re
import shlex
import sys
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import urlsplit

DEFAULT_AJP_PORT = 8009
MEMBER_LIST_KEYS = ("balance_workers", "balanced_workers")
MIN_LOAD_FACTOR = 0.001
MAX_LOAD_FACTOR = 1000
EXIT_PROBLEMS = 1
EXIT_USAGE = 2

Directives = dict[str, tuple[str, int]]  # key: directive name; value: its text and line number


@dataclass(slots=True)
class ImportResult:
    """Imported workers and balancers, and descriptions of what could not be imported."""

    workers: dict[str, dict[str, str]] = field(default_factory=dict)
    balancers: dict[str, list[str]] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def toml(self) -> str:
        """Return the operator's file as TOML."""
        tables = []
        for name, row in self.workers.items():
            lines = [f"name = {json.dumps(name)}", f"address = {json.dumps(row['address'])}"]
            lines += [f"factor = {row['factor']}"] if "factor" in row else []
            lines += [f"{key} = {json.dumps(row[key])}" for key in ("route", "secret") if key in row]
            tables.append("\n".join(["[[worker]]", *lines]))
        for name, members in self.balancers.items():
            tables.append(f"[[balancer]]\nname = {json.dumps(name)}\nmembers = {json.dumps(members)}")
        return "\n\n".join(tables) + "\n" if tables else ""


def _is_valid_factor(text: str) -> bool:
    try:
        return MIN_LOAD_FACTOR <= float(text) <= MAX_LOAD_FACTOR
    except ValueError:
        return False


def _address(host: str, port: str) -> str | None:
    """Return HOST:PORT, with an IPv6 host in brackets; None if the port is invalid."""
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return None
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class WorkerProperties:
    """Directives of one workers.properties file."""

    def __init__(self, text: str, imported: ImportResult) -> None:
        self.imported = imported
        self.macros: dict[str, str] = {}  # values for $(key), by key
        self.directives: dict[str, Directives] = {}  # by worker name
        self.listed: list[tuple[str, int]] = []  # workers of worker.list, each with its line number
        for number, line in _joined_lines(text):
            self._read_line(line, number)

    def _read_line(self, line: str, number: int) -> None:
        key, equals, value = (part.strip() for part in line.partition("="))
        if not equals:
            self.imported.problems.append(f"line {number}: {key}: expected KEY=VALUE")
            return
        value = re.sub(r"\$\(([^)]+)\)", lambda match: self.macros.get(match.group(1), match.group(0)), value)
        if "$(" in value:
            self.imported.problems.append(f"line {number}: {key}: undefined macro in {value}")
            return
        self.macros[key] = value
        words = key.split(".")
        if key == "worker.list":
            self.listed += [(name, number) for name in re.split(r"[,\s]+", value) if name]
        elif len(words) == 3 and words[0] == "worker":
            row = self.directives.setdefault(words[1], {})
            if words[2] in MEMBER_LIST_KEYS and words[2] in row:  # the list may be spread over several lines
                value = f"{row[words[2]][0]},{value}"
            row[words[2]] = (value, number)
        elif words[0] == "worker":
            self.imported.problems.append(f"line {number}: {key}: not supported")

    def import_listed(self) -> None:
        """Import the workers of worker.list and the members of their balancers; all others are only templates."""
        for name, number in self.listed:
            if name not in self.directives:
                self.imported.problems.append(f"line {number}: worker.list: no worker named {name}")
            else:
                self._import(name)

    def _with_templates(self, name: str, seen: tuple[str, ...] = ()) -> Directives:
        """Return a worker's directives, merged over those of the template that it refers to."""
        own = self.directives.get(name, {})
        if "reference" not in own:
            return own
        value, number = own["reference"]
        target = value.removeprefix("worker.")
        if target not in self.directives or target in (*seen, name):
            self.imported.problems.append(f"line {number}: worker.{name}.reference: no template named {value}")
            return own
        return {**self._with_templates(target, (*seen, name)), **own}

    def _import(self, name: str) -> None:
        if name in self.imported.workers or name in self.imported.balancers:
            return
        row = {key: value for key, value in self._with_templates(name).items() if key != "reference"}
        worker_type, number = row.pop("type", ("ajp13", 0))
        if worker_type == "ajp13":
            self._import_worker(name, row)
        elif worker_type == "lb":
            self._import_balancer(name, row)
        else:
            self.imported.problems.append(f"line {number}: worker.{name}.type: expected ajp13 or lb, got {worker_type}")

    def _import_worker(self, name: str, row: Directives) -> None:
        host, _ = row.pop("host", ("localhost", 0))
        port, port_line = row.pop("port", (str(DEFAULT_AJP_PORT), 0))
        address = _address(host, port)
        if address is None:
            self.imported.problems.append(f"line {port_line}: worker.{name}.port: expected a port number, got {port}")
            return
        worker = {"address": address}
        for key, (value, number) in row.items():
            if key == "lbfactor" and _is_valid_factor(value):
                worker["factor"] = value
            elif key in ("route", "jvm_route", "secret"):
                worker["route" if key != "secret" else key] = value
            else:
                self._report(name, key, value, number)
        self.imported.workers[name] = worker

    def _import_balancer(self, name: str, row: Directives) -> None:
        members: list[str] = []
        for key, (value, number) in row.items():
            if key not in MEMBER_LIST_KEYS:
                self._report(name, key, value, number)
                continue
            for member in (word for word in re.split(r"[,\s]+", value) if word):
                if member not in self.directives:
                    self.imported.problems.append(f"line {number}: worker.{name}.{key}: no worker named {member}")
                    continue
                self._import(member)
                if member in self.imported.workers and member not in members:
                    members.append(member)
        self.imported.balancers[name] = members

    def _report(self, name: str, key: str, value: str, number: int) -> None:
        self.imported.problems.append(f"line {number}: worker.{name}.{key}: not imported: {value}")


def _joined_lines(text: str) -> list[tuple[int, str]]:
    """Return the lines that are neither empty nor comments, with their numbers; a backslash continues a line."""
    lines = []
    joined = ""
    start = 0
    for number, raw in enumerate(text.splitlines(), start=1):
        start = start or number
        joined += raw.strip()
        if joined.endswith("\\"):
            joined = joined[:-1]
            continue
        if joined and not joined.startswith("#"):
            lines.append((start, joined))
        joined = ""
        start = 0
    return lines


def import_apache(text: str, imported: ImportResult) -> None:
    """Import the BalancerMember lines of an Apache file, in a <Proxy> section or with the URL of a balancer."""
    section = ""
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        if match := re.match(r"<Proxy\s+\"?balancer://([^\s\"/>]+)/?\"?\s*>", line, re.I):
            section = match.group(1)
        elif re.match(r"</Proxy\s*>", line, re.I):
            section = ""
        elif re.match(r"BalancerMember\s", line, re.I):
            try:
                _import_member(shlex.split(line, comments=True)[1:], section, number, imported)
            except ValueError as error:
                imported.problems.append(f"line {number}: BalancerMember: {error}")


def _import_member(words: list[str], section: str, number: int, imported: ImportResult) -> None:
    """Import one BalancerMember line.

    Raises:
        ValueError: The line can't be imported; the text is the reason.
    """
    if words and words[0].startswith("balancer://"):
        section = words.pop(0).removeprefix("balancer://").rstrip("/")
    if not section:
        raise ValueError("expected a <Proxy balancer://NAME> section or a URL balancer://NAME")
    worker = {"address": _ajp_address(words.pop(0) if words else "")}
    for word in words:
        key, _, value = word.partition("=")
        if key.lower() == "loadfactor" and _is_valid_factor(value):
            worker["factor"] = value
        elif key.lower() in ("route", "secret"):
            worker[key.lower()] = value
        else:
            imported.problems.append(f"line {number}: BalancerMember {key}: not imported: {value}")
    name = worker.get("route") or worker["address"].replace(":", "-")
    if imported.workers.get(name, worker) != worker:
        name = f"{section}-{name}"
    if imported.workers.get(name, worker) != worker:
        raise ValueError(f"another worker is already named {name}")
    imported.workers[name] = worker
    members = imported.balancers.setdefault(section, [])
    if name not in members:
        members.append(name)


def _ajp_address(text: str) -> str:
    """Return the address in a URL ajp://host:port.

    Raises:
        ValueError: The text is not such a URL.
    """
    url = urlsplit(text)
    if url.scheme != "ajp" or not url.hostname or url.path.strip("/"):
        raise ValueError(f"expected ajp://host:port, got {url.geturl()}")
    address = _address(url.hostname, str(url.port or DEFAULT_AJP_PORT))
    assert address
    return address


def main(paths: list[str]) -> int:
    """Import files, each by its type, print the operator's file and return the exit status."""
    if not paths:
        print("usage: python -m myrtlespar.cli.apache_importer FILE ...", file=sys.stderr)
        return EXIT_USAGE
    imported = ImportResult()
    for path in paths:
        try:
            text = Path(path).read_text()
        except (OSError, UnicodeDecodeError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return EXIT_USAGE
        seen = len(imported.problems)
        if path.endswith(".properties"):
            WorkerProperties(text, imported).import_listed()
        else:
            import_apache(text, imported)
        imported.problems[seen:] = [f"{path}: {problem}" for problem in imported.problems[seen:]]
    print(imported.toml(), end="")
    for problem in imported.problems:
        print(problem, file=sys.stderr)
    return EXIT_PROBLEMS if imported.problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
