"""Turns mod_jk worker files and Apache BalancerMember lines into an operator's file.

    python -m myrtlespar.cli.apache_importer workers.properties [httpd.conf ...] > deploy/ajp.toml

What it can't take is told on standard error with its line and key; the exit status is then 1.
"""

from __future__ import annotations

import json
import re
import shlex
import sys
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import urlsplit

PORT = 8009  # of an AJP server that names none
LISTS = ("balance_workers", "balanced_workers")


@dataclass(slots=True)
class Imported:
    """Workers and balancers as found, and what could not be taken."""

    workers: dict[str, dict[str, str]] = field(default_factory=dict)
    balancers: dict[str, list[str]] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def toml(self) -> str:
        """The operator's file."""
        out = []
        for name, row in self.workers.items():
            lines = [f"name = {json.dumps(name)}", f"address = {json.dumps(row['address'])}"]
            lines += [f"factor = {row['factor']}"] if "factor" in row else []
            lines += [f"{key} = {json.dumps(row[key])}" for key in ("route", "secret") if key in row]
            out.append("\n".join(["[[worker]]", *lines]))
        for name, members in self.balancers.items():
            out.append(f"[[balancer]]\nname = {json.dumps(name)}\nmembers = {json.dumps(members)}")
        return "\n\n".join(out) + "\n" if out else ""


def _factor(text: str) -> bool:
    try:
        return 0.001 <= float(text) <= 1000
    except ValueError:
        return False


def _address(host: str, port: str) -> str | None:
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return None
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Properties:
    """One workers.properties file."""

    def __init__(self, text: str, out: Imported) -> None:
        self.out = out
        self.macros: dict[str, str] = {}
        self.rows: dict[str, dict[str, tuple[str, int]]] = {}  # worker, directive, value and line
        self.listed: list[tuple[str, int]] = []
        for number, line in self._lines(text):
            self._line(line, number)

    def _lines(self, text: str) -> list[tuple[int, str]]:
        """Lines with their numbers; a backslash at the end joins the next one."""
        out, joined, start = [], "", 0
        for number, raw in enumerate(text.splitlines(), start=1):
            start = start or number
            joined += raw.strip()
            if joined.endswith("\\"):
                joined = joined[:-1]
                continue
            if joined and not joined.startswith("#"):
                out.append((start, joined))
            joined, start = "", 0
        return out

    def _line(self, line: str, number: int) -> None:
        key, equals, value = (part.strip() for part in line.partition("="))
        if not equals:
            self.out.problems.append(f"line {number}: {key}: no value")
            return
        value = re.sub(r"\$\(([^)]+)\)", lambda m: self.macros.get(m.group(1), m.group(0)), value)
        if "$(" in value:
            self.out.problems.append(f"line {number}: {key}: unknown name in {value}")
            return
        self.macros[key] = value
        words = key.split(".")
        if key == "worker.list":
            self.listed += [(name, number) for name in re.split(r"[,\s]+", value) if name]
        elif len(words) == 3 and words[0] == "worker":
            row = self.rows.setdefault(words[1], {})
            if words[2] in LISTS and words[2] in row:  # the list may come in several lines
                value = f"{row[words[2]][0]},{value}"
            row[words[2]] = (value, number)
        elif words[0] == "worker":
            self.out.problems.append(f"line {number}: {key}: not taken")

    def take(self) -> None:
        """Hand over all that is no template: what is listed, and what a balancer names."""
        for name, number in self.listed:
            if name not in self.rows:
                self.out.problems.append(f"line {number}: worker.list: no worker named {name}")
            else:
                self._take(name)

    def _whole(self, name: str, seen: tuple[str, ...] = ()) -> dict[str, tuple[str, int]]:
        """A worker's directives over those of the template that it refers to."""
        own = self.rows.get(name, {})
        if "reference" not in own:
            return own
        value, number = own["reference"]
        target = value.removeprefix("worker.")
        if target not in self.rows or target in (*seen, name):
            self.out.problems.append(f"line {number}: worker.{name}.reference: no template named {value}")
            return own
        return {**self._whole(target, (*seen, name)), **own}

    def _take(self, name: str) -> None:
        if name in self.out.workers or name in self.out.balancers:
            return
        row = {key: value for key, value in self._whole(name).items() if key != "reference"}
        kind, number = row.pop("type", ("ajp13", 0))
        if kind == "ajp13":
            self._worker(name, row)
        elif kind == "lb":
            self._balancer(name, row)
        else:
            self.out.problems.append(f"line {number}: worker.{name}.type: {kind} is not taken")

    def _worker(self, name: str, row: dict[str, tuple[str, int]]) -> None:
        host, port = row.pop("host", ("localhost", 0)), row.pop("port", (str(PORT), 0))
        address = _address(host[0], port[0])
        if address is None:
            self.out.problems.append(f"line {port[1]}: worker.{name}.port: no port: {port[0]}")
            return
        done = {"address": address}
        for key, (value, number) in row.items():
            if key == "lbfactor" and _factor(value):
                done["factor"] = value
            elif key in ("route", "jvm_route", "secret"):
                done["route" if key != "secret" else key] = value
            else:
                self._refuse(name, key, value, number)
        self.out.workers[name] = done

    def _balancer(self, name: str, row: dict[str, tuple[str, int]]) -> None:
        members: list[str] = []
        for key, (value, number) in row.items():
            if key not in LISTS:
                self._refuse(name, key, value, number)
                continue
            for member in (word for word in re.split(r"[,\s]+", value) if word):
                if member not in self.rows:
                    self.out.problems.append(f"line {number}: worker.{name}.{key}: no worker named {member}")
                    continue
                self._take(member)
                if member in self.out.workers and member not in members:
                    members.append(member)
        self.out.balancers[name] = members

    def _refuse(self, name: str, key: str, value: str, number: int) -> None:
        self.out.problems.append(f"line {number}: worker.{name}.{key}: not taken: {value}")


def apache(text: str, out: Imported) -> None:
    """BalancerMember lines of an Apache file, inside a <Proxy balancer://name> or with the name first."""
    section = ""
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        if found := re.match(r"<Proxy\s+\"?balancer://([^\s\"/>]+)/?\"?\s*>", line, re.I):
            section = found.group(1)
        elif re.match(r"</Proxy\s*>", line, re.I):
            section = ""
        elif re.match(r"BalancerMember\s", line, re.I):
            try:
                _member(shlex.split(line, comments=True)[1:], section, number, out)
            except ValueError as error:
                out.problems.append(f"line {number}: BalancerMember: {error}")


def _member(words: list[str], section: str, number: int, out: Imported) -> None:
    if words and words[0].startswith("balancer://"):
        section = words.pop(0).removeprefix("balancer://").rstrip("/")
    if not section:
        raise ValueError("outside of a balancer")
    url = urlsplit(words.pop(0) if words else "")
    if url.scheme != "ajp" or not url.hostname or url.path.strip("/"):
        raise ValueError(f"expected ajp://host:port, got {url.geturl()}")
    address = _address(url.hostname, str(url.port or PORT))
    assert address
    row = {"address": address}
    for word in words:
        key, _, value = word.partition("=")
        if key.lower() == "loadfactor" and _factor(value):
            row["factor"] = value
        elif key.lower() in ("route", "secret"):
            row[key.lower()] = value
        else:
            out.problems.append(f"line {number}: BalancerMember {key}: not taken: {value}")
    name = row.get("route") or address.replace(":", "-")
    if out.workers.get(name, row) != row:
        name = f"{section}-{name}"
    if out.workers.get(name, row) != row:
        raise ValueError(f"a second member named {name}")
    out.workers[name] = row
    members = out.balancers.setdefault(section, [])
    if name not in members:
        members.append(name)


def main(paths: list[str]) -> int:
    """Import files, each by its kind."""
    if not paths:
        print("usage: python -m myrtlespar.cli.apache_importer FILE ...", file=sys.stderr)
        return 2
    out = Imported()
    for path in paths:
        try:
            text = Path(path).read_text()
        except (OSError, UnicodeDecodeError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 2
        seen = len(out.problems)
        if path.endswith(".properties"):
            Properties(text, out).take()
        else:
            apache(text, out)
        out.problems[seen:] = [f"{path}: {problem}" for problem in out.problems[seen:]]
    print(out.toml(), end="")
    for problem in out.problems:
        print(problem, file=sys.stderr)
    return 1 if out.problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
