"""Reading the configuration: an error is one line that names the key, and valid files are accepted."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.config import ConfigError, load
from myrtlespar.fakes import ROOT, ThriftClient, server_process, settings
from tests.platform_configuration import minimal_configuration
from tests.request_classes import KEYED_SETTINGS, class_settings


@pytest.mark.parametrize(
    ("key", "value", "text"),
    [
        ("kernel", None, "kernel: missing"),
        ("listen", "nowhere", "listen: expected HOST:PORT"),
        ("seed", "zz!", "seed:"),
        ("stop_ms", "soon", "stop_ms: expected a number"),
        ("limits", {"sockets": 3}, "limits.sockets:"),
        ("settings", {}, "settings.family_info: missing"),
    ],
)
def test_a_faulty_key_is_named_in_one_line(tmp_path: Path, key: str, value: object, text: str) -> None:
    config = minimal_configuration({key: value})
    (tmp_path / "c.json").write_text(json.dumps(config))
    done = subprocess.run(
        [sys.executable, "-m", "myrtlespar"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "c.json")},
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.startswith(text)
    assert done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "error_start"),
    [
        ('[ajp]\nlisten = "x"', "ajp.listen: expected HOST:PORT"),
        ('[ajp]\nlissten = "127.0.0.1:1"', "ajp.lissten: unknown key"),
        ('[[ajp.map]]\npath = "/a"\nclass = "moon"', "ajp.map[0].class: no class named 'moon'"),
        ('[[ajp.map]]\npath = "/a"\nclass = "order"\nto = "w"', "ajp.map[0].to: no worker or balancer"),
        ('[[ajp.map]]\npath = "/a"\nclass = "order"\nworth = 1', "ajp.map[0].worth: expected a number"),
        ('[[worker]]\nname = "w"', "worker[0].address: missing"),
        ('[[balancer]]\nname = "b"\nmembers = ["w"]', "balancer b.members: no worker named 'w'"),
        ("[idempotency]\nmost = 0", "idempotency.most: expected a number"),
        ("[", "MYRTLESPAR_OPERATOR: not TOML"),
    ],
)
def test_a_faulty_key_of_the_operators_file_is_named(tmp_path: Path, text: str, error_start: str) -> None:
    with pytest.raises(ConfigError) as error:
        load(configured(tmp_path, text))
    assert str(error.value).startswith(error_start)
    assert "\n" not in str(error.value)


def test_the_operators_example_is_read(tmp_path: Path) -> None:
    config = load(configured(tmp_path, (ROOT / "deploy" / "ajp.toml").read_text()))
    assert config.ajp.listen == ("127.0.0.1", 8009)
    assert config.thrift_key == "idem"
    assert [(rule.path, rule.target) for rule in config.ajp.path_rules][1] == ("/tiles/fetch", "viewers")


@pytest.mark.parametrize(
    ("limits", "max_connections"),
    [
        ({"sockets": 384, "memory_mb": 192}, 304),
        ({"sockets": 1024, "memory_mb": 64}, 358),
        ({"sockets": 1024, "memory_mb": 32}, 51),
        ({"sockets": 384, "memory_mb": 25}, 40),
    ],
)
def test_connections_follow_descriptors_and_memory(
    tmp_path: Path, limits: dict[str, int], max_connections: int
) -> None:
    env = configured(tmp_path, "")
    path = tmp_path / "c.json"
    path.write_text(json.dumps({**json.loads(path.read_text()), "limits": limits}))
    assert load(env).limits.max_connections == max_connections


def configured(tmp: Path, operator: str) -> dict[str, str]:
    """Write both files, the operator's with the text `operator`; return the environment variables that name them."""
    config = minimal_configuration()
    (tmp / "c.json").write_text(json.dumps(config))
    (tmp / "o.toml").write_text(operator)
    return {"BALANCER_CONFIG": str(tmp / "c.json"), "MYRTLESPAR_OPERATOR": str(tmp / "o.toml")}


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"classes": []}, "settings.classes: expected at least one class"),
        ({"classes": [{"name": "a", "effect": "odd", "aim_ms": 1, "give_up_ms": 2}]}, "settings.classes[0].effect: "),
        (
            {"classes": [{"name": "a", "effect": "free", "aim_ms": "x", "give_up_ms": 2}]},
            "settings.classes[0].aim_ms: ",
        ),
        (
            {"classes": [{"name": "a", "effect": "free", "aim_ms": 1, "give_up_ms": 2}] * 2},
            "settings.classes[1].name: ",
        ),
        ({"classes": [7]}, "settings.classes[0]: "),
        ({"invariants": 7}, "settings.invariants: "),
        ({"classes": [{"effect": "free", "aim_ms": 1, "give_up_ms": 2, "worth": "x"}]}, "settings.classes[0].worth: "),
        ({"projects": [{"quota_rps": -1}]}, "settings.projects[0].quota_rps: "),
        ({"servers": []}, "settings.servers: "),
        ({"projects": [7]}, "settings.projects[0]: "),
        ({"clients": 7}, "settings.clients: "),
    ],
)
def test_faulty_settings_are_one_line_that_names_the_key(tmp_path: Path, change: dict[str, Any], text: str) -> None:
    path = write(tmp_path, settings=settings(**change))
    with pytest.raises(ConfigError) as fault:
        load({"BALANCER_CONFIG": path})
    assert str(fault.value).startswith(text)
    assert "\n" not in str(fault.value)


@pytest.mark.parametrize(
    ("given", "limits"),
    [
        (KEYED_SETTINGS, {"memory_mb": 192, "sockets": 1024}),
        ({}, {"memory_mb": 8, "sockets": 24}),
        (
            {"settings": settings(projects=None, clients=None, servers=None, permissions=None, new_key=[1])},
            {"memory_mb": 64, "sockets": 512},
        ),
        ({"settings": class_settings(('één "klasse"', "guarded", 90.0))}, {"memory_mb": 30, "sockets": 64}),
    ],
)
def test_valid_settings_are_never_rejected(tmp_path: Path, given: dict[str, Any], limits: dict[str, int]) -> None:
    config = load({"BALANCER_CONFIG": write(tmp_path, **given, limits=limits)})
    assert 4 <= config.limits.max_connections < limits["sockets"]
    assert config.limits.max_dependency_connections >= 1
    guarded = [n for n, kind in enumerate(config.settings.classes) if kind.window_ms]
    assert not guarded or (config.limits.idempotency_key_ms == 3000.0 and config.limits.max_idempotency_keys >= 1)
    with server_process(tmp_path, given={**given, "limits": {**limits, "cores": 1.0}}) as running:
        name = config.class_names[-1]
        assert ThriftClient(running.ports[0]).ask(name, b"x", token="t")[0] == "success"
        assert running.stop() == 0


def write(tmp: Path, **given: Any) -> str:
    """Write a configuration file with the keys in `given`, and return its path."""
    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "kernel": "127.0.0.1:1",
        "store": "127.0.0.1:1",
        "roster": "127.0.0.1:1",
        "settings": settings(),
        **given,
    }
    (tmp / "c.json").write_text(json.dumps(config))
    return str(tmp / "c.json")
