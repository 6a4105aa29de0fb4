"""Error messages for the fleet file."""

from __future__ import annotations

from pathlib import Path

import pytest

from myrtlespar.config import ConfigError
from myrtlespar.fleet.settings import read_fleet

GOOD = """
fleet: f
site: x
name: a
bind: 127.0.1.1:7000
seeds: [127.0.1.2:7000]
electorate: {version: 1, sites: {x: [a, b, c]}}
"""


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (GOOD.replace("bind: 127.0.1.1:7000\n", ""), "bind: missing"),
        (GOOD + "speed: 3\n", "speed: unknown key"),
        (GOOD + "membership: {probe: 3}\n", "membership.probe: unknown key"),
        (GOOD + "membership: {probe_ms: often}\n", "membership.probe_ms: expected `int`"),
        (
            GOOD + "membership: {suspect_min_ms: 9000}\n",
            "membership.suspect_min_ms: expected at most suspect_max_ms, 1800, got 9000",
        ),
        (GOOD.replace("127.0.1.2:7000", "localhost:7000"), "seeds[0]: expected A.B.C.D:PORT"),
        (GOOD.replace("[a, b, c]", "[]"), "electorate.sites: empty"),
        (GOOD.replace("[a, b, c]", "[a, b, b]"), "electorate.sites.x[2]: b is listed twice"),
        (
            GOOD.replace("{x: [a, b, c]}", "{y: [a, b, c]}"),
            "electorate.sites.y: a is listed here, but the key site is x",
        ),
        (GOOD.replace("{x: [a, b, c]}", "{x: [a], x: [b]}"), "x: duplicate key in one mapping"),
        (GOOD.replace("version: 1", "version: 0"), "electorate.version: expected a number from 1"),
        ("- 1\n", "MYRTLESPAR_FLEET: expected `object`"),
        ("a: [", "MYRTLESPAR_FLEET: not YAML"),
    ],
)
def test_an_error_in_the_fleet_file_is_one_line_naming_the_key(tmp_path: Path, text: str, line: str) -> None:
    path = tmp_path / "fleet.yaml"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        read_fleet(str(path), "a")
    message = str(caught.value)
    assert message.startswith(line), message
    assert "\n" not in message, message
    path.write_text(GOOD)
    assert read_fleet(str(path), "z").name == "a"
    assert read_fleet(str(path), "z").advertise == "127.0.1.1:7000"
