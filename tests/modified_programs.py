"""Start scripts of the server with one function that fails or is slow."""

from __future__ import annotations

from pathlib import Path

FAILING_METHOD = """import os, runpy, sys
sys.path.insert(0, os.getcwd())
from myrtlespar.{module} import {owner} as owner
real, raised = owner.{name}, []
def failing(*args):
    if {when}:
        raised.append(1)
        raise ZeroDivisionError("raised by the test")
    return real(*args)
owner.{name} = failing
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
"""

SLOW_FUNCTION = """import os, runpy, sys, time
sys.path.insert(0, os.getcwd())
from myrtlespar.{module} import {owner} as owner
real = owner.{name}
def slow(*args):
    end = time.perf_counter() + {cpu_ms} / 1000
    while time.perf_counter() < end:
        pass
    return real(*args)
owner.{name} = slow
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
"""


def program_that_fails(tmp: Path, module: str, owner: str, name: str, when: str) -> str:
    """Write a start script of the server in which a method raises if the expression `when` over its `args` is true."""
    path = tmp / "failing.py"
    path.write_text(FAILING_METHOD.format(module=module, owner=owner, name=name, when=when))
    return str(path)


def program_that_is_slow(tmp: Path, module: str, owner: str, name: str, cpu_ms: float) -> str:
    """Write a start script of the server in which a function of a class or module takes more CPU time."""
    path = tmp / "slow.py"
    path.write_text(SLOW_FUNCTION.format(module=module, owner=owner, name=name, cpu_ms=cpu_ms))
    return str(path)
