"""Signals that arrive at different moments of the start."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from myrtlespar.fakes import ThriftClient, server_process, until


@pytest.mark.parametrize("sent", ["SIGTERM", "SIGHUP", "SIGINT", "SIGUSR1"])
@pytest.mark.parametrize("moment", ["early", "import", "config", "listen"])
def test_a_signal_during_the_start_neither_kills_the_process_nor_is_lost(
    tmp_path: Path, sent: str, moment: str
) -> None:
    """The process itself raises the signal, at a chosen line of its start."""
    hooks = {
        "early": "import myrtlespar.runtime.startup_signals as e; old = e.StartupSignals.__init__\n"
        "def at(s): old(s); raise_()\ne.StartupSignals.__init__ = at",
        "import": "sys.meta_path.insert(0, type('F', (), {'find_spec': staticmethod(\n"
        "    lambda name, *a: raise_() if name == 'myrtlespar.server.main' else None)}))",
        "config": "import myrtlespar.runtime.startup_signals as e; old = e.StartupSignals.__init__\n"
        "def at(s):\n    old(s)\n    import myrtlespar.server.main as v; load = v.load\n"
        "    def late(): c = load(); raise_(); v.load = load; return c\n    v.load = late\n"
        "e.StartupSignals.__init__ = at",
        "listen": "import myrtlespar.net.listener as n; old = n.Listener.start\n"
        "def at(s): raise_(); old(s)\nn.Listener.start = at",
    }
    start = (
        "import os, runpy, signal, sys\nsys.path.insert(0, os.getcwd())\n"
        f"def raise_(): os.kill(os.getpid(), signal.{sent})\n{hooks[moment]}\n"
        "sys.argv[:] = ['myrtlespar']\nrunpy.run_module('myrtlespar', run_name='__main__')\n"
    )
    (tmp_path / "started.py").write_text(start)
    with server_process(tmp_path, start=str(tmp_path / "started.py"), wait=False) as running:
        if sent in ("SIGTERM", "SIGINT"):
            until(lambda: running.event("shutdown signal during the start; ending") or running.event("draining"))
            while running.process.poll() is None:  # repeated until the process has ended
                running.process.send_signal(signal.Signals[sent])
            assert running.process.wait(20) == 0
        else:
            running.ports = until(lambda: running.event("serving"))["ports"]
            until(lambda: running.event("reloaded" if sent == "SIGHUP" else "counters"))
            assert ThriftClient(running.ports[0]).ask("order", b"x")[0] == "success"
