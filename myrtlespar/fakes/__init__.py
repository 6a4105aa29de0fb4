"""Scripted peers of the server, on loopback: what the tests, `myrtlespar try` and replays talk to.

Written from the published protocols; they do what a script says, faults included, and count what they saw. They
are no models of speed.
"""

from myrtlespar.fakes.ajp_peers import Gateway, Servlet
from myrtlespar.fakes.server_process import ROOT, Tile, settings, tile
from myrtlespar.fakes.tcp_server import WAIT_S, Server, exactly, until
from myrtlespar.fakes.thrift_client import Client
from myrtlespar.fakes.upstreams import Kernel, Roster, Store

__all__ = ["ROOT", "WAIT_S", "Client", "Gateway", "Kernel", "Roster", "Server", "Servlet", "Store", "Tile",
           "exactly", "settings", "tile", "until"]
